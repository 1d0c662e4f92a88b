"""Validation errors with the location of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class Finding:
    """One validation error of a document, a settings file or an edit.

    Parameters
    ----------
    source : str
        File or table row that has the error, for example ``routes/browse``.
    path : str
        Path of the field inside the source, for example ``move.cap_percent``.
    found : str
        The invalid value, or a short description of it.
    expected : str
        Description of a valid value.
    line : int or None
        Line number in the source, from 1, if known.
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
    """Format findings as text with one line each.

    Parameters
    ----------
    findings : iterable of Finding

    Returns
    -------
    str
    """
    return "\n".join(str(finding) for finding in findings)
