from __future__ import annotations

import unittest

from cardamomquay.history import AnswerMisdelivered
from cardamomquay.history import AnswerUnmatched
from cardamomquay.history import AnswerWithoutRun
from cardamomquay.history import RanDespiteNotRun
from cardamomquay.history import RanTwice
from cardamomquay.history import RateExceeded
from cardamomquay.history import RunRecord
from cardamomquay.history import SendRecord
from cardamomquay.history import check_answer_integrity
from cardamomquay.history import check_at_most_once
from cardamomquay.history import check_not_run_answers
from cardamomquay.history import check_rate_bound


def make_run(name: str, at_s: float = 0.0, key: str | None = None) -> RunRecord:
    return RunRecord(name, "org", "u", at_s, key, f"body of {name}")


def make_send(name: str, body_of: str, key: str | None = None, replay: bool = False):
    return SendRecord(name, "org", key, 200, False, True, replay, f"body of {body_of}")


class ChecksTest(unittest.TestCase):
    """Guards against checks that miss violations or report allowed records."""

    def test_at_most_once(self) -> None:
        twice = (make_run("1", key="k"), make_run("2", key="k"))
        cases = {
            "once": ((make_run("1", key="k"), make_run("2", key="l")), ()),
            "repeatable": ((make_run("1"), make_run("1")), ()),
            "another organisation": (
                (make_run("1", key="k"), RunRecord("2", "other", "u", 0.0, "k")),
                (),
            ),
            "twice": (twice, (RanTwice("org", "k", twice),)),
        }
        for name, (runs, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(check_at_most_once(runs), expected)

    def test_not_run(self) -> None:
        refused = SendRecord("1", "org", not_run=True, status=503)
        unknown = SendRecord("1", "org", status=504)
        cases = {
            "true": (refused, make_run("2"), ()),
            "not claimed": (unknown, make_run("1"), ()),
            "untrue": (
                refused,
                make_run("1"),
                (RanDespiteNotRun(refused, (make_run("1"),)),),
            ),
        }
        for name, (send, run, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(check_not_run_answers([send], [run]), expected)

    def test_whole_answers(self) -> None:
        runs = [make_run("1", key="k"), make_run("2")]
        cases = {
            "own": (make_send("1", "1", "k"), None),
            "replayed": (make_send("3", "1", "k", replay=True), None),
            "refused": (SendRecord("1", "org", status=503), None),
            "no answer": (SendRecord("1", "org"), None),
            "crossed": (
                make_send("1", "2", "k"),
                lambda s: AnswerMisdelivered(s, "2"),
            ),
            "wrong replay": (
                make_send("3", "2", "k", replay=True),
                lambda s: AnswerMisdelivered(s, "2"),
            ),
            "not marked as replayed": (
                make_send("3", "1", "k"),
                lambda s: AnswerMisdelivered(s, "1"),
            ),
            "cut": (make_send("1", "half of 1", "k"), AnswerUnmatched),
            "invented": (make_send("4", "4"), AnswerWithoutRun),
        }
        for name, (send, expected) in cases.items():
            with self.subTest(name):
                found = check_answer_integrity([send], runs)
                self.assertEqual(found, () if expected is None else (expected(send),))

    def test_rate(self) -> None:
        # Starts, rate, burst, and the worst window as (start, end, runs, allowed).
        cases = {
            "none": ([], 1.0, 1.0, None),
            "burst, then the rate": ([0, 0, 0, 1, 2, 3], 1.0, 3.0, None),
            "burst exceeded": ([0, 0, 0, 0], 1.0, 3.0, (0, 0, 4, 3.0)),
            "two windows' bursts": (
                [0, 5, 5, 5, 6, 6, 6, 20],
                1.0,
                3.0,
                (5, 6, 6, 4.0),
            ),
            "slightly above the rate": (
                [0.75 * n for n in range(101)],
                1.0,
                3.0,
                (0, 75, 101, 78.0),
            ),
        }
        for name, (starts, rate, burst, worst) in cases.items():
            with self.subTest(name):
                runs = [make_run("1", at_s) for at_s in reversed(starts)]
                found = check_rate_bound(runs, rate, burst)
                expected = () if worst is None else (RateExceeded(*worst),)
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
