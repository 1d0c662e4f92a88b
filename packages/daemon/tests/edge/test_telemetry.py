from __future__ import annotations

import os
import unittest

from cardamomquay_daemon.edge._telemetry import LineWriter


class UnwritableOutputTest(unittest.TestCase):
    """Guards against a host that ends because its log cannot be written."""

    def test_lines_are_lost_without_an_exception(self) -> None:
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        os.close(read_end)
        full = os.open("/dev/full", os.O_WRONLY)
        read_only = os.open(os.devnull, os.O_RDONLY)
        for name, descriptor in (
            ("no reader", write_end),
            ("a full disk", full),
            ("opened for reading", read_only),
        ):
            with self.subTest(name):
                writer = LineWriter(descriptor)
                for number in range(3):
                    writer({"number": number})
                writer.flush()
        os.close(full)
        os.close(read_only)
