"""An idempotency registry that commits changes in batches."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import TypeVar

from cardamomquay.idempotency._batcher import CONCURRENT_COMMITS_MAX
from cardamomquay.idempotency._batcher import QUEUE_MAX
from cardamomquay.idempotency._batcher import ClaimBatcher
from cardamomquay.idempotency._changes import AnswerChange
from cardamomquay.idempotency._changes import ClaimChange
from cardamomquay.idempotency._changes import ReleaseChange
from cardamomquay.idempotency._registry import BaseIdempotencyRegistry
from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor
    from concurrent.futures import Future

    from cardamomquay.clock import Clock
    from cardamomquay.idempotency._changes import ClaimOutcome
    from cardamomquay.idempotency._changes import ClaimRowChange
    from cardamomquay.idempotency._claims import Claim
    from cardamomquay.idempotency._claims import RecordedAnswer
    from cardamomquay.platform import TableService

T = TypeVar("T")


class BatchedIdempotencyRegistry(BaseIdempotencyRegistry):
    """Commits the changes of an interval of 5 to 100 ms in one transaction.

    While changes are queued, one task on the executor waits until the next batch is
    due; at most `CONCURRENT_COMMITS_MAX` tasks wait or commit.

    Parameters
    ----------
    tables : TableService
    clock : Clock
    executor : concurrent.futures.Executor
        Runs the commits. The caller shuts it down, after `close`. It needs at least
        one free worker and can use up to `CONCURRENT_COMMITS_MAX`.
    live_hosts : callable
        Returns the number of live hosts, among which the store is shared.
    queue_max : int
        Number of queued changes at which further claims are refused; see
        `ClaimBatcher`.
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
        self._tasks = 0
        self._waiting_tasks = 0
        self._commits_in_flight = 0
        self._closed = False

    def try_claim(self, claim: Claim) -> ClaimOutcome:
        return self.submit_claim(claim).result()

    def record_answer(self, claim: Claim, answer: RecordedAnswer) -> bool:
        return self.submit_answer(claim, answer).result()

    def release(self, claim: Claim) -> None:
        self.submit_release(claim).result()

    def submit_claim(self, claim: Claim) -> Future[ClaimOutcome]:
        """Queue a claim and return a future of its outcome.

        Nothing is claimed if the future is cancelled before its batch is committed.
        """
        change = ClaimChange(claim)
        if self._enqueue(change):
            return change.future
        reason = RefusalReason.STORE_UNAVAILABLE
        if self._closed:
            reason = RefusalReason.STOPPING
        change.future.set_result(Refusal(reason, "no more claims are queued"))
        return change.future

    def submit_answer(self, claim: Claim, answer: RecordedAnswer) -> Future[bool]:
        """Queue an answer and return a future of whether it was recorded."""
        return self._enqueue_or_fail(
            AnswerChange(claim, answer, self._known_version(claim))
        )

    def submit_release(self, claim: Claim) -> Future[bool]:
        """Queue a release and return a future of whether the claim was released."""
        return self._enqueue_or_fail(ReleaseChange(claim, self._known_version(claim)))

    def close(self) -> None:
        """Refuse new changes, commit the queued ones and wait for all commits.

        Then retry one batch of the pending releases.
        """
        with self._condition:
            self._closed = True
            self._condition.notify_all()
        while self._commit_next_batch():
            pass
        with self._condition:
            while self._commits_in_flight:
                self._condition.wait()
        self.release_pending()

    def _enqueue_or_fail(self, change: ClaimRowChange[bool]) -> Future[bool]:
        if not self._enqueue(change):
            change.fail()
            with self._state_lock:
                self._track(change)
            change.future.set_result(False)
        return change.future

    def _enqueue(self, change: ClaimRowChange[T]) -> bool:
        with self._condition:
            if self._closed or not self._batcher.offer(change, self._clock.now_s()):
                return False
            if self._waiting_tasks or self._tasks >= CONCURRENT_COMMITS_MAX:
                return True
            self._tasks += 1
            self._waiting_tasks += 1
        try:
            self._executor.submit(self._run)
        except RuntimeError:
            # The executor was shut down before this registry.
            self.close()
        return True

    def _run(self) -> None:
        """Commit batches when they are due, until nothing is queued."""
        while True:
            with self._condition:
                due_s = self._batcher.due_s(self._live_hosts())
                if due_s is None:
                    self._tasks -= 1
                    self._waiting_tasks -= 1
                    return
                wait_s = due_s - self._clock.now_s()
                if wait_s > 0 and not self._closed:
                    self._clock.wait(self._condition, wait_s)
                    continue
                self._waiting_tasks -= 1
            self._commit_next_batch()
            with self._condition:
                self._waiting_tasks += 1

    def _commit_next_batch(self) -> bool:
        """Commit the next batch; return False if nothing is queued."""
        with self._condition:
            if not len(self._batcher):
                return False
            started_s = self._clock.now_s()
            batch = [
                change
                for change in self._batcher.take_batch(started_s)
                if change.future.set_running_or_notify_cancel()
            ]
            self._commits_in_flight += 1
        try:
            self._commit_changes(batch)
        except Exception as exc:
            # A bug in the table service's client must not stop later batches.
            for change in batch:
                change.future.set_exception(exc)
        else:
            for change in batch:
                change.future.set_result(change.outcome)
        finally:
            with self._condition:
                self._batcher.record_latency(self._clock.now_s() - started_s)
                self._commits_in_flight -= 1
                self._condition.notify_all()
        return True
