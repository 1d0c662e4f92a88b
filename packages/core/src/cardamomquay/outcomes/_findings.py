"""Findings of a validation, collected with their place."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a document, a settings file or an edit.

    Parameters
    ----------
    source : str
        File or table row in which the fault stands, for example ``routes/browse``.
    path : str
        Path of the field inside the source, for example ``move.cap_percent``.
    found : str
        The value found, or a short description of it.
    expected : str
        What the field has to be.
    line : int or None
        Line in the source, counted from 1, where it is known.
    """

    source: str
    path: str
    found: str
    expected: str
    line: int | None = None

    def __str__(self) -> str:
        place = self.source if self.line is None else f"{self.source}:{self.line}"
        field = f" {self.path}" if self.path else ""
        return f"{place}:{field} found {self.found}, expected {self.expected}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Join findings into one text, a line each.

    Parameters
    ----------
    findings : iterable of Finding

    Returns
    -------
    str
    """
    return "\n".join(str(finding) for finding in findings)
