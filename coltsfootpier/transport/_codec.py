"""JSON encoding of typed messages: attrs classes through cattrs and orjson."""

from __future__ import annotations

import math
from typing import TypeVar

import orjson
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter

from coltsfootpier.transport._errors import MalformedMessageError

_T = TypeVar("_T")

# Whole numbers that orjson can encode.
_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**64 - 1

_converter = make_converter(detailed_validation=False, omit_if_default=True)


# The default hooks would call `str` and `int`, which convert values of any other type.
def _structure_text(value: object, _: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"a {type(value).__name__} instead of a text")
    return value


def _structure_integer(value: object, _: object) -> int:
    number = int(value)  # type: ignore[call-overload]
    if not _MIN_INTEGER <= number <= _MAX_INTEGER:
        raise ValueError("a whole number of over 64 bits")
    return number


def _structure_float(value: object, _: object) -> float:
    number = float(value)  # type: ignore[arg-type]
    if not math.isfinite(number):
        raise ValueError("a number that isn't finite")
    return number


_converter.register_structure_hook(str, _structure_text)
_converter.register_structure_hook(int, _structure_integer)
_converter.register_structure_hook(float, _structure_float)


def unstructure(message: object) -> object:
    """Convert an attrs object into a plain JSON value; fields at their default are omitted."""
    return _converter.unstructure(message)


def encode(message: object) -> bytes:
    """Encode a message as JSON.

    Parameters
    ----------
    message : object
        An attrs object, or any JSON value.

    Returns
    -------
    bytes
        UTF-8 JSON without whitespace.
    """
    return orjson.dumps(_converter.unstructure(message))


def decode(body: bytes | dict | list, message_type: type[_T]) -> _T:
    """Decode JSON into an instance of a message type.

    Parameters
    ----------
    body : bytes, dict or list
        JSON text or a parsed JSON value.
    message_type : type
        An attrs class.

    Returns
    -------
    instance of `message_type`

    Raises
    ------
    MalformedMessageError
        If the text isn't JSON, or a field is missing or has the wrong type.
    """
    try:
        value = orjson.loads(body) if isinstance(body, bytes) else body
        return _converter.structure(value, message_type)
    except (
        ArithmeticError,
        AttributeError,
        BaseValidationError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MalformedMessageError(
            f"not a {getattr(message_type, '__name__', message_type)}: {error!r}"
        ) from error
