from __future__ import annotations

import threading
import unittest
from concurrent.futures import Future

from cardamomquay.admission import Admitted
from cardamomquay.clock import ManualClock
from cardamomquay.config import Organisation
from cardamomquay.outcomes import Refusal
from cardamomquay.quota import MAX_GRANT_WAIT_S
from cardamomquay.quota import BorrowedQuotaAdmission
from cardamomquay.quota import GrantStatus
from cardamomquay.quota import TokenGrant
from cardamomquay.quota import TokenRequest
from cardamomquay.quota import TokenTransport
from cardamomquay.quota import divide_limit
from cardamomquay.reducer import Identity

REGIONS = ("a", "b")
ORGANISATION = Organisation("o", "x", 10.0, 10)
LENT = TokenGrant(GrantStatus.LENT, 1, 1, 1.0)
OUT_OF_TOKENS = TokenGrant(GrantStatus.LENT, 1, 0, 1.0, retry_after_s=1.0)
BRIEFLY_OUT_OF_TOKENS = TokenGrant(GrantStatus.LENT, 1, 0, 1.0, retry_after_s=0.05)
NO_ANSWER = TokenGrant(GrantStatus.NO_ANSWER)
STARTING = TokenGrant(GrantStatus.STARTING, 1, retry_after_s=1.0)


class FixedAnswerTransport(TokenTransport):
    """Returns a fixed answer for each resource; without one the call stays pending."""

    def __init__(self, answers: dict[str, TokenGrant | Exception]) -> None:
        self.answers = answers
        self.pending: list[Future[TokenGrant]] = []
        self.asked = threading.Event()

    def borrow(self, request: TokenRequest) -> Future[TokenGrant]:
        fut: Future[TokenGrant] = Future()
        answer = self.answers.get(request.resource.rpartition(".")[2])
        if isinstance(answer, Exception):
            fut.set_exception(answer)
        elif answer is not None:
            fut.set_result(answer)
        else:
            self.pending.append(fut)
            self.asked.set()
        return fut


class AdmitTest(unittest.TestCase):
    def new(self, answers: dict[str, TokenGrant | Exception]) -> BorrowedQuotaAdmission:
        self.clock = ManualClock(100.0)
        self.transport = FixedAnswerTransport(answers)
        identity = Identity("h1", "i1", "a", "z", "a")
        admission = BorrowedQuotaAdmission(self.clock, self.transport, identity)
        admission.apply({"o": divide_limit(ORGANISATION, REGIONS)})
        return admission

    def test_reasons(self) -> None:
        """Guards against reporting an unreachable lender as an exceeded limit."""
        cases: dict[str, tuple[dict[str, TokenGrant | Exception], str]] = {
            "local lender lends": ({"a": LENT, "b": OUT_OF_TOKENS}, "admitted"),
            "remote lender lends": ({"a": OUT_OF_TOKENS, "b": LENT}, "admitted"),
            "all are out of tokens": (
                {"a": OUT_OF_TOKENS, "b": OUT_OF_TOKENS},
                "limit_exceeded",
            ),
            "none answers": ({"a": NO_ANSWER, "b": NO_ANSWER}, "quota_unavailable"),
            "calls fail": ({"a": OSError(), "b": OSError()}, "quota_unavailable"),
            "one is out of tokens, one does not answer": (
                {"a": OUT_OF_TOKENS, "b": NO_ANSWER},
                "quota_unavailable",
            ),
            "one is out of tokens, one is starting": (
                {"a": OUT_OF_TOKENS, "b": STARTING},
                "quota_unavailable",
            ),
        }
        for name, (answers, expected) in cases.items():
            with self.subTest(name):
                outcome = self.new(answers).admit("o", 101.0)
                reason = outcome.reason if isinstance(outcome, Refusal) else "admitted"
                self.assertEqual(reason, expected)

    def test_unknown_organisation(self) -> None:
        outcome = self.new({}).admit("other", 101.0)
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.reason, "quota_unavailable")

    def admit_with_pending_call(
        self, deadline_s: float, advance_s: float, grant: bool
    ) -> object:
        admission = self.new({})
        outcomes: list[Admitted | Refusal] = []
        thread = threading.Thread(
            target=lambda: outcomes.append(admission.admit("o", deadline_s))
        )
        thread.start()
        self.assertTrue(self.transport.asked.wait(5.0))
        if grant:
            self.transport.pending[0].set_result(LENT)
        # The clock is advanced again if the thread was not waiting yet.
        while thread.is_alive():
            self.clock.advance(advance_s)
            thread.join(0.01)
        return outcomes[0]

    def test_waits_for_a_pending_answer(self) -> None:
        outcome = self.admit_with_pending_call(200.0, 0.0, grant=True)
        assert isinstance(outcome, Admitted)
        self.assertEqual(outcome.valid_until_s, 101.0)

    def test_waits_for_a_token_that_is_due_soon(self) -> None:
        """Guards against a refusal when a lender lacks a token only for a moment."""
        admission = self.new({"a": BRIEFLY_OUT_OF_TOKENS, "b": BRIEFLY_OUT_OF_TOKENS})
        self.assertIsNone(admission.try_admit("o", first=True))
        self.assertAlmostEqual(admission.seconds_until_retry("o"), 0.05)
        self.transport.answers["a"] = LENT
        self.clock.advance(0.06)
        self.assertIsInstance(admission.try_admit("o"), Admitted)

    def test_wait_is_bounded(self) -> None:
        """Guards against threads that wait for a lender that does not answer."""
        outcome = self.admit_with_pending_call(200.0, MAX_GRANT_WAIT_S, grant=False)
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.reason, "quota_unavailable")


if __name__ == "__main__":
    unittest.main()
