"""Memory of this process, as the C library sees it."""

from __future__ import annotations

import ctypes


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
