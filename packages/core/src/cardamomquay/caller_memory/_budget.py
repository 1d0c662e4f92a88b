"""One budget for all that callers make a host hold.

Each connection of a caller has a holding, which counts its buffers, requests and
answers. Holdings are kept in the order of their last progress, so that no clock decides
who gives way: it is the one at the front.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import chain
from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# A holding up to this size is small: a connection with its buffers, a head of 16 KiB
# and a short body.
SMALL_BYTES = 49_152
# Share of the budget that requests above `SMALL_BYTES` may use. The rest is for answers
# and ordinary requests while upstreams work on large requests, which nothing may end.
LARGE_SHARE = 0.9
# Share that answers may use before others end for them. The rest is for ordinary
# requests beside callers that do not read their answers.
ANSWER_SHARE = 0.96
# Share up to which answers are read from upstreams. Those without room can wait, and
# requests that run keep room beside them.
READ_SHARE = 0.85
# Time that callers have for another part of their answer before it ends so that more
# answers can be read. A crowd that never reads would otherwise end those that do.
DELIVERY_S = 1.0
# Share of the budget down to which room is made. Choosing costs a pass over the
# holdings, so it must not be needed for each read.
ROOM_SHARE = 0.95
# Share of the budget above which holdings without progress are ended before their room
# is needed. While others use less, a request may be as slow as its caller likes.
PRESSURE_SHARE = 0.5


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection of a caller makes the host hold.

    Parameters
    ----------
    progress_s : float
        Time of the last progress.
    size_bytes : int
    is_protected : bool
        Whether an upstream may be at work on one of its requests.
    is_answering : bool
        Whether an answer is being delivered, or waits for that.
    is_unread : bool
        Whether its caller has not accepted all that was written.
    has_to_end : bool
        Whether the connection was chosen to be refused or closed.
    """

    progress_s: float
    size_bytes: int = 0
    is_protected: bool = False
    is_answering: bool = False
    is_unread: bool = False
    has_to_end: bool = False


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a holding may grow, and which others end for it.

    Parameters
    ----------
    is_granted : bool
    ended : tuple of Holding
        Their connections are to be refused or closed at once.
    """

    is_granted: bool
    ended: tuple[Holding, ...] = ()


class CallerBudget:
    """Decides which connections give way when memory or connections run out.

    Those without progress for the longest time end first, never one on whose request an
    upstream may be at work. Small holdings end only for small ones, and only once no
    large one is left. A large request is refused rather than that an answer ends which
    is being delivered: it has not run, and the other one has.

    Parameters
    ----------
    limit_bytes : int
        Memory for everything that callers make the host hold.
    connections_max : int
        Largest number of connections.
    """

    def __init__(self, limit_bytes: int, connections_max: int) -> None:
        self.limit_bytes = limit_bytes
        self.connections_max = connections_max
        self.used_bytes = 0
        # Answers of upstreams and of the store that are being read, of all connections.
        # Their `progress_s` is the time of the last change.
        self.answers = Holding(0.0, is_protected=True)
        self._holdings: set[Holding] = {self.answers}
        # Holdings that may be ended, the one with the oldest progress first.
        self._order: OrderedDict[Holding, None] = OrderedDict()
        # Sum of the large ones among them, so that they are not looked for in vain.
        self._large_bytes = 0
        # Those that will be closed soon, the first to come at the front.
        self._finished: OrderedDict[Holding, None] = OrderedDict()

    @property
    def connection_count(self) -> int:
        """Number of open holdings, without that of the answers."""
        return len(self._holdings) - 1

    @property
    def oldest_progress_s(self) -> float | None:
        """Time of the oldest progress of those that may be ended; None without any."""
        oldest = next(iter(self._order), None)
        return oldest.progress_s if oldest else None

    @property
    def is_short(self) -> bool:
        """Whether so much is used that holdings without progress end."""
        return self.used_bytes > PRESSURE_SHARE * self.limit_bytes

    def open(self, holding: Holding) -> Decision:
        """Add a holding; a granted one is to be closed with `close`."""
        ended: tuple[Holding, ...] = ()
        if self.connection_count >= self.connections_max:
            oldest = next(iter(self._finished or self._order), None)
            if oldest is None:
                return Decision(is_granted=False)
            oldest.has_to_end = True
            self.close(oldest)
            ended = (oldest,)
        self._holdings.add(holding)
        self._order[holding] = None
        return Decision(True, ended)

    def close(self, holding: Holding) -> None:
        """Remove a holding; does nothing if it is removed already."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self._leave_order(holding)
            self._finished.pop(holding, None)
            self.used_bytes -= holding.size_bytes
            holding.size_bytes = 0

    def finish(self, holding: Holding) -> None:
        """Let a connection with its last answer give way before all others."""
        if holding in self._holdings:
            self._leave_order(holding)
            self._finished[holding] = None

    def resize(
        self, holding: Holding, size_bytes: int, *, is_needed: bool = False
    ) -> Decision:
        """Change the size of a holding.

        Parameters
        ----------
        holding : Holding
        size_bytes : int
        is_needed : bool
            Whether it grows in any case. Others then end for it as far as they can.

        Returns
        -------
        Decision
            If it is not granted, the size is unchanged.
        """
        if holding.has_to_end or holding not in self._holdings:
            return Decision(is_granted=False)
        growth = size_bytes - holding.size_bytes
        ended: tuple[Holding, ...] = ()
        limit = self.limit_bytes
        is_answer = is_needed or holding is self.answers
        # Answers that are not read yet can wait for room.
        can_wait = holding is self.answers and not is_needed
        is_large = size_bytes > SMALL_BYTES
        is_large_request = is_large and not is_answer
        if can_wait:
            limit = int(READ_SHARE * limit)
        elif is_large:
            limit = int((ANSWER_SHARE if is_answer else LARGE_SHARE) * limit)
        if growth > 0 and self.used_bytes + growth > limit:
            candidates = (
                other
                for other in self._candidates(holding, size_bytes)
                if not (is_large_request and other.is_answering)
                and not (
                    can_wait and other.progress_s > holding.progress_s - DELIVERY_S
                )
            )
            ended = self._choose(candidates, growth, limit, only_large=is_large)
            for other in ended:
                self._end(other)
            if self.used_bytes + growth > limit and not is_needed:
                return Decision(False, ended)
        self.used_bytes += growth
        if holding in self._order:
            self._large_bytes += _large_part(size_bytes)
            self._large_bytes -= _large_part(holding.size_bytes)
        holding.size_bytes = size_bytes
        return Decision(True, ended)

    def record_progress(self, holding: Holding, now_s: float) -> None:
        """Move a holding behind all others."""
        holding.progress_s = now_s
        if holding in self._order:
            self._order.move_to_end(holding)

    def set_protected(
        self, holding: Holding, now_s: float, *, is_protected: bool
    ) -> None:
        """Say whether an upstream may be at work on a request; a change is progress."""
        if holding.is_protected == is_protected or holding not in self._holdings:
            return
        holding.is_protected = is_protected
        holding.progress_s = now_s
        if is_protected:
            self._leave_order(holding)
        elif not holding.has_to_end:
            self._order[holding] = None
            self._large_bytes += _large_part(holding.size_bytes)

    def end_stalled(self, now_s: float, stalled_s: float) -> tuple[Holding, ...]:
        """End large holdings without progress, while others need much of the budget.

        What a holding takes itself does not count: one slow request of the largest size
        is served as slowly as its caller likes.

        Parameters
        ----------
        now_s : float
        stalled_s : float
            Time without progress after which a holding ends.

        Returns
        -------
        tuple of Holding
        """
        ended: list[Holding] = []
        left_bytes = self.used_bytes
        pressure_bytes = PRESSURE_SHARE * self.limit_bytes
        if not self.is_short:
            return ()
        for holding in chain(self._order, self._blocked()):
            if left_bytes <= pressure_bytes:
                break
            if holding.progress_s > now_s - stalled_s:
                continue
            others_bytes = left_bytes - holding.size_bytes
            if holding.size_bytes > SMALL_BYTES and others_bytes > pressure_bytes:
                ended.append(holding)
                left_bytes = others_bytes
        for holding in ended:
            self._end(holding)
        return tuple(ended)

    def _blocked(self) -> list[Holding]:
        """Return those whose requests run behind answers that nobody reads.

        Their answers cannot be delivered, and would keep the memory.
        """
        blocked = [
            holding
            for holding in self._holdings
            if holding.is_protected and holding.is_unread
        ]
        return sorted(blocked, key=attrgetter("progress_s"))

    def _choose(
        self,
        candidates: Iterator[Holding],
        growth: int,
        limit: int,
        *,
        only_large: bool,
    ) -> tuple[Holding, ...]:
        """Return whom to end so that a holding can grow; nobody if that is no help."""
        needed = self.used_bytes + growth - limit
        if only_large and self._large_bytes < needed:
            return ()
        wanted = needed + int((1.0 - ROOM_SHARE) * limit)
        chosen: list[Holding] = []
        freed = 0
        for other in candidates:
            if freed >= wanted:
                break
            chosen.append(other)
            freed += other.size_bytes
        return tuple(chosen) if freed >= needed else ()

    def _candidates(self, requester: Holding, size_bytes: int) -> Iterator[Holding]:
        for other in self._order if self._large_bytes else ():
            if other is requester:
                # All others have made progress since.
                break
            if other.size_bytes > SMALL_BYTES:
                yield other
        if size_bytes > SMALL_BYTES:
            return
        for other in self._order:
            if other is requester:
                break
            if other.size_bytes <= SMALL_BYTES:
                yield other

    def _leave_order(self, holding: Holding) -> None:
        if holding in self._order:
            del self._order[holding]
            self._large_bytes -= _large_part(holding.size_bytes)

    def _end(self, holding: Holding) -> None:
        holding.has_to_end = True
        self.finish(holding)
        self.used_bytes -= holding.size_bytes
        holding.size_bytes = 0


def _large_part(size_bytes: int) -> int:
    """Return the size of a large holding, and 0 for a small one."""
    return size_bytes if size_bytes > SMALL_BYTES else 0
