"""Load pattern: an upstream stays unreachable for hours while its entry says ready."""

from __future__ import annotations

import unittest

from cardamomquay.placement import UpstreamRecord

# More failures in a row than a float has powers of two.
FAILURES = 3000


class LongOutageTest(unittest.TestCase):
    """Guards against requests that fail because an upstream has failed too often."""

    def test_ejections_do_not_grow_without_end(self) -> None:
        for method in ("record_unreachable", "record_timeout"):
            with self.subTest(method):
                record = UpstreamRecord(3)
                now_s = 0.0
                for _ in range(FAILURES):
                    getattr(record, method)(now_s)
                    now_s += 8.0
                self.assertLessEqual(record.ejected_until_s - now_s, 8.0)
