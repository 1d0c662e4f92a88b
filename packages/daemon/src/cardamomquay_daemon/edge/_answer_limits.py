"""Limits of the answers that a host reads and buffers.

A faulty upstream may send bytes without end, as a head, as interim answers or as a
body. A host of 200 MB that read them until the timeout of the route would run out of
memory, and parsing them would delay all other requests.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Generator

MEBIBYTE = 1_048_576


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
    """Raised if an answer, or all answers in progress together, exceed their limit."""


class AnswerBuffers:
    """Counts the bytes of all answers that are being read.

    Parameters
    ----------
    total_bytes : int
        Largest number of buffered bytes of all answers together.
    """

    def __init__(self, total_bytes: int = 48 * MEBIBYTE) -> None:
        self._total_bytes = total_bytes
        self.used_bytes = 0

    @contextmanager
    def buffer(self, limit_bytes: int) -> Generator[AnswerBuffer]:
        """Count the bytes of one answer until the end of the context.

        Parameters
        ----------
        limit_bytes : int
            Largest number of bytes of this answer.
        """
        buffer = AnswerBuffer(self, limit_bytes)
        try:
            yield buffer
        finally:
            self.used_bytes -= buffer.size_bytes

    def add(self, size_bytes: int) -> None:
        """Count received bytes.

        Raises
        ------
        AnswerTooLargeError
            If all answers together exceed their limit.
        """
        if self.used_bytes + size_bytes > self._total_bytes:
            raise AnswerTooLargeError
        self.used_bytes += size_bytes


class AnswerBuffer:
    """Body of an answer that is being read.

    Parameters
    ----------
    buffers : AnswerBuffers
    limit_bytes : int
    """

    def __init__(self, buffers: AnswerBuffers, limit_bytes: int) -> None:
        self._buffers = buffers
        self._limit_bytes = limit_bytes
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
        if self.size_bytes + len(chunk) > self._limit_bytes:
            raise AnswerTooLargeError
        self._buffers.add(len(chunk))
        self._received += chunk

    def body(self) -> bytes:
        """Return the bytes that were added."""
        return bytes(self._received)
