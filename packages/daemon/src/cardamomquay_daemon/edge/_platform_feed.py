"""What the relay needs of the platform, in the project's own types."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cardamomquay.platform import Committed
    from cardamomquay.platform import Conflicted
    from cardamomquay.platform import RowsRead
    from cardamomquay.platform import Transaction
    from cardamomquay.platform import Unavailable
    from cardamomquay.platform import Write
    from cardamomquay.rollouts import RolloutOrder
    from cardamomquay.rollouts import RolloutOutcome
    from cardamomquay.traffic import TrafficConfig
    from cardamomquay.traffic import Upstream


@dataclass(frozen=True, slots=True)
class OperatorChanges:
    """What the operator has written.

    Parameters
    ----------
    revision : int
        Newest revision that the changes include.
    is_snapshot : bool
        Whether everything in force is listed, not only what changed.
    config : TrafficConfig or None
        The newest configuration; None if it did not change.
    evacuated : dict of str to bool
        Availability zones with an order to empty them (True) or without (False).
    rollouts : dict of str to RolloutOrder or None
        Orders by service; None for one that was removed.
    """

    revision: int
    is_snapshot: bool
    config: TrafficConfig | None
    evacuated: dict[str, bool]
    rollouts: dict[str, RolloutOrder | None]


@dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """What upstreams have registered.

    Parameters
    ----------
    revision : int
    is_snapshot : bool
        Whether all upstreams are listed, not only the changed ones.
    present : tuple of Upstream
    removed : tuple of str
        Instances whose entry is gone or cannot be used.
    """

    revision: int
    is_snapshot: bool
    present: tuple[Upstream, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The platform no longer has the changes since the revision asked for."""


class PlatformFeed(ABC):
    """The platform's store, read and written in the project's types."""

    @abstractmethod
    async def operator_changes(
        self, after: int | None, wait_s: float
    ) -> OperatorChanges | HistoryGone | Unavailable:
        """Read what the operator has written.

        Parameters
        ----------
        after : int or None
            Revision of the answer before; None for a snapshot.
        wait_s : float
            Longest wait for a change; 0 to return at once.

        Returns
        -------
        OperatorChanges, HistoryGone or Unavailable
        """

    @abstractmethod
    async def upstream_changes(
        self, after: int | None, wait_s: float
    ) -> UpstreamChanges | HistoryGone | Unavailable:
        """Read what upstreams have registered; parameters as above."""

    @abstractmethod
    async def scan(self, table: str) -> RowsRead | Unavailable:
        """Read a table of the system's own."""

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        """Commit a transaction on tables of the system's own."""

    @abstractmethod
    async def commit_rollout(
        self,
        service: str,
        to_version: str,
        outcome: RolloutOutcome,
        row: Write,
        expected_version: int,
    ) -> Committed | Conflicted | Unavailable:
        """Store the state of a roll-out and tell the operator, both or neither.

        Parameters
        ----------
        service, to_version : str
        outcome : RolloutOutcome
        row : Write
            The system's own record.
        expected_version : int
            Version that the record must have; 0 if there must be none.

        Returns
        -------
        Committed, Conflicted or Unavailable
        """
