"""Texts of findings for pydantic's validation errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pydantic_core import ErrorDetails

FOUND_MAX_CHARS = 120
# By the type of pydantic's error. Names in braces are those of the error's context.
EXPECTED_TEXTS = {
    "missing": "a value",
    "extra_forbidden": "no such field",
    "greater_than": "a number above {gt}",
    "greater_than_equal": "a number of at least {ge}",
    "less_than_equal": "a number of at most {le}",
    "less_than": "a number below {lt}",
    "finite_number": "a finite number",
    "float_type": "a number",
    "int_type": "a whole number",
    "bool_type": "true or false",
    "string_type": "a string",
    "list_type": "a list",
    "dict_type": "an object",
    "model_type": "an object",
    "literal_error": "one of {expected}",
    "string_pattern_mismatch": "a string that matches {pattern}",
    "too_short": "at least {min_length} entries",
    "value_error": "{error}",
}


def expected_text(error: ErrorDetails) -> str:
    """Describe the values that a field accepts.

    Parameters
    ----------
    error : dict
        One of pydantic's errors.

    Returns
    -------
    str
    """
    text = EXPECTED_TEXTS.get(error["type"])
    if text is None:
        return error["msg"]
    # A whole number is written without a decimal point.
    context = {
        name: int(value) if isinstance(value, float) and value.is_integer() else value
        for name, value in error.get("ctx", {}).items()
    }
    return text.format_map(context)


def found_text(error: ErrorDetails, hide: bool = False) -> str:
    """Return the representation of the invalid value, truncated if it is long.

    Parameters
    ----------
    error : dict
        One of pydantic's errors.
    hide : bool, default=False
        Whether to omit the value because it may be a secret.

    Returns
    -------
    str
    """
    if error["type"] == "missing":
        return "nothing"
    if hide:
        return "a value that is not shown"
    text = repr(error["input"])
    return text if len(text) <= FOUND_MAX_CHARS else text[: FOUND_MAX_CHARS - 3] + "..."
