"""Eliot destination that writes key=value lines, and a parser for these lines."""

from __future__ import annotations

import json
import re
import sys
from collections.abc import Callable, Mapping
from typing import TextIO

import eliot

from coltsfootpier.logs._bounded import BoundedWriter

# Values that consist of these characters are written unquoted, all others as JSON strings.
_UNQUOTED_VALUE = re.compile(r"^[A-Za-z0-9_./:@%+-]+$")
_KEY_VALUE_PAIR = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^\s"]+)')

# Fields that eliot adds to each message. The task fields carry no information here, because events
# aren't grouped into eliot's tasks; message type and timestamp are written as event and time.
_OMITTED_FIELDS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, int):
        return str(int(value))
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    return text if _UNQUOTED_VALUE.match(text) else json.dumps(text)


def format_event(fields: Mapping[str, object]) -> str:
    """Format one event as a line without a line end.

    Parameters
    ----------
    fields : Mapping of str to object
        Field names must be identifiers; values may be any JSON value.

    Returns
    -------
    str
        ``key=value`` pairs separated by single spaces.

    Examples
    --------
    >>> format_event({"event": "lease lost", "age_ms": 5400})
    'event="lease lost" age_ms=5400'
    """
    return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def parse_line(line: str) -> dict[str, str]:
    """Parse a line that `format_event` wrote.

    Parameters
    ----------
    line : str
        Line without a line end.

    Returns
    -------
    dict of str to str
        Fields in their order in the line, with values as text.

    Examples
    --------
    >>> parse_line('event="lease lost" age_ms=5400')
    {'event': 'lease lost', 'age_ms': '5400'}
    """
    return {
        key: json.loads(value) if value.startswith('"') else value
        for key, value in _KEY_VALUE_PAIR.findall(line)
    }


class _Destination:
    """Eliot destination that passes the event name and the formatted line to a function."""

    def __init__(self, write: Callable[[str, str], None], identity: Mapping[str, str]) -> None:
        self._write = write
        self._identity = dict(identity)

    def __call__(self, message: Mapping[str, object]) -> None:
        event = str(message.get("message_type", "unnamed"))
        fields: dict[str, object] = {
            "time": f"{message.get('timestamp', 0):.3f}",
            "event": event,
            **self._identity,
        }
        fields.update({key: value for key, value in message.items() if key not in _OMITTED_FIELDS})
        self._write(event, format_event(fields))


def configure(
    *,
    stream: TextIO | None = None,
    writer: BoundedWriter | None = None,
    identity: Mapping[str, str] | None = None,
) -> None:
    """Write the events of this process to a stream or a writer.

    Parameters
    ----------
    stream : file object, default=sys.stderr
        Destination of the lines, flushed after each line, if `writer` is not given.
    writer : BoundedWriter, optional
        Non-blocking destination of the lines.
    identity : Mapping of str to str, optional
        Fields added to each line, such as the daemon's name.
    """
    output = stream or sys.stderr

    def write(_: str, line: str) -> None:
        output.write(line + "\n")
        output.flush()

    write_line = writer.write if writer is not None else write
    eliot.add_destinations(_Destination(write_line, identity or {}))


def log_event(event: str, /, **fields: object) -> None:
    """Log one event.

    Parameters
    ----------
    event : str
        Human-readable name of the event.
    **fields : object
        Fields of the event; units are part of the field names.
    """
    eliot.log_message(event, **fields)
