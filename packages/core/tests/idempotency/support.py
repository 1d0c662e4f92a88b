"""Executors and a clock that let one thread run a grouped registry."""

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
    """A paused clock that a wait moves to the end of the wait."""

    def wait(self, condition: threading.Condition, timeout_s: float) -> bool:
        self.advance(timeout_s)
        return False


class ManualExecutor(Executor):
    """Runs what was submitted when the test says so, or at once."""

    def __init__(self, at_once: bool = False) -> None:
        self.at_once = at_once
        self.tasks: list[Callable[[], Any]] = []

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kw: Any) -> Future[Any]:
        self.tasks.append(lambda: fn(*args, **kw))
        if self.at_once:
            self.run()
        return Future()

    def run(self) -> None:
        while self.tasks:
            self.tasks.pop(0)()


def answer(text: str = "done") -> RecordedAnswer:
    return RecordedAnswer(200, (("Content-Type", "text/plain"),), text.encode())


def claim(
    claim_id: str, key: str = "k", body: str = "b", at_s: float | None = 0.0
) -> Claim:
    digest = digest_request("POST", "/sign", body.encode())
    return Claim(claim_id, "org", key, digest, f"host-{claim_id}", "1", at_s)
