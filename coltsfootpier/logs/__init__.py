"""Structured logs: one line of key=value pairs for each event."""

from coltsfootpier.logs._bounded import BoundedWriter
from coltsfootpier.logs._keyvalue import configure, format_event, log_event, parse_line

__all__ = ["BoundedWriter", "configure", "format_event", "log_event", "parse_line"]
