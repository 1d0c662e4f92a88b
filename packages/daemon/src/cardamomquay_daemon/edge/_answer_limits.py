"""Limits of the answers that a host reads and buffers.

A faulty upstream may send bytes without end, as a head, as interim answers or as a
body. A host of 200 MB that read them until the timeout of the route would run out of
memory, and parsing them would delay all other requests.
"""

from __future__ import annotations

from collections import OrderedDict
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

MEBIBYTE = 1_048_576
# An answer up to this size always has room.
SMALL_ANSWER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits of one exchange with an upstream or with the store.

    Parameters
    ----------
    head_bytes : int
        Size of an answer's head, and of a chunk's header and the trailers.
    body_bytes : int
    interim_answers : int
        Number of answers with status 1xx before the final one.
    foreign_answers : int
        Number of answers to earlier requests that are skipped.
    """

    head_bytes: int = 16_384
    body_bytes: int = 8 * MEBIBYTE
    interim_answers: int = 16
    foreign_answers: int = 4


class AnswerTooLargeError(Exception):
    """Raised if an answer, or all answers in progress together, exceed their limit.

    Of all answers, the one without received bytes for the longest time ends.
    """


class AnswerBuffers:
    """Counts the bytes of all answers that are being read.

    Parameters
    ----------
    total_bytes : int
        Largest number of buffered bytes of all answers together.
    """

    def __init__(self, total_bytes: int = 48 * MEBIBYTE) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        # The answers above `SMALL_ANSWER_BYTES`, those that received bytes last at the
        # end.
        self._large: OrderedDict[AnswerBuffer, None] = OrderedDict()
        # Called with the number of bytes that all answers hold from now on; returns
        # whether the process has memory for them.
        self.may_hold: Callable[[int], bool] = lambda _: True

    @contextmanager
    def buffer(
        self, limit_bytes: int, on_end: Callable[[], None] = lambda: None
    ) -> Generator[AnswerBuffer]:
        """Count the bytes of one answer until the end of the context.

        Parameters
        ----------
        limit_bytes : int
            Largest number of bytes of this answer.
        on_end : callable
            Called when the answer has to end to make room for others.
        """
        buffer = AnswerBuffer(self, limit_bytes, on_end)
        try:
            yield buffer
        finally:
            self._large.pop(buffer, None)
            self.used_bytes -= buffer.counted_bytes
            buffer.counted_bytes = 0
            self.may_hold(self.used_bytes)

    def add(self, buffer: AnswerBuffer, size_bytes: int) -> None:
        """Count received bytes.

        Raises
        ------
        AnswerTooLargeError
            If there is no room for them, and no other answer can make it.
        """
        if buffer.size_bytes + size_bytes <= SMALL_ANSWER_BYTES:
            self.may_hold(self.used_bytes + size_bytes)
        else:
            self._large[buffer] = None
            self._large.move_to_end(buffer)
            while not self._has_room(size_bytes):
                oldest = next(iter(self._large))
                if oldest is buffer:
                    raise AnswerTooLargeError
                del self._large[oldest]
                self.used_bytes -= oldest.counted_bytes
                oldest.end()
        self.used_bytes += size_bytes
        buffer.counted_bytes += size_bytes

    def _has_room(self, size_bytes: int) -> bool:
        used_bytes = self.used_bytes + size_bytes
        return used_bytes <= self.total_bytes and self.may_hold(used_bytes)


class AnswerBuffer:
    """Body of an answer that is being read.

    Parameters
    ----------
    buffers : AnswerBuffers
    limit_bytes : int
    on_end : callable
    """

    def __init__(
        self, buffers: AnswerBuffers, limit_bytes: int, on_end: Callable[[], None]
    ) -> None:
        self._buffers = buffers
        self._limit_bytes = limit_bytes
        self._on_end = on_end
        # Bytes that count as held.
        self.counted_bytes = 0
        self._has_ended = False
        # A list of chunks would take forty times the memory if each has one byte.
        self._received = bytearray()

    @property
    def size_bytes(self) -> int:
        """Number of bytes that were added."""
        return len(self._received)

    def append(self, chunk: bytes) -> None:
        """Add bytes to the body.

        Raises
        ------
        AnswerTooLargeError
            If this answer, or all answers together, exceed their limit.
        """
        self.check()
        if self.size_bytes + len(chunk) > self._limit_bytes:
            raise AnswerTooLargeError
        self._buffers.add(self, len(chunk))
        self._received += chunk

    def end(self) -> None:
        """Make room for another answer."""
        self.counted_bytes = 0
        self._has_ended = True
        self._received.clear()
        self._on_end()

    def check(self) -> None:
        """Raise AnswerTooLargeError if the answer had to make room for another."""
        if self._has_ended:
            raise AnswerTooLargeError

    def body(self) -> bytes:
        """Return the bytes that were added.

        Raises
        ------
        AnswerTooLargeError
            If the answer had to make room for another one, and is empty now.
        """
        self.check()
        return bytes(self._received)
