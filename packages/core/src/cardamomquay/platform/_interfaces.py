"""Interfaces of the platform's services."""

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
    """Name of a row: its table, and its key in the table."""

    table: str
    key: str

    def __str__(self) -> str:
        return f"{self.table}/{self.key}"


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read. Version 0 and value None mean that it is absent.

    Parameters
    ----------
    key : RowKey
    version : int
        Revision of the commit that wrote the row last.
    value : dict or None
        JSON object.
    """

    key: RowKey
    version: int
    value: Mapping[str, JsonValue] | None


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row still has a version; 0 requires that it is absent."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets a row, or deletes it where `value` is None."""

    key: RowKey
    value: Mapping[str, JsonValue] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows of one consistent snapshot at `revision`."""

    revision: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect at `revision`."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction had no effect; `rows` are those whose condition failed."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service gave no usable answer.

    Parameters
    ----------
    reason : str
    may_have_committed : bool
        Whether a write may have taken effect all the same.
    refused : bool
        Whether the service itself said that it is down, or refused the connection.
        A time-out or an unreachable network is no such evidence.
    """

    reason: str
    may_have_committed: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ListedHost:
    """A host as the platform lists it."""

    host: str
    address: str
    peer_address: str
    region: str
    availability_zone: str
    leaving: bool = False


class TableService(ABC):
    """Rows of JSON objects with transactions."""

    @abstractmethod
    def read(self, keys: Sequence[RowKey]) -> RowsRead | Unavailable:
        """Read rows of one snapshot that has every commit acknowledged before.

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
        """Read a whole table; the snapshot may be an older one.

        Parameters
        ----------
        table : str

        Returns
        -------
        RowsRead or Unavailable
            The present rows, ordered by key.
        """

    @abstractmethod
    def transact(
        self, transaction: Transaction
    ) -> Committed | Conflicted | Unavailable:
        """Commit a transaction.

        Parameters
        ----------
        transaction : Transaction

        Returns
        -------
        Committed, Conflicted or Unavailable
        """


class ObjectStore(ABC):
    """Named byte strings."""

    @abstractmethod
    def get(self, name: str) -> bytes | Unavailable | None:
        """Return an object, or None if there is none of that name."""

    @abstractmethod
    def put(self, name: str, data: bytes) -> Unavailable | None:
        """Store an object, replacing one of the same name."""


class HostList(ABC):
    """The platform's list of live and leaving hosts; it lags."""

    @abstractmethod
    def listed(self) -> tuple[ListedHost, ...] | Unavailable:
        """Return the hosts listed now."""
