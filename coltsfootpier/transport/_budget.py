"""Bounds on what the caller connections of a process use together: memory and descriptors.

The bounds per connection keep one client within a small amount of memory. Many clients that each
stay within them could still exhaust the process, so the connections report what they use here.
"""

from __future__ import annotations

import asyncio
import enum
import resource
from collections.abc import Callable
from typing import Protocol

from coltsfootpier.transport._memory import read_resident_bytes, release_free_memory
from coltsfootpier.transport._turns import ParseQueue

# Share of the memory limit that connections may use; the rest is for the state of the process. A
# daemon without clients uses 42 MB, the owner of a cell with 1,500 runners 159 MB.
_MEMORY_DIVISOR = 4
# After connections were closed for their memory, the rest use at most this share of the bound, so
# that the search for the largest ones isn't repeated for each received byte.
_RELIEF_SHARE = 0.75
# Connections that use less are closed in the order of their states, not by what they use: one
# ordinary request stays below it.
_ORDINARY_BYTES = 65_536
# Part of the memory limit that is kept free for what isn't estimated, and smallest part that
# connections may use, so that ordinary requests are served whatever the process holds.
_RESERVE_DIVISOR = 8
_SMALLEST_DIVISOR = 32
# Memory is returned to the system after connections have released this share of the bound.
_TRIM_SHARE = 0.25
# Period at which connections check whether the client still reads.
_CHECK_PERIOD_MS = 1_000.0
# Connections that are checked before the event loop runs other tasks.
_CHECK_BATCH = 256
# Part of the descriptors for connections that the kernel has accepted and the process hasn't yet.
_BACKLOG_DIVISOR = 16
MAX_BACKLOG_CONNECTIONS = 2_048
# Smallest bound on connections, for ports with a small share of few descriptors.
_MIN_CONNECTIONS = 8
# Share of the memory limit that the kernel may use for received bytes of one port's connections.
_UNREAD_DIVISOR = 8
# Bounds on these bytes for one connection. The larger one is the window of 30 Mbit/s at a round
# trip of 8 ms, the smaller one still takes an ordinary request at once.
_MIN_UNREAD_BYTES = 4_096
MAX_UNREAD_BYTES = 32_768
# Estimated memory in bytes of an open connection in the process. Measured with 1,000 connections:
# 7,400 for a silent one, 13,500 with a part of a header.
CONNECTION_BYTES = 12_000


class ConnectionState(enum.IntEnum):
    """What a connection does, in the order in which connections are closed for a new one."""

    # No byte of a request has arrived.
    IDLE = 0
    # A request has begun to arrive.
    RECEIVING = 1
    # The client doesn't read its responses, or the connection waits to be closed.
    STALLED = 2
    # A request is being processed, and the client has sent more behind it.
    PIPELINING = 3
    # A complete request is being processed.
    BUSY = 4


# Order in which connections are closed for the memory of all, if none of them uses much. Other
# daemons keep idle connections, so those whose clients exceed the limits come first.
_RELIEF_ORDER = (
    ConnectionState.PIPELINING,
    ConnectionState.STALLED,
    ConnectionState.IDLE,
    ConnectionState.RECEIVING,
    ConnectionState.BUSY,
)


class BudgetedConnection(Protocol):
    """Connection that can be closed to free what it uses."""

    @property
    def state(self) -> ConnectionState:
        """What the connection does."""
        ...

    def evict(self, limit_name: str) -> None:
        """Close the connection immediately and drop what it buffers."""
        ...

    def check_progress(self) -> None:
        """Close the connection if its client has stopped reading."""
        ...


class ProcessBudget:
    """Bound on the bytes that all connections of a process buffer, also in the kernel.

    If it is exceeded, the connections that buffer most are closed; among those that buffer no more
    than an ordinary request, the ones whose clients send ahead or don't read.

    Parameters
    ----------
    max_buffered_bytes : int
        Bound on the estimated memory of all connections together, in bytes.
    memory_bytes : int, optional
        Memory limit of the process in bytes. If it is given, the bound is lower while the state of
        the process leaves less than `max_buffered_bytes` free.
    read_resident : callable, optional
        Returns the resident memory of the process in bytes, or None if it isn't known.

    Attributes
    ----------
    bound_bytes : int
        Bound in force.
    buffered_bytes : int
        Estimated memory of all connections together.
    parse_queue : ParseQueue
        Connections whose received bytes take turns to be parsed.
    """

    def __init__(
        self,
        *,
        max_buffered_bytes: int,
        memory_bytes: int | None = None,
        read_resident: Callable[[], int | None] = read_resident_bytes,
    ) -> None:
        self._max_buffered_bytes = max_buffered_bytes
        self._memory_bytes = memory_bytes
        self._read_resident = read_resident
        self.parse_queue = ParseQueue()
        # Total and kernel's part of the estimated memory of each connection.
        self._usage: dict[BudgetedConnection, tuple[int, int]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.bound_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        self._unread_bytes = 0
        # Largest value since memory was last returned to the system.
        self._peak_bytes = 0

    @classmethod
    def from_memory(cls, memory_mb: int) -> ProcessBudget:
        """Build the bound of a process with a memory limit of `memory_mb`."""
        return cls(
            max_buffered_bytes=compute_budget_bytes(memory_mb),
            memory_bytes=memory_mb * 1_000_000,
        )

    def update(
        self, connection: BudgetedConnection, used_bytes: int, unread_bytes: int = 0
    ) -> None:
        """Record the memory of a connection, and close some if the sum is too large.

        Parameters
        ----------
        connection : BudgetedConnection
            An open connection.
        used_bytes : int
            Its estimated memory in bytes.
        unread_bytes : int
            Part of it that the kernel uses.
        """
        previous_used, previous_unread = self._usage.get(connection, (0, 0))
        self.buffered_bytes += used_bytes - previous_used
        self._unread_bytes += unread_bytes - previous_unread
        self._peak_bytes = max(self._peak_bytes, self.buffered_bytes)
        self._usage[connection] = used_bytes, unread_bytes
        if self._timer is None:
            self._adapt_bound()
            self._schedule_check()
        if self.buffered_bytes > self.bound_bytes:
            self._relieve()

    def remove(self, connection: BudgetedConnection) -> None:
        """Remove a connection that is closed."""
        used_bytes, unread_bytes = self._usage.pop(connection, (0, 0))
        self.buffered_bytes -= used_bytes
        self._unread_bytes -= unread_bytes

    def _relieve(self) -> None:
        target_bytes = self.bound_bytes * _RELIEF_SHARE

        def build_key(connection: BudgetedConnection) -> tuple[int, int, int]:
            used_bytes = self._usage[connection][0]
            rank = _RELIEF_ORDER.index(connection.state)
            return -max(used_bytes, _ORDINARY_BYTES), rank, -used_bytes

        for connection in sorted(self._usage, key=build_key):
            if self.buffered_bytes <= target_bytes:
                return
            self.remove(connection)
            connection.evict("process_bytes")

    def _adapt_bound(self) -> None:
        """Lower the bound to what the rest of the process leaves free."""
        resident_bytes = self._read_resident() if self._memory_bytes is not None else None
        if resident_bytes is None:
            return
        state_bytes = resident_bytes - (self.buffered_bytes - self._unread_bytes)
        reserve_bytes = self._memory_bytes // _RESERVE_DIVISOR
        free_bytes = self._memory_bytes - reserve_bytes - state_bytes
        smallest_bytes = self._memory_bytes // _SMALLEST_DIVISOR
        self.bound_bytes = max(smallest_bytes, min(self._max_buffered_bytes, free_bytes))

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_PERIOD_MS / 1000, self._check_progress)

    def _check_progress(self) -> None:
        self._timer = None
        self._release_memory()
        self._adapt_bound()
        if self.buffered_bytes > self.bound_bytes:
            self._relieve()
        self._check_batch(list(self._usage))

    def _release_memory(self) -> None:
        """Return memory to the system once connections have released much of it."""
        released_bytes = self._peak_bytes - self.buffered_bytes
        if released_bytes > self._max_buffered_bytes * _TRIM_SHARE:
            self._peak_bytes = self.buffered_bytes
            release_free_memory()

    def _check_batch(self, connections: list[BudgetedConnection]) -> None:
        for connection in connections[:_CHECK_BATCH]:
            # It may have been closed since the check began.
            if connection in self._usage:
                connection.check_progress()
        rest = connections[_CHECK_BATCH:]
        if rest:
            asyncio.get_running_loop().call_soon(self._check_batch, rest)
        elif self._usage and self._timer is None:
            self._schedule_check()


class ConnectionGroup:
    """Bound on the number of connections of one port.

    A new connection beyond it takes the place of one that has been waiting for its client for the
    longest time, or of one that sends requests before it has the responses to earlier ones. It is
    closed itself if all others have one request in progress.

    Parameters
    ----------
    max_connections : int
        Bound on the number of open connections.
    backlog : int
        Connections that the kernel holds until the process accepts them.
    max_unread_bytes : int
        Received bytes that the kernel holds for each connection until the process reads them.
    """

    def __init__(
        self,
        *,
        max_connections: int = MAX_BACKLOG_CONNECTIONS,
        backlog: int = MAX_BACKLOG_CONNECTIONS,
        max_unread_bytes: int = MAX_UNREAD_BYTES,
    ) -> None:
        self.backlog = backlog
        self.max_connections = max_connections
        self.max_unread_bytes = max_unread_bytes
        self._states: dict[BudgetedConnection, ConnectionState] = {}
        # Connections of each state in the order in which they entered it.
        self._members: dict[ConnectionState, dict[BudgetedConnection, None]] = {
            state: {} for state in ConnectionState
        }

    @classmethod
    def from_limits(
        cls,
        *,
        max_files: int,
        memory_mb: int,
        divisor: int,
        max_connections: int | None = None,
        backlog_divisor: int = _BACKLOG_DIVISOR,
    ) -> ConnectionGroup:
        """Build the bound of a port that may use a part of the limits of the process.

        Parameters
        ----------
        max_files : int
            File descriptors of the process.
        memory_mb : int
            Memory of the process in MB.
        divisor : int
            The port may use ``max_files / divisor`` connections, if they fit into the memory that
            all connections of the process may use.
        max_connections : int, optional
            A further bound from the settings.
        backlog_divisor : int
            The kernel may hold ``max_files / backlog_divisor`` connections until the process
            accepts them.
        """
        fitting = compute_budget_bytes(memory_mb) // (CONNECTION_BYTES + _MIN_UNREAD_BYTES)
        share = max(_MIN_CONNECTIONS, min(max_files // divisor, fitting))
        share = min(share, max_connections or share)
        backlog = max(_MIN_CONNECTIONS, max_files // backlog_divisor)
        backlog = min(backlog, share, MAX_BACKLOG_CONNECTIONS)
        unread_bytes = memory_mb * 1_000_000 // _UNREAD_DIVISOR // (share + backlog)
        return cls(
            max_connections=share,
            backlog=backlog,
            max_unread_bytes=max(_MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, unread_bytes)),
        )

    def __len__(self) -> int:
        return len(self._states)

    def add(self, connection: BudgetedConnection) -> None:
        """Add a new connection, and close one if there are too many."""
        evicted = self._find_replaceable() if len(self) >= self.max_connections else None
        if len(self) >= self.max_connections and evicted is None:
            connection.evict("connections")
            return
        if evicted is not None:
            self.remove(evicted)
            evicted.evict("connections")
        self._states[connection] = ConnectionState.IDLE
        self._members[ConnectionState.IDLE][connection] = None

    def update(self, connection: BudgetedConnection, state: ConnectionState) -> None:
        """Record the state of a connection."""
        previous = self._states.get(connection)
        if previous is None or previous is state:
            return
        del self._members[previous][connection]
        self._states[connection] = state
        self._members[state][connection] = None

    def remove(self, connection: BudgetedConnection) -> None:
        """Remove a connection that is closed."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._members[state][connection]

    def _find_replaceable(self) -> BudgetedConnection | None:
        for state in ConnectionState:
            if state is not ConnectionState.BUSY and self._members[state]:
                return next(iter(self._members[state]))
        return None


def compute_budget_bytes(memory_mb: int) -> int:
    """Return the bytes that connections may buffer in a process with a limit of `memory_mb`.

    Examples
    --------
    >>> compute_budget_bytes(200)
    50000000
    """
    return memory_mb * 1_000_000 // _MEMORY_DIVISOR


def read_max_files() -> int:
    """Return the number of file descriptors that the system allows this process."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


# Called with the name of a limit when it takes effect.
OnLimit = Callable[[str], None]
