"""A concurrency limit that is shared fairly among organisations."""

from __future__ import annotations

import itertools
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cardamomquay.outcomes import Refusal
from cardamomquay.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from cardamomquay.clock import Clock


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits in the queue or is running."""

    organisation: str
    start_tag: float
    finish_tag: float
    arrival_number: int
    is_running: bool = False


class FairQueue:
    """A thread-safe weighted fair queue by organisation.

    It implements start-time fair queueing: a request's start tag is the larger of
    the virtual time and its organisation's last finish tag, its finish tag is 1 /
    weight later, and the waiting request with the lowest start tag runs next; of equal
    tags, that of the earlier arrival. The virtual time is the highest start tag of a
    request that has started. An organisation that exceeds its share delays only its
    own requests.

    Parameters
    ----------
    clock : Clock
    max_running : int
        Maximum number of requests that run at the same time.
    max_waiting : int
        Maximum number of waiting requests of all organisations together.

    Notes
    -----
    P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
    """

    def __init__(self, clock: Clock, max_running: int, max_waiting: int) -> None:
        self._clock = clock
        self._max_running = max_running
        self._max_waiting = max_waiting
        self._condition = threading.Condition()
        self._weights: Mapping[str, float] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._running = 0
        self._arrival_numbers = itertools.count()
        # Bounded by `max_waiting`, so a linear search for the next ticket is cheap.
        self._waiting: dict[Ticket, None] = {}

    def apply(self, weights: Mapping[str, float]) -> None:
        """Set the weight of each organisation, which is its configured rate."""
        with self._condition:
            self._weights = dict(weights)
            kept = self._finish_tags.keys() & weights.keys()
            self._finish_tags = {name: self._finish_tags[name] for name in kept}

    @contextmanager
    def slot(self, organisation: str, deadline_s: float) -> Iterator[Refusal | None]:
        """Hold a slot while the body runs; yield a refusal if none was free in time.

        Parameters
        ----------
        organisation : str
        deadline_s : float
            Time on the host's clock until which to wait for a slot.
        """
        ticket = self.enter(organisation)
        if ticket is None:
            yield Refusal(RefusalReason.POOL_BUSY, "queue is full")
            return
        try:
            if self._wait(ticket, deadline_s):
                yield None
            else:
                yield Refusal(RefusalReason.POOL_BUSY, "no slot in time")
        finally:
            self.leave(ticket)

    def enter(self, organisation: str) -> Ticket | None:
        """Queue a request, or start it immediately if a slot is free.

        Parameters
        ----------
        organisation : str

        Returns
        -------
        Ticket or None
            None if the queue is full and no waiting request has a later start tag.
        """
        with self._condition:
            if len(self._waiting) >= self._max_waiting:
                if (last := self._last_in_queue()) is None:
                    return None
                if self._next_start_tag(organisation) >= last.start_tag:
                    return None
                # The new request has the lower start tag, so it replaces the last one.
                self._drop(last)
            start_tag = self._next_start_tag(organisation)
            finish_tag = start_tag + 1.0 / self._weight(organisation)
            self._finish_tags[organisation] = finish_tag
            ticket = Ticket(
                organisation, start_tag, finish_tag, next(self._arrival_numbers)
            )
            self._waiting[ticket] = None
            self._start_next()
            return ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a running or waiting request and start the next one."""
        with self._condition:
            if ticket.is_running:
                ticket.is_running = False
                self._running -= 1
            elif ticket in self._waiting:
                self._drop(ticket)
            self._start_next()

    def is_dropped(self, ticket: Ticket) -> bool:
        """Whether a request was removed from the queue before it ran.

        Also true after `leave`.
        """
        with self._condition:
            return not ticket.is_running and ticket not in self._waiting

    def _wait(self, ticket: Ticket, deadline_s: float) -> bool:
        with self._condition:
            while not ticket.is_running:
                remaining_s = deadline_s - self._clock.now_s()
                if remaining_s <= 0 or ticket not in self._waiting:
                    return False
                self._clock.wait(self._condition, remaining_s)
            return True

    def _weight(self, organisation: str) -> float:
        return self._weights.get(organisation, 1.0)

    def _next_start_tag(self, organisation: str) -> float:
        finish_tag = self._finish_tags.get(organisation, 0.0)
        return max(self._virtual_time, finish_tag)

    def _last_in_queue(self) -> Ticket | None:
        key = _by_start_tag
        return max(self._waiting, key=key) if self._waiting else None

    def _drop(self, ticket: Ticket) -> None:
        del self._waiting[ticket]
        # A request that never ran is not charged to its organisation, unless later
        # requests of the organisation are already queued behind it.
        if self._finish_tags.get(ticket.organisation) == ticket.finish_tag:
            self._finish_tags[ticket.organisation] = ticket.start_tag
        self._condition.notify_all()

    def _start_next(self) -> None:
        started = False
        while self._waiting and self._running < self._max_running:
            ticket = min(self._waiting, key=_by_start_tag)
            del self._waiting[ticket]
            ticket.is_running = True
            self._running += 1
            self._virtual_time = max(self._virtual_time, ticket.start_tag)
            started = True
        if started:
            self._condition.notify_all()


def _by_start_tag(ticket: Ticket) -> tuple[float, int]:
    return ticket.start_tag, ticket.arrival_number
