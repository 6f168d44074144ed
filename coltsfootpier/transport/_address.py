"""Parsing of addresses received from other processes."""

from __future__ import annotations

import ipaddress
from functools import lru_cache

MAX_PORT = 65_535
_MAX_PORT_DIGITS = len(str(MAX_PORT))
# Addresses whose check is remembered. Each entry of the registry is written again every 1.5 s with
# the same address, and its check takes a third of the time to decode the entry.
_REMEMBERED_ADDRESSES = 4_096
# Longest address that is remembered, so that others don't fill the memory.
_MAX_REMEMBERED_LENGTH = 64


def is_address(text: str) -> bool:
    """Return whether a text has the form ``HOST:PORT``, so that a connection can be attempted.

    Examples
    --------
    >>> is_address("127.0.0.1:7000"), is_address("worker:http")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    return (
        bool(host)
        and port.isascii()
        and port.isdigit()
        and len(port) <= _MAX_PORT_DIGITS
        and int(port) <= MAX_PORT
    )


def is_ip_address(text: str) -> bool:
    """Return whether a text has the form ``IP:PORT`` with a port that a server can listen on.

    Examples
    --------
    >>> is_ip_address("127.0.0.1:7000"), is_ip_address("::1:7000")
    (True, True)
    >>> is_ip_address("worker:7000"), is_ip_address("127.0.0.1:0"), is_ip_address("127.0.0.1:99999")
    (False, False, False)
    """
    check = _check_remembered if len(text) <= _MAX_REMEMBERED_LENGTH else _is_ip_address
    return check(text)


def _is_ip_address(text: str) -> bool:
    if not is_address(text):
        return False
    host, port = split_address(text)
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    # The name of a scope may hold any character, also a line end.
    return port > 0 and getattr(address, "scope_id", None) is None


_check_remembered = lru_cache(_REMEMBERED_ADDRESSES)(_is_ip_address)


def split_address(text: str) -> tuple[str, int]:
    """Split a text that `is_address` accepts into host and port.

    Examples
    --------
    >>> split_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)
