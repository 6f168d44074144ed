"""Readers of fields that other programs write, each with the values that are valid for it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from coltsfootpier.exceptions import ColtsfootpierError

# Largest integer that the store, the runners and orjson exchange: 64 bits with a sign.
MAX_INTEGER = 2**63 - 1
# Largest time in ms; up to here every whole millisecond has an exact float.
MAX_TIME_MS = 2**53
# Maximum length of names, labels and identifiers in UTF-8; the platform bounds store keys by it.
MAX_NAME_BYTES = 200
# Maximum length of a value in an error message, in characters.
_MAX_SHOWN_CHARS = 80
_REQUIRED: Any = object()


class InvalidFieldError(ColtsfootpierError):
    """A field is missing, of another type or out of its bounds."""


def describe(value: object) -> str:
    """Return a short text of a value from another program, for error messages.

    Examples
    --------
    >>> describe(99999), describe("x" * 100)[-10:], describe([[[]]])
    ('99999', 'xxxxxxx...', 'a list')
    """
    if isinstance(value, str):
        value = value[: _MAX_SHOWN_CHARS + 1]
    elif value is not None and not isinstance(value, bool | int | float):
        # Lists and objects may be nested too deeply to be shown.
        return f"a {type(value).__name__}"
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARS else f"{text[:_MAX_SHOWN_CHARS]}..."


def _get(fields: Mapping[str, Any], name: str, default: Any) -> Any:
    value = fields.get(name, default)
    if value is _REQUIRED:
        raise InvalidFieldError(f"{name} is missing")
    return value


def require_object(name: str, value: Any) -> dict[str, Any]:
    """Return a value that must be a JSON object."""
    if not isinstance(value, dict):
        raise InvalidFieldError(f"{name} is {describe(value)}, allowed: an object")
    return value


def require_list(name: str, value: Any) -> list[Any]:
    """Return a value that must be a JSON array."""
    if not isinstance(value, list):
        raise InvalidFieldError(f"{name} is {describe(value)}, allowed: a list")
    return value


def require_int(name: str, value: Any, low: int, high: int) -> int:
    """Return a value that must be a whole number within bounds; neither a bool nor a float is."""
    if type(value) is not int or not low <= value <= high:
        raise InvalidFieldError(
            f"{name} is {describe(value)}, allowed: a whole number from {low} to {high}"
        )
    return value


def require_number(name: str, value: Any, low: float, high: float) -> float:
    """Return a value that must be a number within bounds; a bool isn't one."""
    if type(value) not in (int, float) or not low <= value <= high:
        raise InvalidFieldError(
            f"{name} is {describe(value)}, allowed: a number from {low} to {high}"
        )
    return float(value)


def require_text(name: str, value: Any, max_bytes: int = MAX_NAME_BYTES) -> str:
    """Return a value that must be a string of at most `max_bytes` in UTF-8."""
    if (
        isinstance(value, str)
        and len(value) <= max_bytes
        and (value.isascii() or len(value.encode("utf-8", "replace")) <= max_bytes)
    ):
        return value
    raise InvalidFieldError(
        f"{name} is {describe(value)}, allowed: a text of up to {max_bytes} bytes"
    )


def read_object(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> dict[str, Any]:
    """Read a field with `require_object`; a missing field has the default."""
    return require_object(name, _get(fields, name, default))


def read_list(fields: Mapping[str, Any], name: str, default: Any = _REQUIRED) -> list[Any]:
    """Read a field with `require_list`; a missing field has the default."""
    return require_list(name, _get(fields, name, default))


def read_int(
    fields: Mapping[str, Any],
    name: str,
    *,
    low: int = 0,
    high: int = MAX_INTEGER,
    default: Any = _REQUIRED,
) -> int:
    """Read a field with `require_int`; a missing field has the default."""
    return require_int(name, _get(fields, name, default), low, high)


def read_number(
    fields: Mapping[str, Any],
    name: str,
    *,
    low: float = 0,
    high: float = MAX_TIME_MS,
    default: Any = _REQUIRED,
) -> float:
    """Read a field with `require_number`; a missing field has the default."""
    return require_number(name, _get(fields, name, default), low, high)


def read_text(
    fields: Mapping[str, Any],
    name: str,
    *,
    max_bytes: int = MAX_NAME_BYTES,
    default: Any = _REQUIRED,
) -> str:
    """Read a field with `require_text`; a missing field has the default."""
    return require_text(name, _get(fields, name, default), max_bytes)
