"""Interfaces of the table service, the object store and the host list."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

JsonValue = (
    None | bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"]
)


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Identifies a row by its table and its key in the table."""

    table: str
    key: str

    def __str__(self) -> str:
        return f"{self.table}/{self.key}"


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read; version 0 if it does not exist.

    Parameters
    ----------
    key : RowKey
    version : int
        Revision of the commit that last wrote the row.
    value : dict or None
        JSON object; None if the row does not exist or cannot be read.
    """

    key: RowKey
    version: int
    value: Mapping[str, JsonValue] | None


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has a version; 0 requires that it does not exist."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets a row, or deletes it if `value` is None."""

    key: RowKey
    value: Mapping[str, JsonValue] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows from one consistent snapshot at `revision`."""

    revision: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction was not applied; `rows` are those whose condition failed."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service returned no usable answer.

    Parameters
    ----------
    reason : str
    may_have_committed : bool
        Whether a transaction may nevertheless have been committed.
    refused : bool
        Whether the service reported that it is down, or refused the connection.
        False for a timeout or an unreachable network, after which the service may
        still be running.
    """

    reason: str
    may_have_committed: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host in the platform's host list.

    Parameters
    ----------
    host : str
    address, peer_address : str
        ``ip:port`` for callers and for other hosts' daemons.
    region, availability_zone : str
    leaving : bool
        Whether a planned stop of the host has begun.
    """

    host: str
    address: str
    peer_address: str
    region: str
    availability_zone: str
    leaving: bool = False


class TableService(ABC):
    """A transactional store of JSON objects as rows."""

    @abstractmethod
    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        """Read rows from one snapshot that includes every acknowledged commit.

        Parameters
        ----------
        keys : sequence of RowKey

        Returns
        -------
        RowsRead or Unavailable
            One row for each key, in the order of `keys`.
        """

    @abstractmethod
    def scan(self, table: str) -> RowsRead | Unavailable:
        """Read a whole table from a snapshot that may be stale.

        Parameters
        ----------
        table : str

        Returns
        -------
        RowsRead or Unavailable
            The existing rows, ordered by key.
        """

    @abstractmethod
    def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        """Commit a transaction if all of its conditions hold.

        Parameters
        ----------
        transaction : Transaction

        Returns
        -------
        Committed, Conflicted or Unavailable
        """


class ObjectStore(ABC):
    """A store of byte strings by name."""

    @abstractmethod
    def get(self, name: str) -> bytes | Unavailable | None:
        """Return an object, or None if it does not exist."""

    @abstractmethod
    def put(self, name: str, data: bytes) -> Unavailable | None:
        """Store an object, replacing an existing one of the same name."""


class HostList(ABC):
    """The platform's list of live and leaving hosts, which may be out of date."""

    @abstractmethod
    def list_hosts(self) -> tuple[ListedHost, ...] | Unavailable:
        """Return the hosts that are currently listed."""
