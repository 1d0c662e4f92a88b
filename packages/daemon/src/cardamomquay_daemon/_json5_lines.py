"""Finds the line numbers of the fields of a JSON5 document."""

from __future__ import annotations

import re
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import json5

if TYPE_CHECKING:
    from collections.abc import Iterator

FieldPath = tuple[str | int, ...]

# The group that matches is the kind of token: a mark is a punctuation character, a word
# an unquoted name, number or literal.
TOKEN_PATTERN = re.compile(
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
    """Line numbers of the fields of a document.

    Parameters
    ----------
    lines : dict
        Line of each field's name, or of each entry of a list, counted from 1.
    duplicates : list of (path, line)
        Repeated names in one object, with the line of each repetition.
    """

    lines: dict[FieldPath, int] = field(default_factory=dict)
    duplicates: list[tuple[FieldPath, int]] = field(default_factory=list)

    def line_of(self, path: FieldPath) -> int | None:
        """Return the line of a field, or of the nearest enclosing object or list."""
        for length in range(len(path), -1, -1):
            if path[:length] in self.lines:
                return self.lines[path[:length]]
        return None


@dataclass(frozen=True, slots=True)
class _Token:
    kind: str
    text: str
    line: int


def locate_fields(text: str) -> DocumentLines:
    """Find the line numbers of all fields.

    Parameters
    ----------
    text : str
        A document that `json5` has parsed without error.

    Returns
    -------
    DocumentLines
    """
    found = DocumentLines()
    tokens = list(_tokenize(text))
    if tokens:
        _read_value(tokens, 0, (), found)
    return found


def _tokenize(text: str) -> Iterator[_Token]:
    line = 1
    counted_to = 0
    for match in TOKEN_PATTERN.finditer(text):
        line += text.count("\n", counted_to, match.start())
        counted_to = match.start()
        kind = match.lastgroup or ""
        if kind != "comment":
            yield _Token(kind, match.group(), line)


def _read_value(
    tokens: list[_Token], position: int, path: FieldPath, found: DocumentLines
) -> int:
    """Record the value that begins at a token; return the position after it."""
    found.lines.setdefault(path, tokens[position].line)
    opening = tokens[position].text
    if tokens[position].kind != "mark":
        return position + 1
    position += 1
    index = 0
    while tokens[position].text not in {"}", "]"} or tokens[position].kind != "mark":
        if tokens[position].kind == "mark" and tokens[position].text == ",":
            position += 1
            continue
        if opening == "[":
            position = _read_value(tokens, position, (*path, index), found)
            index += 1
            continue
        name = tokens[position]
        field_path = (*path, _field_name(name))
        if field_path in found.lines:
            found.duplicates.append((field_path, name.line))
        found.lines.setdefault(field_path, name.line)
        position = _read_value(tokens, position + 2, field_path, found)
    return position + 1


def _field_name(token: _Token) -> str:
    return str(json5.loads(token.text)) if token.kind == "string" else token.text
