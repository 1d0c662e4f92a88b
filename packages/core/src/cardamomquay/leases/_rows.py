"""Rows of host leases in the table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import cast

from cardamomquay.platform import Condition
from cardamomquay.platform import Row
from cardamomquay.platform import RowKey
from cardamomquay.platform import Transaction
from cardamomquay.platform import Write

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cardamomquay.platform import JsonValue
    from cardamomquay.reducer import Identity

LEASES_TABLE = "host_leases"
# The last fencing token has a row of its own, because a release or a reclaim deletes
# the lease row. Without it a new lease could repeat the token of an older one.
FENCES_TABLE = "lease_fences"


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A host's lease as the table service holds it.

    Parameters
    ----------
    host, incarnation : str
    write_number : int
        Counts the host's attempts to write the row during the incarnation; stored as
        ``renewals``. Each attempt has a number of its own, so a row that is read back
        shows which of several attempts wrote it.
    fence : int
        Fencing token; grows with each new lease of the host.
    version : int
        Version of the row in the table service.
    """

    host: str
    incarnation: str
    write_number: int
    fence: int
    version: int


def is_own_lease(lease: LeaseRow, identity: Identity) -> bool:
    """Whether a lease belongs to this run of the daemon."""
    own = (identity.host, identity.incarnation)
    return (lease.host, lease.incarnation) == own


def lease_row_key(host: str) -> RowKey:
    """Return the key of the row that holds a host's lease."""
    return RowKey(LEASES_TABLE, host)


def fence_row_key(host: str) -> RowKey:
    """Return the key of the row that holds the last fencing token given to a host."""
    return RowKey(FENCES_TABLE, host)


def parse_lease_row(row: Row) -> LeaseRow | None:
    """Return the lease that a row of `LEASES_TABLE` holds, or None if absent."""
    if row.value is None:
        return None
    return LeaseRow(
        row.key.key,
        str(row.value["incarnation"]),
        cast("int", row.value["renewals"]),
        cast("int", row.value["fence"]),
        row.version,
    )


def next_fence(fence_row: Row) -> int:
    """Return the fencing token of the next lease."""
    if fence_row.value is None:
        return 1
    return cast("int", fence_row.value["fence"]) + 1


def acquire_transaction(
    host: str, incarnation: str, write_number: int, fence_row: Row
) -> Transaction:
    """Return the transaction that acquires an absent lease with a new fencing token.

    Parameters
    ----------
    host, incarnation : str
    write_number : int
    fence_row : Row
        The host's fence row, read in the same call that found no lease row.

    Returns
    -------
    Transaction
    """
    fence = next_fence(fence_row)
    return Transaction(
        (
            Condition(lease_row_key(host), 0),
            Condition(fence_row.key, fence_row.version),
        ),
        (
            Write(
                lease_row_key(host),
                {"incarnation": incarnation, "renewals": write_number, "fence": fence},
            ),
            Write(fence_row.key, {"fence": fence}),
        ),
    )


def renew_transaction(row: LeaseRow, write_number: int) -> Transaction:
    """Return the transaction that renews a held lease."""
    key = lease_row_key(row.host)
    value: dict[str, JsonValue] = {
        "incarnation": row.incarnation,
        "renewals": write_number,
        "fence": row.fence,
    }
    return Transaction((Condition(key, row.version),), (Write(key, value),))


def delete_transaction(versions: Iterable[tuple[str, int]]) -> Transaction:
    """Return the transaction that deletes lease rows if their versions are unchanged.

    Parameters
    ----------
    versions : iterable of (str, int)
        Each host with the version of its lease row.

    Returns
    -------
    Transaction
    """
    rows = [(lease_row_key(host), version) for host, version in versions]
    return Transaction(
        tuple(Condition(key, version) for key, version in rows),
        tuple(Write(key, None) for key, _ in rows),
    )
