from __future__ import annotations

import unittest

from cardamomquay.currency import CURRENCY_BOUND_S
from cardamomquay.currency import CurrencyView
from cardamomquay.currency import StoreRegionReport
from cardamomquay.currency import is_current
from cardamomquay.membership import StoreReport

NOW_S = 100.0


def report(
    host: str, kind: StoreReport, age_s: float = 0.5, version: int = 3
) -> StoreRegionReport:
    return StoreRegionReport(host, kind, NOW_S - age_s, version)


class IsCurrentTest(unittest.TestCase):
    """Guards against serving withdrawn keys, and against refusals during an outage."""

    def test_cases(self) -> None:
        refused = StoreReport.REFUSED
        two_refused = (report("a", refused), report("b", refused))
        cases = {
            "no configuration": (CurrencyView(0, NOW_S), False),
            "fresh evidence": (CurrencyView(3, NOW_S - CURRENCY_BOUND_S), True),
            "old evidence, partitioned": (CurrencyView(3, NOW_S - 2.1), False),
            "outage seen by two": (CurrencyView(3, 0.0, two_refused), True),
            "only one of two reports is fresh": (
                CurrencyView(3, 0.0, (report("a", refused), report("b", refused, 2.1))),
                False,
            ),
            "one report contradicts": (
                CurrencyView(3, 0.0, (*two_refused, report("c", StoreReport.READ))),
                False,
            ),
            "a time-out proves no outage": (
                CurrencyView(
                    3, 0.0, (report("a", refused), report("b", StoreReport.NO_ANSWER))
                ),
                False,
            ),
            "another host has a newer version": (
                CurrencyView(
                    3, 0.0, (report("a", refused), report("b", refused, version=4))
                ),
                False,
            ),
            "a newer version is known": (CurrencyView(3, 0.0, two_refused, 4), False),
            "the other host is not live": (
                CurrencyView(
                    3,
                    0.0,
                    (
                        report("a", refused),
                        StoreRegionReport("b", refused, NOW_S - 2.1, 3, live=False),
                    ),
                ),
                True,
            ),
            "a host that is not live contradicts": (
                CurrencyView(
                    3,
                    0.0,
                    (
                        report("a", refused),
                        StoreRegionReport(
                            "b", StoreReport.READ, NOW_S - 1.9, 3, live=False
                        ),
                    ),
                ),
                False,
            ),
            "the region has one host": (
                CurrencyView(3, 0.0, (report("a", refused),)),
                True,
            ),
        }
        for name, (view, expected) in cases.items():
            with self.subTest(name):
                self.assertIs(is_current(view, NOW_S), expected)


if __name__ == "__main__":
    unittest.main()
