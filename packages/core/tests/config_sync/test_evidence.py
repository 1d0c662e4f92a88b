from __future__ import annotations

import unittest

from cardamomquay.config_sync import CONFIG_EVIDENCE_MAX_AGE_S
from cardamomquay.config_sync import ConfigEvidence
from cardamomquay.config_sync import StoreRegionReport
from cardamomquay.config_sync import is_config_current
from cardamomquay.membership import StoreReport

NOW_S = 100.0


def report(
    host: str, kind: StoreReport, age_s: float = 0.5, version: int = 3
) -> StoreRegionReport:
    return StoreRegionReport(host, kind, NOW_S - age_s, version)


class IsConfigCurrentTest(unittest.TestCase):
    """Guards against serving withdrawn keys, and against refusals during an outage."""

    def test_cases(self) -> None:
        refused = StoreReport.REFUSED
        two_refused = (report("a", refused), report("b", refused))
        cases = {
            "no configuration": (ConfigEvidence(0, NOW_S), False),
            "fresh evidence": (
                ConfigEvidence(3, NOW_S - CONFIG_EVIDENCE_MAX_AGE_S),
                True,
            ),
            "old evidence, partitioned": (ConfigEvidence(3, NOW_S - 2.1), False),
            "outage seen by two": (ConfigEvidence(3, 0.0, two_refused), True),
            "only one of two reports is fresh": (
                ConfigEvidence(
                    3, 0.0, (report("a", refused), report("b", refused, 2.1))
                ),
                False,
            ),
            "one report contradicts": (
                ConfigEvidence(3, 0.0, (*two_refused, report("c", StoreReport.READ))),
                False,
            ),
            "a time-out proves no outage": (
                ConfigEvidence(
                    3, 0.0, (report("a", refused), report("b", StoreReport.NO_ANSWER))
                ),
                False,
            ),
            "another host has a newer version": (
                ConfigEvidence(
                    3, 0.0, (report("a", refused), report("b", refused, version=4))
                ),
                False,
            ),
            "a newer version is known": (ConfigEvidence(3, 0.0, two_refused, 4), False),
            "the other host is not live": (
                ConfigEvidence(
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
                ConfigEvidence(
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
                ConfigEvidence(3, 0.0, (report("a", refused),)),
                True,
            ),
        }
        for name, (evidence, expected) in cases.items():
            with self.subTest(name):
                self.assertIs(is_config_current(evidence, NOW_S), expected)


if __name__ == "__main__":
    unittest.main()
