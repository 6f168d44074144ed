"""Non-blocking writer of log lines that limits their rate and buffers a bounded amount."""

from __future__ import annotations

import contextlib
import os
from collections import Counter

from coltsfootpier.clock import Clock

# Limit for each event; the most frequent event has about 200 lines per second under overload.
_MAX_LINES_PER_SECOND = 400
# While more bytes than this wait for a slow reader, further lines are dropped.
_MAX_BUFFER_BYTES = 262_144
_RATE_PERIOD_MS = 1_000.0


class BoundedWriter:
    """Writer of log lines that doesn't wait for the reader of its file descriptor.

    Lines above the rate limit of their event, and lines for which the buffer has no space because
    the reader is slow, are dropped and counted. The first call of `write` after a second also
    writes a line with the counts, if the buffer has space.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is switched to non-blocking mode.
    clock : Clock
        Time source.
    lines_per_second : int, default=400
        Maximum number of lines per second for each event.

    Attributes
    ----------
    dropped : Counter of str
        Lines dropped since the last line with the counts, by event. The key ``closed`` counts
        failed writes, each of which discards the buffered lines.
    """

    def __init__(
        self, *, descriptor: int, clock: Clock, lines_per_second: int = _MAX_LINES_PER_SECOND
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines_per_second = lines_per_second
        self._period_start_ms = clock.now_ms()
        self._lines_in_period: Counter[str] = Counter()
        self._buffer = bytearray()
        self.dropped: Counter[str] = Counter()
        # With an unusable descriptor, such as a closed one, each write fails and is counted.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, event: str, line: str) -> None:
        """Write one line, or drop it if a limit is exceeded.

        Parameters
        ----------
        event : str
            Name of the event; the rate limit applies to each event separately.
        line : str
            Line without a line end.
        """
        self.flush()
        now_ms = self._clock.now_ms()
        if now_ms - self._period_start_ms >= _RATE_PERIOD_MS:
            self._period_start_ms = now_ms
            self._lines_in_period.clear()
            self._append_dropped_counts()
        self._lines_in_period[event] += 1
        if (
            self._lines_in_period[event] > self._lines_per_second
            or len(self._buffer) > _MAX_BUFFER_BYTES
        ):
            self.dropped[event] += 1
            return
        self._buffer += line.encode("utf-8", "replace") + b"\n"
        self.flush()

    def flush(self) -> None:
        """Write buffered bytes until none are left or the descriptor would block."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the failure is only counted and can't be logged.
            self.dropped["closed"] += 1
            self._buffer.clear()

    def _append_dropped_counts(self) -> None:
        if self.dropped and len(self._buffer) <= _MAX_BUFFER_BYTES:
            counts = ",".join(f"{event}:{count}" for event, count in sorted(self.dropped.items()))
            self._buffer += f'event="lines dropped" counts="{counts}"\n'.encode()
            self.dropped.clear()
