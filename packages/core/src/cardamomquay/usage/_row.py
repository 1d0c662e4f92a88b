"""The row of the store that is election, token and agreed bodies in one."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cardamomquay.platform import revision_era
from cardamomquay.platform import revision_version

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cardamomquay.platform import JsonValue

# Bits of the store's version in a token; those above hold the era. With 20 bits for the
# era, tokens fit into a signed integer of 64 bits.
TOKEN_VERSION_BITS = 40


def token_of(revision: int) -> int:
    """Return the token of a term that began with the commit of a revision.

    The store gives each version out once in an era, and eras only rise. So no token is
    issued twice, whatever a restored row contains.
    """
    return (
        revision_era(revision) << TOKEN_VERSION_BITS
        | revision_version(revision) & (1 << TOKEN_VERSION_BITS) - 1
    )


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Content of the row.

    Parameters
    ----------
    era : int
        Era of the store in which the row was written. In a later one the row is from
        a copy, or from a delayed write whose condition a reused version has met, and
        proves nothing.
    holder : str
        Name of the host that reports.
    start : int
        Identifier of the holder's start, which no two processes share.
    token : int
        Token of the holder's term; 0 in the write that begins the term, whose revision
        gives the token.
    taken_s : float
        True time of the beginning of the term, in seconds since the start of 1970.
    through : int
        Last window that is agreed or given up.
    bodies : dict of int to str
        Agreed bodies that may not have been sent yet, by window.
    """

    era: int
    holder: str
    start: int
    token: int
    taken_s: float
    through: int
    bodies: dict[int, str] = field(default_factory=dict)

    def to_value(self) -> dict[str, JsonValue]:
        """Return the row as a JSON object."""
        return {
            "era": self.era,
            "holder": self.holder,
            # Beyond the integers that every JSON reader keeps exactly.
            "start": str(self.start),
            "token": str(self.token),
            "taken_s": round(self.taken_s, 3),
            "through": self.through,
            "bodies": {str(window): body for window, body in self.bodies.items()},
        }

    @classmethod
    def from_value(cls, value: Mapping[str, JsonValue] | None) -> UsageRow | None:
        """Return the row of a JSON object; None if there is none or it is invalid."""
        if value is None:
            return None
        try:
            bodies = value["bodies"]
            if not isinstance(bodies, dict):
                return None
            return cls(
                _integer(value["era"]),
                str(value["holder"]),
                int(str(value["start"])),
                int(str(value["token"])),
                float(str(value["taken_s"])),
                _integer(value["through"]),
                {int(window): str(body) for window, body in bodies.items()},
            )
        except (KeyError, ValueError):
            return None


def _integer(value: JsonValue) -> int:
    if not isinstance(value, int):
        raise ValueError(f"found {value!r}, expected an integer")
    return value


def encode_body(window: int, counts: Mapping[str, int]) -> str:
    """Return the body of a window's report; equal counts give equal bytes."""
    ordered = {name: counts[name] for name in sorted(counts)}
    return json.dumps({"window": window, "counts": ordered}, separators=(",", ":"))
