"""Commands of the operators' command line, by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cardamomquay_cli._drains import Drain
from cardamomquay_cli._drains import DrainHost
from cardamomquay_cli._drains import Undrain
from cardamomquay_cli._drains import UndrainHost
from cardamomquay_cli._explain import Explain
from cardamomquay_cli._history import History
from cardamomquay_cli._history import Settle
from cardamomquay_cli._hosts import Status
from cardamomquay_cli._hosts import Wait
from cardamomquay_cli._keys import Grant
from cardamomquay_cli._keys import Withdraw
from cardamomquay_cli._moves import Finish
from cardamomquay_cli._moves import Move
from cardamomquay_cli._moves import Moves
from cardamomquay_cli._moves import TakeBack
from cardamomquay_cli._moves import Watch
from cardamomquay_cli._tables import Apply
from cardamomquay_cli._tables import Delete
from cardamomquay_cli._tables import Patch
from cardamomquay_cli._tables import Set
from cardamomquay_cli._tables import Show

if TYPE_CHECKING:
    from cardamomquay_cli._results import Command

COMMANDS: dict[str, Command] = {
    command.name: command
    for command in (
        Show(),
        Set(),
        Patch(),
        Delete(),
        Apply(),
        Grant(),
        Withdraw(),
        Move(),
        Moves(),
        Watch(),
        Finish(),
        TakeBack(),
        Drain(),
        Undrain(),
        DrainHost(),
        UndrainHost(),
        History(),
        Settle(),
        Status(),
        Wait(),
        Explain(),
    )
}
