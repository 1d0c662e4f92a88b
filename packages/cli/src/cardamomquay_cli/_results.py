"""Results and exit codes of commands."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import Any

from cardamomquay_cli._client import NoAnswer

if TYPE_CHECKING:
    from cardamomquay_cli._client import Answer
    from cardamomquay_cli._client import OperatorClient

HTTP_OK = 200
HTTP_UNAUTHORIZED = 401


class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    REJECTED = 4
    CONFLICT = 5
    UNSETTLED = 6
    TIMED_OUT = 7
    TAKEN_BACK = 8


EXIT_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "not done; the daemon or the command says why",
    ExitCode.USAGE: "wrong command, argument or flag; nothing was sent",
    ExitCode.UNREACHABLE: "no daemon answered; the request had no effect",
    ExitCode.REJECTED: "the key is not accepted, or the edit has findings",
    ExitCode.CONFLICT: "another edit was accepted first; this one had no effect",
    ExitCode.UNSETTLED: "not known whether the edit was accepted; use `settle`",
    ExitCode.TIMED_OUT: "what was waited for did not happen in time",
    ExitCode.TAKEN_BACK: "the watched move was taken back",
}


@dataclass(frozen=True, slots=True)
class Result:
    """What a command prints and returns.

    Parameters
    ----------
    code : ExitCode
    document : object
        Printed by ``--json``.
    text : str
        Printed otherwise.
    """

    code: ExitCode
    document: Any
    text: str


class Command(ABC):
    """One command.

    Attributes
    ----------
    name, usage, summary : str
    details : str
        Further lines of the command's help.
    flags : tuple of str
        Names of the flags of this command that not all commands have.
    """

    name: str
    usage: str = ""
    summary: str
    details: str = ""
    flags: tuple[str, ...] = ()

    @abstractmethod
    def run(self, client: OperatorClient, arguments: list[str]) -> Result:
        """Run the command and return its result."""

    def usage_error(self, detail: str = "") -> Result:
        """Return the result of a call with wrong arguments."""
        text = f"usage: cardamomquay {self.name} {self.usage}".rstrip()
        if detail:
            text = f"{detail}\n{text}"
        return Result(ExitCode.USAGE, {"error": text}, text)


def command_failure(text: str) -> Result:
    """Return the result of a command that cannot be carried out."""
    return Result(ExitCode.FAILED, {"error": text}, text)


def call_failure(answer: Answer | NoAnswer) -> Result:
    """Return the result of a failed call to a daemon."""
    if isinstance(answer, NoAnswer):
        document = {"error": answer.detail}
        return Result(ExitCode.UNREACHABLE, document, f"no answer: {answer.detail}")
    document = answer.document
    text = document.get("error") or document.get("detail") or f"status {answer.status}"
    code = ExitCode.REJECTED if answer.status == HTTP_UNAUTHORIZED else ExitCode.FAILED
    return Result(code, document, str(text))
