"""Clients that send more than the limits allow, and measurements of the processes they reach."""

from __future__ import annotations

import contextlib
import resource
import select
import socket
import threading
import time
import unittest
from collections.abc import Collection, Iterator, Sequence
from pathlib import Path

import attrs

# Size of the receive buffer of a client that doesn't read, so that little fits into the kernel.
_RECEIVE_BUFFER_BYTES = 4_096
# The clients stop when none of them could send anything for this time.
_STALL_S = 1.5
_BLOCK_BYTES = 65_536
# Time for all connections to open; the kernel repeats an attempt after 1 and 3 s.
_CONNECT_S = 5.0
# Time between two samples of the memory of a process.
_SAMPLE_PERIOD_S = 0.05
# State of a listening socket in /proc/net/tcp, whose queue counts connections instead of bytes.
_LISTEN_STATE = "0A"


@attrs.frozen(kw_only=True)
class Flood:
    """What a client sends on each connection, without reading a response.

    Parameters
    ----------
    head : bytes
        Bytes that are sent once.
    unit : bytes
        Bytes that are repeated after it.
    size_bytes : int
        Number of bytes to send on each connection.
    connections : int
        Number of connections.
    """

    head: bytes = b""
    unit: bytes = b""
    size_bytes: int = 0
    connections: int


class _Client:
    """A connection that sends a flood and doesn't read."""

    def __init__(self, port: int, flood: Flood) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        # A process that can't accept the connection may refuse it.
        with contextlib.suppress(OSError):
            self._socket.connect(("127.0.0.1", port))
        self._head = flood.head
        self._block = flood.unit * max(1, _BLOCK_BYTES // max(1, len(flood.unit)))
        self._size_bytes = flood.size_bytes
        self._sent_bytes = 0

    def send(self) -> int:
        """Send as much as the connection takes at once and return the number of bytes."""
        left_bytes = self._size_bytes - self._sent_bytes
        if left_bytes <= 0:
            return 0
        if self._sent_bytes < len(self._head):
            data = self._head[self._sent_bytes :]
        else:
            data = self._block[(self._sent_bytes - len(self._head)) % len(self._block) :]
        try:
            count = self._socket.send(data[:left_bytes])
        except BlockingIOError:
            return 0
        except OSError:
            # The process has closed the connection.
            self._size_bytes = 0
            return 0
        self._sent_bytes += count
        return count

    @property
    def is_done(self) -> bool:
        """Whether everything was sent or the connection was closed."""
        return self._sent_bytes >= self._size_bytes

    @property
    def is_connecting(self) -> bool:
        """Whether the connection is neither open nor refused."""
        poll = select.poll()
        poll.register(self._socket, select.POLLOUT)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


@contextlib.contextmanager
def open_flood(port: int, flood: Flood) -> Iterator[int]:
    """Send a flood until it is complete or no connection takes more; then keep them open.

    Yields
    ------
    int
        Number of bytes that were sent.
    """
    with open_floods([(port, flood)]) as sent_bytes:
        yield sent_bytes


@contextlib.contextmanager
def open_floods(floods: Sequence[tuple[int, Flood]]) -> Iterator[int]:
    """Send floods to several ports at the same time; see `open_flood`."""
    clients = [_Client(port, flood) for port, flood in floods for _ in range(flood.connections)]
    try:
        connected_s = time.monotonic() + _CONNECT_S
        while time.monotonic() < connected_s and any(client.is_connecting for client in clients):
            time.sleep(0.01)
        sent_bytes = 0
        progress_s = time.monotonic()
        while time.monotonic() - progress_s < _STALL_S:
            count = sum(client.send() for client in clients)
            sent_bytes += count
            if count:
                progress_s = time.monotonic()
            elif all(client.is_done for client in clients):
                break
            else:
                time.sleep(0.01)
        yield sent_bytes
    finally:
        for client in clients:
            client.close()


@contextlib.contextmanager
def limit_descriptors(count: int) -> Iterator[None]:
    """Limit the file descriptors of the processes that are started meanwhile."""
    previous = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, previous[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, previous)


def read_peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process since its start."""
    path = Path(f"/proc/{pid}/status")
    if not path.exists():
        raise unittest.SkipTest("peak memory is only available from /proc")
    line = next(line for line in path.read_text().splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def count_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def read_used_memory_mb(pid: int, ports: Collection[int]) -> float:
    """Return what counts toward the memory limit of a process, in MB (10^6 bytes).

    This is the resident memory, and the bytes that the kernel has received for connections to the
    ports of the process, accepted or not, and that the process hasn't read.
    """
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident_kib = next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
    unread_bytes = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues = line.split()[:5]
        if int(local.partition(":")[2], 16) in ports and state != _LISTEN_STATE:
            unread_bytes += int(queues.partition(":")[2], 16)
    return (resident_kib * 1_024 + unread_bytes) / 1e6


class MemorySampler:
    """Samples the memory of a process in a thread while it is used as a context.

    Parameters
    ----------
    pid : int
        Process.
    ports : collection of int
        Ports on which it listens.

    Attributes
    ----------
    peak_mb : float
        Largest value of `read_used_memory_mb` so far.
    """

    def __init__(self, pid: int, ports: Collection[int]) -> None:
        self._pid, self._ports = pid, ports
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.peak_mb = 0.0

    def __enter__(self) -> MemorySampler:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            # The status of a process that has ended has no resident memory.
            with contextlib.suppress(OSError, StopIteration):
                self.peak_mb = max(self.peak_mb, read_used_memory_mb(self._pid, self._ports))
            self._stopping.wait(_SAMPLE_PERIOD_S)
