"""Lines of the fields of a JSON5 document."""

from __future__ import annotations

import re
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import json5

if TYPE_CHECKING:
    from collections.abc import Iterator

Path = tuple[str | int, ...]

TOKEN = re.compile(
    r"""
    (?P<comment>//[^\n\r]*|/\*.*?\*/)
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<mark>[{}\[\]:,])
    |(?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.DOTALL | re.VERBOSE,
)


@dataclass(slots=True)
class DocumentLines:
    """Where the fields of a document stand.

    Parameters
    ----------
    lines : dict
        Line of each field's name (of each entry of a list), counted from 1.
    repeated : list of (path, line)
        Names that stand in the same object a second time.
    """

    lines: dict[Path, int] = field(default_factory=dict)
    repeated: list[tuple[Path, int]] = field(default_factory=list)

    def of(self, path: Path) -> int | None:
        """Return the line of a field, or of the nearest object around it."""
        for length in range(len(path), -1, -1):
            if path[:length] in self.lines:
                return self.lines[path[:length]]
        return None


@dataclass(frozen=True, slots=True)
class _Token:
    kind: str
    text: str
    line: int


def read_lines(text: str) -> DocumentLines:
    """Find the lines of all fields.

    Parameters
    ----------
    text : str
        A document that `json5` accepts.

    Returns
    -------
    DocumentLines
    """
    found = DocumentLines()
    tokens = list(_tokens(text))
    if tokens:
        _value(tokens, 0, (), found)
    return found


def _tokens(text: str) -> Iterator[_Token]:
    line = 1
    counted = 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", counted, match.start())
        counted = match.start()
        kind = match.lastgroup or ""
        if kind != "comment":
            yield _Token(kind, match.group(), line)


def _value(tokens: list[_Token], at: int, path: Path, found: DocumentLines) -> int:
    """Read the value that begins at a token and return the place after it."""
    found.lines.setdefault(path, tokens[at].line)
    opening = tokens[at].text
    if tokens[at].kind != "mark":
        return at + 1
    at += 1
    index = 0
    while tokens[at].text not in {"}", "]"} or tokens[at].kind != "mark":
        if tokens[at].kind == "mark" and tokens[at].text == ",":
            at += 1
            continue
        if opening == "[":
            at = _value(tokens, at, (*path, index), found)
            index += 1
            continue
        name = tokens[at]
        inner = (*path, _name(name))
        if inner in found.lines:
            found.repeated.append((inner, name.line))
        found.lines.setdefault(inner, name.line)
        at = _value(tokens, at + 2, inner, found)
    return at + 1


def _name(token: _Token) -> str:
    return str(json5.loads(token.text)) if token.kind == "string" else token.text
