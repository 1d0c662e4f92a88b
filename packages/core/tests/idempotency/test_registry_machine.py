from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from idempotency.support import ManualExecutor
from idempotency.support import SteppingClock
from idempotency.support import answer
from idempotency.support import claim

from cardamomquay.history import RunRecord
from cardamomquay.history import SendRecord
from cardamomquay.history import check_answer_integrity
from cardamomquay.history import check_at_most_once
from cardamomquay.history import check_not_run_answers
from cardamomquay.idempotency import BatchedIdempotencyRegistry
from cardamomquay.idempotency import Proceed
from cardamomquay.idempotency import Replay
from cardamomquay.outcomes import RefusalReason
from cardamomquay.platform import MemoryTableService

if TYPE_CHECKING:
    from concurrent.futures import Future

    from cardamomquay.idempotency import Claim

HOSTS = st.integers(0, 2)
# Faults of the transactions after a request; 9 are more than the attempts of a commit.
TRANSACTION_FAULTS = [
    [],
    ["lost"],
    ["late"],
    ["dropped"],
    ["dropped", "late"],
    ["dropped"] * 9,
]


@dataclass
class Request:
    claim: Claim
    claim_future: Future
    sent: bool = False
    shed: bool = False


class RegistryMachine(RuleBasedStateMachine):
    """Guards against a request that runs twice, or runs although reported as not run.

    Three hosts get requests with the same idempotency keys. They are killed between
    claim and send, and between send and record. Answers of commits are lost,
    commits are delayed or dropped, reads fail, and the store goes down. A request that
    its upstream sheds has not run, and its claim is released.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tables = MemoryTableService()
        self.clock = SteppingClock()
        self.executors = [ManualExecutor() for _ in range(3)]
        self.registries = [self.new_registry(n) for n in range(3)]
        self.requests: list[list[Request]] = [[], [], []]
        self.request_count = 0
        self.sends: list[SendRecord] = []
        self.runs: list[RunRecord] = []

    def new_registry(self, host: int) -> BatchedIdempotencyRegistry:
        self.executors[host] = ManualExecutor()
        executor = self.executors[host]
        return BatchedIdempotencyRegistry(self.tables, self.clock, executor, lambda: 3)

    @rule(
        host=HOSTS,
        key=st.sampled_from("kkl"),
        body=st.sampled_from("bbbc"),
        fates=st.sampled_from(TRANSACTION_FAULTS),
        unreadable=st.integers(0, 1),
        stage=st.integers(0, 3),
        shed=st.booleans(),
    )
    def request(
        self,
        *,
        host: int,
        key: str,
        body: str,
        fates: list[str],
        unreadable: int,
        stage: int,
        shed: bool,
    ) -> None:
        """Start a request and pause its host after the given stage.

        The stages are those of `continue_requests`; stage 0 only queues the claim.
        """
        self.request_count += 1
        new_claim = claim(str(self.request_count), key, body)
        claim_future = self.registries[host].submit_claim(new_claim)
        self.requests[host].append(Request(new_claim, claim_future))
        self.tables.faults.fates, self.tables.faults.fail_reads = (
            list(fates),
            unreadable,
        )
        self.continue_requests(host, stage, shed)

    @rule(host=HOSTS, stage=st.integers(1, 3), shed=st.booleans())
    def continue_requests(self, host: int, stage: int, shed: bool) -> None:
        """Commit (1), send (2) and record or release (3), up to the given stage."""
        if stage >= 1:
            self.run_commits(host)
        if stage >= 2:
            self.send(host, shed)
        if stage >= 3:
            self.finish_requests(host)

    def run_commits(self, host: int) -> None:
        self.executors[host].run()
        for request in list(self.requests[host]):
            if not request.claim_future.done():
                continue
            match request.claim_future.result():
                case Proceed():
                    continue
                case Replay(answer=replayed):
                    self.log_answer(request, replayed.body.decode(), replayed=True)
                case refusal if refusal.reason is RefusalReason.IDEMPOTENCY_KEY_REUSED:
                    self.log_refusal(request, not_run=True)
                case refusal:
                    self.log_refusal(request, refusal.not_run)
            self.requests[host].remove(request)

    def send(self, host: int, shed: bool) -> None:
        for request in self.requests[host]:
            claim_future = request.claim_future
            if (
                claim_future.done()
                and not request.sent
                and claim_future.result() == Proceed()
            ):
                request.sent, request.shed = True, shed
                name, key = request.claim.claim_id, request.claim.idempotency_key
                if not shed:
                    self.runs.append(RunRecord(name, "org", "u", 0.0, key, name))

    def finish_requests(self, host: int) -> None:
        for request in list(self.requests[host]):
            if not request.sent:
                continue
            self.requests[host].remove(request)
            if request.shed:
                self.registries[host].submit_release(request.claim)
                self.log_refusal(request, not_run=True)
            else:
                text = request.claim.claim_id
                self.registries[host].submit_answer(request.claim, answer(text))
                self.log_answer(request, text, replayed=False)

    @rule(host=HOSTS)
    def kill(self, host: int) -> None:
        self.requests[host].clear()
        self.registries[host] = self.new_registry(host)

    @rule(host=HOSTS)
    def release(self, host: int) -> None:
        self.registries[host].release_pending()

    @rule()
    def late_commit(self) -> None:
        self.tables.commit_delayed()

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.tables.faults.down = down

    def log_refusal(self, request: Request, not_run: bool) -> None:
        name, key = request.claim.claim_id, request.claim.idempotency_key
        self.sends.append(SendRecord(name, "org", key, 503, not_run=not_run))

    def log_answer(self, request: Request, digest: str, replayed: bool) -> None:
        name, key = request.claim.claim_id, request.claim.idempotency_key
        send = SendRecord(name, "org", key, 200, False, True, replayed, digest)
        self.sends.append(send)

    @invariant()
    def history_has_no_violation(self) -> None:
        for found in (
            check_at_most_once(self.runs),
            check_not_run_answers(self.sends, self.runs),
            check_answer_integrity(self.sends, self.runs),
        ):
            assert not found, found


RegistryMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=300,
    stateful_step_count=15,
)
RegistryMachineTest = RegistryMachine.TestCase
