"""Decision on whether the key history that a new owner has pulled is complete."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.permits._messages import PulledPermits

# Maximum time for which a daemon may consider itself the only member although another one has
# joined, because its watch of the store hasn't reported that one yet. A watch without a response is
# replaced after 5 s; a daemon whose listing of the members is older than this limit doesn't count
# as the only member.
_MAX_WATCH_LAG_MS = 10_000.0
# Represents an unlimited duration; JSON has no infinity.
_UNLIMITED_MS = 1e12


def process_of(member: str) -> str:
    """Return the part of a member identifier that stays the same over a daemon's leases.

    Examples
    --------
    >>> process_of("entry-1.a1b2c3d4.2")
    'entry-1.a1b2c3d4'
    """
    return member.rpartition(".")[0]


@attrs.define
class _SeenProcess:
    last_seen_ms: float
    is_retired: bool = False


class ProcessTable:
    """Table of current and recent daemons, which may hold copies or grant permits.

    A daemon that has certainly stopped is removed when the window has passed since it was last
    seen. A daemon that may only have lost its lease can continue to grant permits for the hold-over
    time, so it is kept that much longer.

    Parameters
    ----------
    clock : Clock
        Time source.
    window_ms, hold_over_ms : float
        Retention time of keys, and time for which a daemon without a valid lease may continue to
        grant permits, both in milliseconds.
    """

    def __init__(self, *, clock: Clock, window_ms: float, hold_over_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._hold_over_ms = hold_over_ms
        self._seen: dict[str, _SeenProcess] = {}

    def observe(self, processes: Iterable[str]) -> None:
        """Record the daemons that are members now."""
        now_ms = self._clock.now_ms()
        for process in processes:
            self._seen[process] = _SeenProcess(now_ms)

    def merge(self, seen: Mapping[str, float]) -> None:
        """Add the daemons that a peer has seen, with the milliseconds since each was last seen."""
        now_ms = self._clock.now_ms()
        for process, age_ms in seen.items():
            known = self._seen.setdefault(process, _SeenProcess(now_ms - age_ms))
            known.last_seen_ms = max(known.last_seen_ms, now_ms - age_ms)

    def retire(self, process: str) -> None:
        """Mark a daemon as certainly stopped."""
        if process in self._seen:
            self._seen[process].is_retired = True

    def list_ages(self) -> dict[str, float]:
        """Return the retained daemons, with the milliseconds since each was last seen."""
        now_ms = self._clock.now_ms()
        for process, seen in list(self._seen.items()):
            retention_ms = self._window_ms + (0.0 if seen.is_retired else self._hold_over_ms)
            if now_ms - seen.last_seen_ms > retention_ms:
                del self._seen[process]
        return {process: now_ms - seen.last_seen_ms for process, seen in self._seen.items()}


class Coverage:
    """Period in which a daemon has known all members and no permit was granted without a copy.

    The period extends to the present.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._member = ""
        self._since_ms = float("inf")
        self._uncopied_grant_ms = float("-inf")
        self._last_peer_message_ms = float("-inf")

    def is_current(self, listed_ms: float) -> bool:
        """Return whether a listing from `listed_ms` is recent enough to rule out other members.

        It doesn't rule them out if a peer has sent a message within the maximum lag of the watch
        of the store.
        """
        earliest_ms = self._clock.now_ms() - _MAX_WATCH_LAG_MS
        return self._last_peer_message_ms < earliest_ms <= listed_ms

    def start(self, member: str, *, is_first: bool) -> None:
        """Start the covered period, unless it has already started for this membership.

        Parameters
        ----------
        member : str
            Identifier of this membership.
        is_first : bool
            Whether it is the only member and no key group has ever had an owner. No permit can
            have been granted before, so the period is unlimited. Otherwise it starts when the
            maximum lag of the store's watch has passed, because until then another daemon may
            still consider itself the only member and grant permits without a copy.
        """
        if member != self._member:
            self._member = member
            joined_ms = self._clock.now_ms()
            self._since_ms = float("-inf") if is_first else joined_ms + _MAX_WATCH_LAG_MS

    def extend(self, covered_ms: float) -> None:
        """Extend the covered period to that of a peer, if the peer's is longer.

        The two daemons must just have received messages from each other.

        Parameters
        ----------
        covered_ms : float
            Length of the peer's period in milliseconds.
        """
        self._since_ms = min(self._since_ms, self._clock.now_ms() - covered_ms)

    def record_peer_message(self) -> None:
        """Record that a peer has sent a message."""
        self._last_peer_message_ms = self._clock.now_ms()

    def record_uncopied_grant(self) -> None:
        """Record that this daemon has granted a permit without a copy."""
        self._uncopied_grant_ms = self._clock.now_ms()

    def covered_ms(self) -> float:
        """Return the length in milliseconds of the covered period up to now."""
        since_ms = max(self._since_ms, self._uncopied_grant_ms)
        return min(max(self._clock.now_ms() - since_ms, 0.0), _UNLIMITED_MS)


class History:
    """Completeness of the history that one owner of a key group has pulled.

    The history is complete in each of these cases:

    - The group had no owner before.
    - The previous owner had a complete history, and it is this daemon or has responded.
    - The daemons that have responded have known all members for the whole window, and at most one
      member has not responded. Two daemons store each grant, so one missing daemon hides none.
      Grants of an only member are the exception, as they have no copy; `Coverage` therefore
      excludes the time up to the last one of them.

    Parameters
    ----------
    clock : Clock
        Time source.
    process : str
        Identifier of this daemon.
    epoch : int
        Epoch of the ownership.
    window_ms : float
        Retention time of keys in milliseconds.
    known_processes : ProcessTable
        Daemons that may hold copies.
    owned_epoch : int
        Epoch at which this daemon last owned the group with a complete history, or 0.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        process: str,
        epoch: int,
        window_ms: float,
        known_processes: ProcessTable,
        owned_epoch: int = 0,
    ) -> None:
        self._clock = clock
        self._epoch = epoch
        self._window_ms = window_ms
        self._known_processes = known_processes
        self._covered_since_ms = float("inf")
        self._responded = {process}
        # The history is complete from the start if there was no owner before, or if this daemon was
        # the previous owner with a complete history. An owner without one grants nothing.
        self._complete = epoch <= 1 or owned_epoch == epoch - 1

    def record_coverage(self, covered_ms: float) -> None:
        """Record the covered period of this daemon, or of one that has responded.

        Parameters
        ----------
        covered_ms : float
            Length of the period in milliseconds, as returned by `Coverage.covered_ms`.
        """
        since_ms = self._clock.now_ms() - covered_ms
        self._covered_since_ms = min(self._covered_since_ms, since_ms)

    def record_response(self, reply: PulledPermits) -> None:
        """Record the response of a daemon whose records have been merged."""
        self._responded.add(reply.process)
        self._known_processes.merge(reply.seen)
        self.record_coverage(reply.covered_ms)
        if self._epoch > 1 and reply.owned_epoch == self._epoch - 1:
            self._complete = True

    def missing_processes(self) -> set[str]:
        """Return the daemons that may hold copies and have not responded."""
        return self._known_processes.list_ages().keys() - self._responded

    @property
    def is_complete(self) -> bool:
        """Whether a key without a record has certainly not been granted within the window."""
        if not self._complete:
            covered_ms = self._clock.now_ms() - self._covered_since_ms
            self._complete = covered_ms >= self._window_ms and len(self.missing_processes()) <= 1
        return self._complete
