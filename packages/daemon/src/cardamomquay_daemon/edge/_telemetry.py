"""Structured logs on standard output, counters and latency histograms."""

from __future__ import annotations

import os
from bisect import bisect_left
from collections import Counter
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import eliot
import msgspec

from cardamomquay_daemon.edge._events import LINES_DROPPED
from cardamomquay_daemon.edge._events import TASK_FAILED

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.events import LogEvent

STDOUT = 1
ELIOT_ACTION_FIELDS = ("task_uuid", "task_level")
# Lines, and their bytes, buffered for a slow reader; further lines are dropped and
# counted.
BUFFERED_LINES_MAX = 2000
BUFFERED_BYTES_MAX = 2_097_152
# Longer texts are cut: callers choose request ids and the keys of objects.
FIELD_CHARACTERS_MAX = 512
# Upper bounds of the latency histogram's buckets in seconds.
LATENCY_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class LineWriter:
    """Writes log lines to standard output without blocking on a slow reader."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._encoder = msgspec.json.Encoder(enc_hook=repr)
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message; called by eliot as a destination."""
        # The messages belong to no eliot action, so these fields hold no information.
        for name in ELIOT_ACTION_FIELDS:
            message.pop(name, None)
        if (
            len(self._buffered) >= BUFFERED_LINES_MAX
            or self._buffered_bytes >= BUFFERED_BYTES_MAX
        ):
            self.dropped += 1
            return
        for name, value in message.items():
            if isinstance(value, str) and len(value) > FIELD_CHARACTERS_MAX:
                message[name] = value[:FIELD_CHARACTERS_MAX]
        line = self._encoder.encode(message) + b"\n"
        self._buffered.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write the buffered lines that the reader accepts without blocking."""
        # If the reader has closed the pipe or the disk is full, each call takes one
        # line from the buffer. That line is lost, and `dropped` does not count it.
        with suppress(OSError):
            while self._buffered:
                line = self._buffered.popleft()
                self._buffered_bytes -= len(line)
                try:
                    written = os.write(self._descriptor, line)
                except BlockingIOError:
                    self._buffer_first(line)
                    raise
                if written < len(line):
                    self._buffer_first(line[written:])

    def _buffer_first(self, rest: bytes) -> None:
        self._buffered.appendleft(rest)
        self._buffered_bytes += len(rest)


class EdgeTelemetry:
    """Log events, counters and latency histograms of one host.

    Parameters
    ----------
    host : str
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._counts: Counter[str] = Counter()
        self._latencies: dict[str, list[int]] = {}
        self._writer = LineWriter()
        self._reported_drops = 0
        eliot.add_destinations(self._writer)

    def log(self, event: LogEvent, **fields: Any) -> None:
        """Write a log event."""
        eliot.log_message(
            message_type=event.name, number=event.number, host=self._host, **fields
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += value

    def observe(self, name: str, seconds: float) -> None:
        """Add to a latency histogram."""
        buckets = self._latencies.setdefault(name, [0] * (len(LATENCY_BOUNDS_S) + 1))
        buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1

    def counts(self) -> Mapping[str, int]:
        """Return all counters."""
        return dict(self._counts)

    def record_task_failure(self, task: str, exc: BaseException) -> None:
        """Log and count a task or request that raised an exception."""
        self.count("tasks.failed")
        self.log(TASK_FAILED, task=task, error=repr(exc))

    def flush(self) -> None:
        """Write buffered lines, and log how many were dropped since the last call."""
        self._writer.flush()
        if self._writer.dropped > self._reported_drops:
            dropped = self._writer.dropped - self._reported_drops
            self._reported_drops = self._writer.dropped
            self.count("log.lines_dropped", dropped)
            self.log(LINES_DROPPED, lines=dropped)

    def as_text(self) -> bytes:
        """Return counters and histograms in the Prometheus text format."""
        lines = [
            f"cardamomquay_{name.replace('.', '_')} {value}"
            for name, value in sorted(self._counts.items())
        ]
        for name, buckets in sorted(self._latencies.items()):
            metric = f"cardamomquay_{name.replace('.', '_')}_seconds_bucket"
            total = 0
            bounds = (*(f"{bound:g}" for bound in LATENCY_BOUNDS_S), "+Inf")
            for bound, number in zip(bounds, buckets, strict=True):
                total += number
                lines.append(f'{metric}{{le="{bound}"}} {total}')
        return ("\n".join(lines) + "\n").encode()
