"""Numbered log events."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A numbered event of the catalogue in ``docs/events.md``."""

    number: int
    name: str
    meaning: str
