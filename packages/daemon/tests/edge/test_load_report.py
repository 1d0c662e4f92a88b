from __future__ import annotations

import unittest

from cardamomquay.placement import LoadReport
from cardamomquay_daemon.edge._headers import parse_load_report


class LoadReportTest(unittest.TestCase):
    """Guards against whole load reports that are dropped for one further figure."""

    def test_forms(self) -> None:
        for value, expected in (
            (b"3,0,8", LoadReport(3, 0, 8)),
            (b"3, 1, 8, 250", LoadReport(3, 1, 8, 2.5)),
            (b"3,1,8,100,7", LoadReport(3, 1, 8, 1.0)),
            (b"3,1,8,fast", LoadReport(3, 1, 8)),
            (b"3,1,8,0", LoadReport(3, 1, 8)),
            (b"3,1,x,250", None),
            (b"3,1", None),
            (b"", None),
            (None, None),
        ):
            with self.subTest(value):
                self.assertEqual(parse_load_report(value), expected)
