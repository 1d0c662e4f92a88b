"""Rows of the store that contain the lender of each resource."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from cardamomquay.platform import Row
from cardamomquay.platform import RowKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.platform import JsonValue

LENDERS_TABLE = "lenders"


@dataclass(frozen=True, slots=True)
class LenderRow:
    """The lender of a resource, as stored.

    Parameters
    ----------
    resource : str
    host, incarnation : str
        Name of the host and identifier of its daemon's run; empty without a lender.
    fence : int
        Fencing token; increases with each new lender of the resource.
    version : int
        Version of the row.
    """

    resource: str
    host: str
    incarnation: str
    fence: int
    version: int


def lender_row_key(resource: str) -> RowKey:
    """Return the key of the row with the lender of a resource."""
    return RowKey(LENDERS_TABLE, resource)


def read_lender_row(row: Row) -> LenderRow | None:
    """Return the lender in a row, None if the row is absent."""
    if row.value is None:
        return None
    value = row.value
    return LenderRow(
        row.key.key,
        str(value["host"]),
        str(value["incarnation"]),
        int(str(value["fence"])),
        row.version,
    )


def lender_row_value(host: str, incarnation: str, fence: int) -> dict[str, JsonValue]:
    """Return the value of a lender row."""
    return {"host": host, "incarnation": incarnation, "fence": fence}


def preferred_host(resource: str, hosts: Iterable[str]) -> str | None:
    """Return the host that rendezvous hashing assigns to a resource.

    When a host is added or removed, only the resources assigned to it are affected.

    Parameters
    ----------
    resource : str
    hosts : iterable of str

    Returns
    -------
    str or None
        None if there are no hosts.
    """
    return max(
        hosts,
        key=lambda host: (xxhash.xxh64_intdigest(f"{resource}\n{host}".encode()), host),
        default=None,
    )
