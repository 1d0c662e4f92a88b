"""The type of numbered log events."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A kind of log event, as listed in ``docs/events.md``.

    Parameters
    ----------
    number : int
        Unique number, logged with each event of this kind.
    name : str
        Logged as the event's ``message_type``.
    meaning : str
        Description for the documentation.
    """

    number: int
    name: str
    meaning: str
