"""A registry that commits claims and answers in groups."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import TypeVar

from cardamomquay.idempotency._batcher import QUEUE_MAX
from cardamomquay.idempotency._batcher import ClaimBatcher
from cardamomquay.idempotency._changes import AbandonChange
from cardamomquay.idempotency._changes import AnswerChange
from cardamomquay.idempotency._changes import ClaimChange
from cardamomquay.idempotency._registry import DurableOnceRegistry
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor
    from concurrent.futures import Future

    from cardamomquay.clock import Clock
    from cardamomquay.idempotency._changes import Change
    from cardamomquay.idempotency._changes import ClaimOutcome
    from cardamomquay.idempotency._claims import Claim
    from cardamomquay.idempotency._claims import RecordedAnswer
    from cardamomquay.platform import TableService

T = TypeVar("T")


class GroupedOnceRegistry(DurableOnceRegistry):
    """Commits what arrives within an interval of 5 to 100 ms in one transaction.

    One task on the executor waits and commits while anything is queued.

    Parameters
    ----------
    tables : TableService
    clock : Clock
    executor : concurrent.futures.Executor
        Given and shut down by the owner, after `close`; one free worker is enough.
    live_hosts : callable
        Returns the number of live hosts, which share the store.
    queue_max : int
        Claims that wait at most; more are refused.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        executor: Executor,
        live_hosts: Callable[[], int],
        queue_max: int = QUEUE_MAX,
    ) -> None:
        super().__init__(tables)
        self._clock = clock
        self._executor = executor
        self._live_hosts = live_hosts
        self._condition = threading.Condition()
        self._batcher = ClaimBatcher(queue_max)
        self._task_runs = False
        self._commits = 0
        self._closed = False

    def begin(self, claim: Claim) -> ClaimOutcome:
        return self.begin_soon(claim).result()

    def record(self, claim: Claim, answer: RecordedAnswer) -> bool:
        return self.record_soon(claim, answer).result()

    def abandon(self, claim: Claim) -> None:
        self.abandon_soon(claim).result()

    def begin_soon(self, claim: Claim) -> Future[ClaimOutcome]:
        """Start `begin` and return its future.

        A future that is cancelled before its group is committed claims nothing.
        """
        change = ClaimChange(claim)
        if self._enqueue(change):
            return change.future
        reason = RefusalReason.STORE_UNAVAILABLE
        if self._closed:
            reason = RefusalReason.STOPPING
        change.future.set_result(Refusal(reason, "no more claims are queued"))
        return change.future

    def record_soon(self, claim: Claim, answer: RecordedAnswer) -> Future[bool]:
        """Start `record` and return its future."""
        return self._enqueue_or_fail(
            AnswerChange(claim, answer, self._known_version(claim))
        )

    def abandon_soon(self, claim: Claim) -> Future[bool]:
        """Start `abandon`; the future tells whether the claim is released already."""
        return self._enqueue_or_fail(AbandonChange(claim, self._known_version(claim)))

    def close(self) -> None:
        """Refuse new changes and complete those queued."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()
        while self._commit_next():
            pass
        with self._condition:
            while self._commits:
                self._condition.wait()
        self.release_pending()

    def _enqueue_or_fail(self, change: Change[bool]) -> Future[bool]:
        if not self._enqueue(change):
            change.fail()
            with self._memory_lock:
                self._remember(change)
            change.future.set_result(False)
        return change.future

    def _enqueue(self, change: Change[T]) -> bool:
        with self._condition:
            if self._closed or not self._batcher.offer(change, self._clock.now_s()):
                return False
            if self._task_runs:
                return True
            self._task_runs = True
        try:
            self._executor.submit(self._run)
        except RuntimeError:
            # The executor was shut down before this registry was closed.
            self.close()
        return True

    def _run(self) -> None:
        """Commit groups as they fall due, until nothing is queued."""
        while True:
            with self._condition:
                due_s = self._batcher.due_s(self._live_hosts())
                if due_s is None:
                    self._task_runs = False
                    return
                wait_s = due_s - self._clock.now_s()
                if wait_s > 0 and not self._closed:
                    self._clock.wait(self._condition, wait_s)
                    continue
            self._commit_next()

    def _commit_next(self) -> bool:
        """Commit the next group; return False with nothing queued."""
        with self._condition:
            if not len(self._batcher):
                return False
            started_s = self._clock.now_s()
            group = [
                change
                for change in self._batcher.take(started_s)
                if change.future.set_running_or_notify_cancel()
            ]
            self._commits += 1
        try:
            self._settle(group)
        except Exception as exc:  # A fault in the client must not stop later groups.
            for change in group:
                change.future.set_exception(exc)
        else:
            for change in group:
                change.future.set_result(change.outcome)
        finally:
            with self._condition:
                self._batcher.observe_latency(self._clock.now_s() - started_s)
                self._commits -= 1
                self._condition.notify_all()
        return True
