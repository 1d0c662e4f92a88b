"""Decodes documents that other programs write."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(data: bytes | msgspec.Raw, type: type[T]) -> T:
    """Decode a JSON document.

    Parameters
    ----------
    data : bytes or msgspec.Raw
    type : type

    Returns
    -------
    object
        Of that type.

    Raises
    ------
    ValueError
        If the document is malformed, of another type or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError as exc:
        # msgspec raises it also for fields that the type does not have.
        raise ValueError("JSON is nested too deeply") from exc
