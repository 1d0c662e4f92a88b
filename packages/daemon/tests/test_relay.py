from __future__ import annotations

import unittest

from fakes import RelayFixture
from fakes import make_config

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason
from cardamomquay.outcomes import RetryReason
from cardamomquay_daemon._caller_messages import RelayedAnswer
from cardamomquay_daemon._upstream_client import UpstreamFailure

TIMEOUT = UpstreamFailure(RetryReason.TIMEOUT_AFTER_SENDING, False, 1.0)
RESET = UpstreamFailure(RetryReason.FAILURE_AFTER_SENDING, False, 0.1)
CUT = UpstreamFailure(RetryReason.FAILURE_AFTER_SENDING, True, 0.1)
REFUSED_CONNECTION = UpstreamFailure(RetryReason.CONNECTION_REFUSED, False, 0.0)
SHED = UpstreamFailure(RetryReason.SHED_NOT_RUN, False, 0.0)


class KeyTest(unittest.TestCase):
    """Guards against requests for the wrong organisation or with a withdrawn key."""

    def test_refusals_by_key(self) -> None:
        cases = {
            "": RefusalReason.KEY_MISSING,
            "k1.wrong": RefusalReason.KEY_REJECTED,
            "k2.secret": RefusalReason.KEY_REJECTED,
            "secret": RefusalReason.KEY_REJECTED,
        }
        for key, reason in cases.items():
            with self.subTest(key):
                result = RelayFixture().get(key=key)
                self.assertIsInstance(result, Refusal)
                self.assertIs(result.reason, reason)
                self.assertTrue(result.not_run)

    def test_route_of_another_owner_is_not_allowed(self) -> None:
        result = RelayFixture().get("/rival/x")
        self.assertIs(result.reason, RefusalReason.ORGANISATION_NOT_ALLOWED)

    def test_open_route_needs_no_key_and_no_current_config(self) -> None:
        fixture = RelayFixture()
        fixture.clock.advance(60.0)
        self.assertIsInstance(fixture.get("/news/x", key=""), RelayedAnswer)

    def test_stale_configuration_refuses_routes_that_need_a_key(self) -> None:
        fixture = RelayFixture()
        # The configuration is current for 2 s after it was confirmed.
        fixture.clock.advance(2.1)
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.CONFIGURATION_STALE)
        self.assertEqual(fixture.client.sent, [])

    def test_key_withdrawn_while_waiting_for_a_slot(self) -> None:
        fixture = RelayFixture()
        fixture.chooser.before_reserve = lambda: fixture.runtime.load(
            make_config(version=2, with_key=False)
        )
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.KEY_REJECTED)
        self.assertEqual(fixture.client.sent, [])
        self.assertEqual(fixture.admission.returned, 1)

    def test_request_to_an_upstream_does_not_hold_the_key(self) -> None:
        fixture = RelayFixture()
        fixture.get()
        _, request = fixture.client.sent[0]
        self.assertNotIn("secret", repr(request))


class SuspensionTest(unittest.TestCase):
    """Guards against a resumed host that sends a request too late.

    The request's token or deadline expired meanwhile, or the configuration with the
    keys became stale.
    """

    def test_token_expired_while_waiting(self) -> None:
        fixture = RelayFixture()
        # Longer than the token is valid, shorter than the configuration is current.
        fixture.chooser.before_reserve = lambda: fixture.clock.advance(1.5)
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.QUOTA_UNAVAILABLE)
        self.assertTrue(result.not_run)
        self.assertEqual(fixture.client.sent, [])

    def test_configuration_became_stale_while_waiting(self) -> None:
        fixture = RelayFixture()
        fixture.admission.valid_s = 60.0
        fixture.chooser.before_reserve = lambda: fixture.clock.advance(3.0)
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.CONFIGURATION_STALE)
        self.assertEqual(fixture.client.sent, [])

    def test_deadline_passed_while_waiting(self) -> None:
        fixture = RelayFixture()
        fixture.admission.valid_s = 60.0
        # The time-out of a route is 5 s by default.
        fixture.chooser.before_reserve = lambda: fixture.clock.advance(5.0)
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.DEADLINE_PASSED)
        self.assertEqual(fixture.client.sent, [])


class RetryTest(unittest.TestCase):
    """Guards against false "not run" refusals, and against attempts without a token."""

    def test_retry_goes_to_another_upstream(self) -> None:
        fixture = RelayFixture()
        fixture.client.script = [REFUSED_CONNECTION]
        self.assertIsInstance(fixture.get(), RelayedAnswer)
        self.assertEqual([name for name, _ in fixture.client.sent], ["u0", "u1"])
        self.assertEqual(fixture.admission.taken - fixture.admission.returned, 1)

    def test_retry_after_a_possible_run_takes_a_second_token(self) -> None:
        fixture = RelayFixture()
        fixture.client.script = [TIMEOUT]
        self.assertIsInstance(fixture.get(), RelayedAnswer)
        self.assertEqual(fixture.admission.taken, 2)
        self.assertEqual(fixture.admission.returned, 0)

    def test_no_retry_after_a_possible_run_without_a_second_token(self) -> None:
        fixture = RelayFixture()
        fixture.admission.available = 1
        fixture.client.script = [RESET]
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.UPSTREAM_FAILED)
        self.assertEqual(len(fixture.client.sent), 1)

    def test_refusal_after_a_possible_run_is_not_called_not_run(self) -> None:
        cases = {
            "pool busy at the retry": ([TIMEOUT], 1),
            "connection refused at the retry": (
                [TIMEOUT, REFUSED_CONNECTION, SHED],
                100,
            ),
        }
        for name, (script, busy_after) in cases.items():
            with self.subTest(name):
                fixture = RelayFixture()
                fixture.client.script = list(script)
                fixture.chooser.busy_after = busy_after
                result = fixture.get()
                self.assertIs(result.reason, RefusalReason.UPSTREAM_TIMEOUT)
                self.assertFalse(result.not_run)

    def test_proved_not_run_returns_the_token(self) -> None:
        fixture = RelayFixture()
        fixture.client.script = [SHED, SHED, SHED]
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.POOL_BUSY)
        self.assertTrue(result.not_run)
        self.assertEqual(fixture.admission.returned, fixture.admission.taken)

    def test_cut_answer_is_an_error(self) -> None:
        fixture = RelayFixture()
        fixture.client.script = [CUT, CUT, CUT]
        result = fixture.get()
        self.assertIs(result.reason, RefusalReason.ANSWER_CUT)
        self.assertFalse(result.not_run)


class AtMostOnceTest(unittest.TestCase):
    """Guards against running a non-repeatable request twice."""

    def test_needs_an_idempotency_key(self) -> None:
        result = RelayFixture().confirm(idempotency_key="")
        self.assertIs(result.reason, RefusalReason.IDEMPOTENCY_KEY_MISSING)

    def test_replay_returns_the_recorded_answer(self) -> None:
        fixture = RelayFixture()
        fixture.confirm()
        again = fixture.confirm()
        self.assertIsInstance(again, RelayedAnswer)
        self.assertTrue(again.replayed)
        self.assertEqual(again.body, b"whole")
        self.assertEqual(len(fixture.client.sent), 1)

    def test_never_sent_again_after_a_possible_run(self) -> None:
        for failure in (TIMEOUT, RESET, CUT):
            with self.subTest(failure.reason):
                fixture = RelayFixture()
                fixture.client.script = [failure]
                self.assertFalse(fixture.confirm().not_run)
                again = fixture.confirm()
                self.assertIs(again.reason, RefusalReason.OUTCOME_UNKNOWN)
                self.assertEqual(len(fixture.client.sent), 1)

    def test_may_run_after_a_proved_not_run(self) -> None:
        fixture = RelayFixture()
        fixture.client.script = [
            REFUSED_CONNECTION,
            REFUSED_CONNECTION,
            REFUSED_CONNECTION,
        ]
        self.assertTrue(fixture.confirm().not_run)
        self.assertIsInstance(fixture.confirm(), RelayedAnswer)

    def test_same_key_with_another_body(self) -> None:
        fixture = RelayFixture()
        fixture.confirm()
        result = fixture.confirm(body=b"other")
        self.assertIs(result.reason, RefusalReason.IDEMPOTENCY_KEY_REUSED)

    def test_store_down_refuses_before_sending(self) -> None:
        fixture = RelayFixture()
        fixture.tables.faults.down = True
        result = fixture.confirm()
        self.assertIs(result.reason, RefusalReason.STORE_UNAVAILABLE)
        self.assertTrue(result.not_run)
        self.assertEqual(fixture.client.sent, [])

    def test_lost_answer_to_the_claim_is_settled(self) -> None:
        fixture = RelayFixture()
        fixture.tables.faults.lose_answers = 1
        self.assertIsInstance(fixture.confirm(), RelayedAnswer)
        self.assertEqual(len(fixture.client.sent), 1)

    def test_answer_that_was_not_recorded_is_unknown_later(self) -> None:
        fixture = RelayFixture()
        send = fixture.client.send

        def send_and_lose_store(upstream: object, request: object) -> object:
            answer = send(upstream, request)
            fixture.tables.faults.down = True
            return answer

        fixture.client.send = send_and_lose_store
        self.assertIsInstance(fixture.confirm(), RelayedAnswer)
        fixture.tables.faults.down = False
        again = fixture.confirm()
        self.assertIs(again.reason, RefusalReason.OUTCOME_UNKNOWN)
        self.assertEqual(len(fixture.client.sent), 1)


if __name__ == "__main__":
    unittest.main()
