from __future__ import annotations

import unittest

from cardamomquay.history import AnswerCrossed
from cardamomquay.history import AnswerCut
from cardamomquay.history import AnswerWithoutRun
from cardamomquay.history import RanAfterAll
from cardamomquay.history import RanTwice
from cardamomquay.history import RateExceeded
from cardamomquay.history import RunRecord
from cardamomquay.history import SendRecord
from cardamomquay.history import check_at_most_once
from cardamomquay.history import check_not_run_is_true
from cardamomquay.history import check_rate_bound
from cardamomquay.history import check_whole_answers


def ran(name: str, at_s: float = 0.0, key: str | None = None) -> RunRecord:
    return RunRecord(name, "org", "u", at_s, key, f"body of {name}")


def got(name: str, body_of: str, key: str | None = None, replay: bool = False):
    return SendRecord(name, "org", key, 200, False, True, replay, f"body of {body_of}")


class ChecksTest(unittest.TestCase):
    """Guards against a checker that finds nothing, or finds what is allowed."""

    def test_at_most_once(self) -> None:
        twice = (ran("1", key="k"), ran("2", key="k"))
        cases = {
            "once": ((ran("1", key="k"), ran("2", key="l")), ()),
            "repeatable": ((ran("1"), ran("1")), ()),
            "another organisation": (
                (ran("1", key="k"), RunRecord("2", "other", "u", 0.0, "k")),
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
            "true": (refused, ran("2"), ()),
            "not claimed": (unknown, ran("1"), ()),
            "untrue": (refused, ran("1"), (RanAfterAll(refused, (ran("1"),)),)),
        }
        for name, (send, run, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(check_not_run_is_true([send], [run]), expected)

    def test_whole_answers(self) -> None:
        runs = [ran("1", key="k"), ran("2")]
        cases = {
            "own": (got("1", "1", "k"), None),
            "replayed": (got("3", "1", "k", replay=True), None),
            "refused": (SendRecord("1", "org", status=503), None),
            "no answer": (SendRecord("1", "org"), None),
            "crossed": (got("1", "2", "k"), lambda s: AnswerCrossed(s, "2")),
            "wrong replay": (
                got("3", "2", "k", replay=True),
                lambda s: AnswerCrossed(s, "2"),
            ),
            "not marked as replayed": (
                got("3", "1", "k"),
                lambda s: AnswerCrossed(s, "1"),
            ),
            "cut": (got("1", "half of 1", "k"), AnswerCut),
            "invented": (got("4", "4"), AnswerWithoutRun),
        }
        for name, (send, expected) in cases.items():
            with self.subTest(name):
                found = check_whole_answers([send], runs)
                self.assertEqual(found, () if expected is None else (expected(send),))

    def test_rate(self) -> None:
        cases = {  # starts, rate, burst, worst window as (start, end, runs, allowed)
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
                runs = [ran("1", at_s) for at_s in reversed(starts)]
                found = check_rate_bound(runs, rate, burst)
                expected = () if worst is None else (RateExceeded(*worst),)
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
