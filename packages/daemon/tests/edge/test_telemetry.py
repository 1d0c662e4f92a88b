from __future__ import annotations

import os
import unittest

from cardamomquay_daemon.edge._telemetry import BUFFERED_BYTES_MAX
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


class SlowReaderTest(unittest.TestCase):
    """Guards against a log that takes the memory of the host.

    Load pattern: nobody reads the log, and callers choose long request ids.
    """

    def test_buffered_bytes_are_bounded_and_all_further_lines_counted(self) -> None:
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        writer = LineWriter(write_end)
        fields = dict.fromkeys("abcdefgh", "x" * 16_000)
        for number in range(1500):
            writer({"number": number, **fields})
        self.assertGreater(writer.dropped, 0)
        self.assertLess(sum(map(len, writer._buffered)), BUFFERED_BYTES_MAX + 10_000)
        self.assertEqual(writer._buffered_bytes, sum(map(len, writer._buffered)))
