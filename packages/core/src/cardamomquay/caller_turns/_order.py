"""The order in which callers use the processor.

A round is an iteration of an event loop. Its work is bounded, so that whatever waits
for the next iteration, such as the answers of upstreams, waits a bounded time.
"""

from __future__ import annotations

from collections import deque
from typing import Generic
from typing import TypeVar

Waiter = TypeVar("Waiter")

# While both wait, callers that have sent ahead get one turn after so many others.
OTHER_TURNS_PER_AHEAD = 3


class TurnOrder(Generic[Waiter]):
    """Decides whose turn it is.

    A caller has sent ahead if it did not wait for its last answer, or if its request is
    long. The others go first, since a caller that waits for each answer can use no more
    than its share; but those that have sent ahead are never kept out. Within each
    group, the order is that of arrival. Whoever wants another turn waits again, so that
    no caller gets two turns while another one of its group waits.

    Parameters
    ----------
    round_units : int
        Work of one round. A turn costs one unit, and more if `charge` is called.
    """

    def __init__(self, round_units: int) -> None:
        self._round_units = round_units
        self._left_units = round_units
        self._others: deque[Waiter] = deque()
        self._ahead: deque[Waiter] = deque()
        self._others_since_ahead = 0

    def __len__(self) -> int:
        return len(self._others) + len(self._ahead)

    @property
    def is_fresh(self) -> bool:
        """Whether nobody waits, and all work of the round is left."""
        return not len(self) and self._left_units == self._round_units

    def begin_round(self) -> None:
        """Begin a round; work beyond the bound of earlier rounds is taken off."""
        left_units = self._left_units + self._round_units
        self._left_units = min(self._round_units, left_units)

    def take_now(self) -> bool:
        """Take a turn if nobody waits and the round has work left."""
        if len(self) or self._left_units <= 0:
            return False
        self._left_units -= 1
        return True

    def wait(self, waiter: Waiter, *, is_ahead: bool) -> None:
        """Wait for a turn.

        Parameters
        ----------
        waiter : Waiter
        is_ahead : bool
            Whether the caller has sent ahead.
        """
        (self._ahead if is_ahead else self._others).append(waiter)

    def pop(self) -> Waiter | None:
        """Return who is next; None if nobody waits or the round has no work left."""
        if not len(self) or self._left_units <= 0:
            return None
        if not self._ahead:
            return self._others.popleft()
        if self._others and self._others_since_ahead < OTHER_TURNS_PER_AHEAD:
            self._others_since_ahead += 1
            return self._others.popleft()
        self._others_since_ahead = 0
        return self._ahead.popleft()

    def charge(self, units: int) -> None:
        """Take work off this round, and what exceeds it off the next ones."""
        self._left_units -= units
