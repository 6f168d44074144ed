"""Memory of this process, as the operating system and the C library see it."""

from __future__ import annotations

import ctypes
import resource
from pathlib import Path

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = resource.getpagesize()


def read_resident_bytes() -> int | None:
    """Return the resident memory of this process in bytes, or None if the system doesn't tell."""
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None


def release_free_memory() -> bool:
    """Return unused pages of the C library's allocator to the system.

    The allocator returns only what lies at the end of its heap by itself.

    Returns
    -------
    bool
        False if the C library has no such call.
    """
    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return False
    trim(0)
    return True
