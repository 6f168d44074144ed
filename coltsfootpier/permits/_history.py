"""Whether a new owner knows every key that was granted before."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from coltsfootpier.clock import Clock
from coltsfootpier.permits._messages import PulledPermits

# A daemon may take itself for the only member until its watch of the store shows another one.
# A silent watch is replaced after 5 s; with an older view of the members than this, no daemon
# counts as alone.
_WATCH_LAG_MS = 10_000.0
# Stands for a time without a beginning; JSON has no infinity.
_ALWAYS_MS = 1e12


def process_of(member: str) -> str:
    """Return the part of a member identifier that stays the same over its leases.

    Examples
    --------
    >>> process_of("entry-1.a1b2c3d4.2")
    'entry-1.a1b2c3d4'
    """
    return member.rpartition(".")[0]


@attrs.define
class _Seen:
    last_ms: float
    retired: bool = False


class ProcessTable:
    """Daemons that may hold copies or grant permits: the present ones and recent ones.

    A daemon that is gone is forgotten after the window. One that only lost its lease may go
    on granting for the hold-over time, so it is remembered for that much longer.

    Parameters
    ----------
    clock : Clock
        Time source.
    window_ms, hold_over_ms : float
        How long keys are remembered, and how long a former owner may grant.
    """

    def __init__(self, *, clock: Clock, window_ms: float, hold_over_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._hold_over_ms = hold_over_ms
        self._seen: dict[str, _Seen] = {}

    def observe(self, processes: Iterable[str]) -> None:
        """Note the daemons that are members now."""
        now_ms = self._clock.now_ms()
        for process in processes:
            self._seen[process] = _Seen(now_ms)

    def merge(self, seen: Mapping[str, float]) -> None:
        """Take what a peer has seen: daemons with the milliseconds since then."""
        now_ms = self._clock.now_ms()
        for process, age_ms in seen.items():
            known = self._seen.setdefault(process, _Seen(now_ms - age_ms))
            known.last_ms = max(known.last_ms, now_ms - age_ms)

    def retire(self, process: str) -> None:
        """Note that a daemon surely runs no more."""
        if process in self._seen:
            self._seen[process].retired = True

    def ages(self) -> dict[str, float]:
        """Return the daemons that count, with the milliseconds since they were seen."""
        now_ms = self._clock.now_ms()
        for process, seen in list(self._seen.items()):
            keep_ms = self._window_ms + (0.0 if seen.retired else self._hold_over_ms)
            if now_ms - seen.last_ms > keep_ms:
                del self._seen[process]
        return {process: now_ms - seen.last_ms for process, seen in self._seen.items()}


class Coverage:
    """For how long a daemon knows of all members and of all grants without a copy.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._member = ""
        self._since_ms = float("inf")
        self._uncopied_ms = float("-inf")
        self._heard_ms = float("-inf")

    def is_current(self, listed_ms: float) -> bool:
        """Whether a listing from `listed_ms` shows each peer that may rely on being seen."""
        earliest_ms = self._clock.now_ms() - _WATCH_LAG_MS
        return self._heard_ms < earliest_ms <= listed_ms

    def join(self, member: str, *, is_first: bool) -> None:
        """Start to know all members, unless this membership is already known.

        Parameters
        ----------
        member : str
            Identifier of this membership.
        is_first : bool
            Whether it is the only member and no key group ever had an owner, so that there is
            nothing to know before.
        """
        if member != self._member:
            self._member = member
            joined_ms = self._clock.now_ms()
            self._since_ms = float("-inf") if is_first else joined_ms + _WATCH_LAG_MS

    def inherit(self, covered_ms: float) -> None:
        """Take what a peer knows that has just been heard and has heard this daemon."""
        self._since_ms = min(self._since_ms, self._clock.now_ms() - covered_ms)

    def hear_peer(self) -> None:
        """Note a message of a peer."""
        self._heard_ms = self._clock.now_ms()

    def record_uncopied_grant(self) -> None:
        """Note a grant that only this daemon knows."""
        self._uncopied_ms = self._clock.now_ms()

    def covered_ms(self) -> float:
        """Return the milliseconds for which nothing is unknown to this daemon's peers."""
        since_ms = max(self._since_ms, self._uncopied_ms)
        return min(max(self._clock.now_ms() - since_ms, 0.0), _ALWAYS_MS)


class History:
    """Completeness of the history that one owner of a key group has pulled.

    The history is complete when nobody owned the group before, when the previous owner
    answered and had a complete history, or when the daemons that answered know of all members
    of the whole window and at most one member did not answer. Each grant has two holders, so
    one missing daemon hides none. A daemon that is the only member grants without a copy, so
    its time alone doesn't count as known to the others.

    Parameters
    ----------
    clock : Clock
        Time source.
    process : str
        This daemon.
    epoch : int
        Epoch of the ownership.
    window_ms : float
        How long keys are remembered.
    log : ProcessLog
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
        self._answered = {process}
        # An epoch without a complete history grants nothing, so only these start complete.
        self._complete = epoch <= 1 or owned_epoch == epoch - 1

    def record_coverage(self, covered_ms: float) -> None:
        """Take for how long this daemon, or one that answered, knows all members."""
        since_ms = self._clock.now_ms() - covered_ms
        self._covered_since_ms = min(self._covered_since_ms, since_ms)

    def record_answer(self, reply: PulledPermits) -> None:
        """Take the answer of a daemon whose records have been merged."""
        self._answered.add(reply.process)
        self._known_processes.merge(reply.seen)
        self.record_coverage(reply.covered_ms)
        if self._epoch > 1 and reply.owned_epoch == self._epoch - 1:
            self._complete = True

    def missing_processes(self) -> set[str]:
        """Return the daemons that may hold copies and have not answered."""
        return self._known_processes.ages().keys() - self._answered

    @property
    def is_complete(self) -> bool:
        """Whether a key without a record was surely not granted within the window."""
        if not self._complete:
            covered_ms = self._clock.now_ms() - self._covered_since_ms
            self._complete = covered_ms >= self._window_ms and len(self.missing_processes()) <= 1
        return self._complete
