"""Sample claims and answers, and fakes for batched registries.

With the executor and the clock, one thread can run a batched registry.
"""

from __future__ import annotations

from concurrent.futures import Executor
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay.clock import ManualClock
from cardamomquay.idempotency import Claim
from cardamomquay.idempotency import RecordedAnswer
from cardamomquay.idempotency import digest_request

if TYPE_CHECKING:
    import threading
    from collections.abc import Callable


class SteppingClock(ManualClock):
    """A manual clock whose waits return at once and advance it by their timeout."""

    def wait(self, condition: threading.Condition, timeout_s: float) -> bool:
        self.advance(timeout_s)
        return False


class ManualExecutor(Executor):
    """Runs submitted tasks when `run` is called, or on submission if `immediate`.

    The futures that it returns are never completed.
    """

    def __init__(self, immediate: bool = False) -> None:
        self.immediate = immediate
        self.tasks: list[Callable[[], Any]] = []

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kw: Any) -> Future[Any]:
        self.tasks.append(lambda: fn(*args, **kw))
        if self.immediate:
            self.run()
        return Future()

    def run(self) -> None:
        while self.tasks:
            self.tasks.pop(0)()


def answer(text: str = "done") -> RecordedAnswer:
    return RecordedAnswer(200, (("Content-Type", "text/plain"),), text.encode())


def claim(
    claim_id: str, key: str = "k", body: str = "b", claimed_at_s: float | None = 0.0
) -> Claim:
    digest = digest_request("POST", "/sign", body.encode())
    return Claim(claim_id, "org", key, digest, f"host-{claim_id}", "1", claimed_at_s)
