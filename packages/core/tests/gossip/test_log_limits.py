"""Load pattern: many hosts of a large fleet observe the same interruptions."""

from __future__ import annotations

import unittest

from gossip.support import report_entries

from cardamomquay.gossip import ObservationKind
from cardamomquay.gossip import ObservationLog
from cardamomquay.gossip import encode_observations

REFUSED = ObservationKind(1, reserved_places=8, per_subject_max=1)
LOST = ObservationKind(2, reserved_places=8, per_subject_max=2)
KINDS = (REFUSED, LOST)


class LogLimitsTest(unittest.TestCase):
    """Guards against observations that displace others or return."""

    def test_a_new_host_gets_observations_of_all_subjects(self) -> None:
        log = ObservationLog(1, KINDS)
        log.record(REFUSED, 7, 0, 100.0)
        for origin in range(2, 62):
            sender = ObservationLog(origin, KINDS)
            sender.record(LOST, 8, 0, 100.1)
            entries = report_entries(sender, "h1", lambda _: True, 100.1, 40)
            log.apply_entries(entries, f"h{origin}", 0.0, 100.1)
        new = ObservationLog(99, KINDS)
        learned = new.apply_entries(
            encode_observations(log.latest(100.2, 40), 100.2), "h1", 0.0, 100.2
        )
        self.assertEqual({item.subject for item in learned}, {7, 8})

    def test_an_observation_is_taken_as_new_once_however_many_there_are(self) -> None:
        log = ObservationLog(1, KINDS)
        sender = ObservationLog(2, KINDS)
        sender.record(REFUSED, 7, 0, 100.0)
        entries = report_entries(sender, "h1", lambda _: True, 100.0, 40)
        self.assertEqual(len(log.apply_entries(entries, "h2", 0.0, 100.0)), 1)
        # 65 hosts of a zone lose connections to 130 upstreams.
        for origin in range(3, 68):
            other = ObservationLog(origin, KINDS)
            for subject in range(100, 230):
                other.record(LOST, subject, 0, 100.5)
            received = report_entries(other, "h1", lambda _: True, 100.5, 1000)
            log.apply_entries(received, f"h{origin}", 0.0, 100.5)
        late = report_entries(sender, "h1", lambda _: True, 101.0, 40)
        self.assertEqual(log.apply_entries(late, "h2", 0.0, 101.0), [])


if __name__ == "__main__":
    unittest.main()
