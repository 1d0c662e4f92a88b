"""Limits of the answers that a host reads and buffers.

A faulty upstream may send bytes without end, as a head, as interim answers or as a
body. A host of 200 MB that read them until the timeout of the route would run out of
memory, and parsing them would delay all other requests.

Callers may also ask for more large answers at once than fit. Those for which there is
no room wait for it unread: if all of them were read, each would end others, and none
would become complete.
"""

from __future__ import annotations

import asyncio
from collections import Counter
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
# An answer without a stated length counts as large beyond the first figure, and has to
# have room for the second one before it is read on.
UNSTATED_SMALL_BYTES = 8192
UNSTATED_ANSWER_BYTES = MEBIBYTE
# While others wait for room, a large answer has to grow by this much in this time.
ANSWER_PROGRESS_BYTES = 16_384
ANSWER_STALLED_S = 3.0


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
        # Those that wait for room, in the order of their arrival. Services take turns.
        self._waiting: OrderedDict[AnswerBuffer, _Wait] = OrderedDict()
        # Called with the number of bytes that all answers hold from now on; returns
        # whether the process has memory for them.
        self.may_hold: Callable[[int], bool] = lambda _: True
        # The same for those that are held in any case.
        self.record_held: Callable[[int], object] = lambda _: None

    @property
    def waiting_count(self) -> int:
        """Number of answers that wait for room."""
        return len(self._waiting)

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
            self.record_held(self.used_bytes)
            self._admit_waiting()

    def add(self, buffer: AnswerBuffer, size_bytes: int) -> None:
        """Count received bytes.

        Raises
        ------
        AnswerTooLargeError
            If there is no room for them, and no other answer can make it.
        """
        growth = max(0, buffer.size_bytes + size_bytes - buffer.counted_bytes)
        if buffer.size_bytes + size_bytes <= SMALL_ANSWER_BYTES:
            self.record_held(self.used_bytes + growth)
        else:
            self._large[buffer] = None
            self._large.move_to_end(buffer)
            while growth and not self._has_room(growth):
                oldest = next(iter(self._large))
                if oldest is buffer:
                    raise AnswerTooLargeError
                self._end(oldest)
        self.used_bytes += growth
        buffer.counted_bytes += growth

    async def wait_for_room(self, buffer: AnswerBuffer, size_bytes: int) -> None:
        """Wait until a large answer fits, and count its whole size from then on.

        The next one is that of the service with the fewest answers being read, so that
        a crowd of callers of one service does not keep out those of others.

        Raises
        ------
        AnswerTooLargeError
            If it had to end while it waited.
        """
        loop = asyncio.get_running_loop()
        buffer.progress_s = loop.time()
        if not self._waiting and self._reserve(buffer, size_bytes):
            return
        wait = self._waiting[buffer] = _Wait(size_bytes, loop.create_future())
        self._admit_waiting()
        try:
            await wait.admitted
        finally:
            self._waiting.pop(buffer, None)
        buffer.check()
        buffer.progress_s = loop.time()

    def review(self, now_s: float) -> None:
        """End answers that keep others waiting, and admit those that fit."""
        if not self._waiting:
            return
        for buffer in self._read_now():
            if buffer.progress_s <= now_s - ANSWER_STALLED_S:
                self._end(buffer)
        self._admit_waiting()
        first = next(iter(self._waiting), None)
        if first is None or self._read_now():
            return
        if first.progress_s <= now_s - ANSWER_STALLED_S:
            # Something else has the memory, and no answer will make room.
            self._end(first)

    def _read_now(self) -> list[AnswerBuffer]:
        return [buffer for buffer in self._large if buffer not in self._waiting]

    def _admit_waiting(self) -> None:
        while self._waiting:
            buffer = self._next_waiting()
            wait = self._waiting[buffer]
            if not wait.admitted.done() and not self._reserve(buffer, wait.size_bytes):
                return
            del self._waiting[buffer]
            wait.admit()

    def _next_waiting(self) -> AnswerBuffer:
        counts = Counter(buffer.service for buffer in self._read_now())
        return min(self._waiting, key=lambda buffer: counts[buffer.service])

    def _reserve(self, buffer: AnswerBuffer, size_bytes: int) -> bool:
        """Count the whole size of an answer; return False if there is no room.

        If no large one is being read, none will make room, so that one always may be.
        """
        growth = max(0, size_bytes - buffer.counted_bytes)
        used_bytes = self.used_bytes + growth
        if used_bytes > self.total_bytes and self._read_now():
            return False
        if not self.may_hold(used_bytes):
            return False
        self.used_bytes += growth
        buffer.counted_bytes += growth
        self._large[buffer] = None
        return True

    def _end(self, buffer: AnswerBuffer) -> None:
        self._large.pop(buffer, None)
        self.used_bytes -= buffer.counted_bytes
        buffer.end()
        wait = self._waiting.pop(buffer, None)
        if wait is not None:
            wait.admit()

    def _has_room(self, size_bytes: int) -> bool:
        used_bytes = self.used_bytes + size_bytes
        return used_bytes <= self.total_bytes and self.may_hold(used_bytes)


@dataclass(frozen=True, slots=True)
class _Wait:
    """What an answer waits for.

    Parameters
    ----------
    size_bytes : int
        Its size when it is complete.
    admitted : asyncio.Future of None
    """

    size_bytes: int
    admitted: asyncio.Future[None]

    def admit(self) -> None:
        """End the wait, unless it has been cancelled."""
        if not self.admitted.done():
            self.admitted.set_result(None)


class AnswerBuffer:
    """Body of an answer that is being read.

    Parameters
    ----------
    buffers : AnswerBuffers
    limit_bytes : int
    on_end : callable

    Attributes
    ----------
    counted_bytes : int
        Bytes that count as held: those that were added, or the whole answer.
    progress_s : float
        Time of the last progress, on the clock of the event loop.
    service : str
        Service that it is an answer of, once it has waited for room.
    """

    def __init__(
        self, buffers: AnswerBuffers, limit_bytes: int, on_end: Callable[[], None]
    ) -> None:
        self._buffers = buffers
        self._limit_bytes = limit_bytes
        self._on_end = on_end
        self.counted_bytes = 0
        self.progress_s = 0.0
        self.service = ""
        self._received_since_progress = 0
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

    async def wait_for_room(self, size_bytes: int, service: str) -> None:
        """Wait until the whole answer fits, unless it is small or has room already.

        Parameters
        ----------
        size_bytes : int
            Its size when it is complete.
        service : str

        Raises
        ------
        AnswerTooLargeError
            If it exceeds its limit, or had to end while it waited.
        """
        if size_bytes > self._limit_bytes:
            raise AnswerTooLargeError
        if size_bytes > max(SMALL_ANSWER_BYTES, self.counted_bytes):
            self.service = service
            await self._buffers.wait_for_room(self, size_bytes)

    def record_received(self, size_bytes: int, now_s: float) -> None:
        """Record received bytes, which are progress once they are many."""
        self._received_since_progress += size_bytes
        if self._received_since_progress >= ANSWER_PROGRESS_BYTES:
            self._received_since_progress = 0
            self.progress_s = now_s

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
