"""State machine of partition ownership."""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Collection, Iterable

import attrs

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from coltsfootpier.exceptions import InvariantError

DISPATCH = "dispatch"
KEY_GROUPS = 16


class EpochRegressionError(InvariantError):
    """The owner table shows a lower epoch for a partition than before."""


@attrs.frozen
class Ownership:
    """Owner of one partition.

    Parameters
    ----------
    member : str
        Member identifier of the daemon.
    epoch : int
        Increases by one with each change of owner.
    suspects : tuple of str
        Earlier owners that did not hand the partition over. One that is cut off may go on
        renewing tasks, also while further owners follow it, so the list outlasts its
        successors.
    """

    member: str
    epoch: int
    suspects: tuple[str, ...] = ()


@attrs.frozen
class OwnerTable:
    """The store value ``control/owners``: all partitions with their owners."""

    partitions: dict[str, Ownership] = attrs.field(factory=dict)

    def held(self, member: str) -> set[str]:
        """Return the partitions of a member."""
        return {name for name, owner in self.partitions.items() if owner.member == member}


def name_of(member: str) -> str:
    """Return the name of the entry VM in a member identifier (``NAME.INCARNATION.SESSION``)."""
    return member.rsplit(".", 2)[0]


def rank_by_rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """Order members for a key so that each change of membership moves few keys.

    Parameters
    ----------
    key : str
        What is to be assigned.
    members : iterable of str
        Candidates.

    Returns
    -------
    list of str
        Members, the preferred one first.
    """

    def weigh(member: str) -> bytes:
        return hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()

    return sorted(members, key=weigh, reverse=True)


def key_group(key: str) -> str:
    """Return the partition that a request key belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return f"keys/{int.from_bytes(digest, 'big') % KEY_GROUPS}"


def list_partitions(shards: Iterable[str]) -> list[str]:
    """Return the names of all partitions for the given shards."""
    groups = [f"keys/{index}" for index in range(KEY_GROUPS)]
    return [DISPATCH, *groups, *(f"shard/{shard}" for shard in sorted(shards))]


class OwnershipState:
    """What one daemon knows about owners, and its own validity.

    Parameters
    ----------
    clock : Clock
        Time source.
    ttl_ms : float
        Time to live of the daemon's lease in the store.

    Notes
    -----
    A renewal counts from before it was sent: the store's lease can't end earlier than
    `ttl_ms` after that moment, so this daemon stops acting before another may claim.
    """

    def __init__(self, *, clock: Clock, ttl_ms: float) -> None:
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._valid_until_ms = float("-inf")
        self.member = ""
        self.table = OwnerTable()
        self.table_version = 0
        self.session = 0
        self._ended: dict[str, int] = {}

    @property
    def is_valid(self) -> bool:
        """Whether the daemon's lease is surely still held."""
        return self._clock.now_ms() < self._valid_until_ms

    @property
    def lapsed_ms(self) -> float:
        """Milliseconds since the validity ended; negative while it lasts."""
        return self._clock.now_ms() - self._valid_until_ms

    def begin_session(self) -> None:
        """Stop what earlier sessions may still do, before a new member key is written.

        Others take the new key as the sign that the earlier session renews no batch task.
        """
        self.session += 1

    def join(self, member: str, *, sent_ms: float) -> None:
        """Start a new membership, granted by a lease request sent at `sent_ms`."""
        self.member = member
        self._valid_until_ms = float("-inf")
        self.record_renewal(sent_ms=sent_ms)

    def record_renewal(self, *, sent_ms: float) -> None:
        """Extend the validity after a renewal that was sent at `sent_ms`."""
        until_ms = sent_ms + self._ttl_ms * (1 - MAX_CLOCK_DRIFT_RATIO)
        self._valid_until_ms = max(self._valid_until_ms, until_ms)

    def lose_lease(self) -> None:
        """End the validity at once."""
        self._valid_until_ms = min(self._valid_until_ms, self._clock.now_ms())

    def observe(self, table: OwnerTable, version: int) -> None:
        """Take the owner table from the store; older versions are ignored.

        Raises
        ------
        EpochRegressionError
            If a newer table shows a lower epoch for some partition.
        """
        if version <= self.table_version:
            return
        for partition, ownership in table.partitions.items():
            known = self.table.partitions.get(partition)
            if known is not None and ownership.epoch < known.epoch:
                raise EpochRegressionError(
                    f"partition {partition}: epoch {ownership.epoch} after {known.epoch}"
                )
        self.table, self.table_version = table, version

    def epoch_of(self, partition: str) -> int:
        """Return the epoch of a partition; 0 when nobody ever owned it."""
        ownership = self.table.partitions.get(partition)
        return ownership.epoch if ownership else 0

    def owner_of(self, partition: str) -> str:
        """Return the member that owns a partition by the table; empty when none does."""
        ownership = self.table.partitions.get(partition)
        return ownership.member if ownership else ""

    def assigned(self) -> dict[str, int]:
        """Return the partitions that the table gives to this daemon, with epochs."""
        return {
            partition: ownership.epoch
            for partition, ownership in self.table.partitions.items()
            if ownership.member == self.member
        }

    def may_act(self, partition: str, epoch: int) -> bool:
        """Whether this daemon may act as owner of a partition at an epoch now."""
        ownership = self.table.partitions.get(partition)
        held = (
            ownership is not None and ownership.member == self.member and ownership.epoch == epoch
        )
        return held and self.is_valid and not self.has_ended(partition, epoch)

    def has_ended(self, partition: str, epoch: int) -> bool:
        """Whether this daemon has given up acting at an epoch for good."""
        return self._ended.get(partition, 0) >= epoch

    def end_epoch(self, partition: str, epoch: int) -> None:
        """Never act at an epoch again; the partition needs a new claim, also by this daemon.

        Sequence numbers of the exchange count within a pair of epochs. An owner that started
        anew with the same epoch would begin them again: its peer would refuse every step, or
        it would take a delayed step of before for a new one.
        """
        self._ended[partition] = max(epoch, self._ended.get(partition, 0))

    def plan_claims(
        self,
        partitions: Collection[str],
        live: Collection[str],
        *,
        retired: Collection[str] = (),
    ) -> OwnerTable | None:
        """Return the owner table with this daemon's claims, or None without any.

        Parameters
        ----------
        partitions : collection of str
            All partitions that should have an owner.
        live : collection of str
            Members whose key exists in the store, this daemon included.
        retired : collection of str
            Members that surely act no more; they are dropped from the suspects.

        Returns
        -------
        OwnerTable or None
            To be written by compare-and-swap on the version of the table.
        """
        if self.member not in live:
            return None
        fair = math.ceil(len(partitions) / len(live))
        mine = [name for name in partitions if self.owner_of(name) == self.member]
        ended = [name for name in mine if self.has_ended(name, self.epoch_of(name))]
        free = [name for name in partitions if self.owner_of(name) not in live]
        # Each daemon prefers other partitions, so that claims of several seldom collide; what
        # is over the fair share is left to the others unless nobody has taken it.
        # Partitions that this process held before its lease ended come first, which moves the
        # fewest after an outage of the store.
        free.sort(
            key=lambda name: (
                not self._held_before(name),
                rank_by_rendezvous(name, live).index(self.member),
            )
        )
        claims = ended + free[: max(0, fair - len(mine))]
        if not claims:
            return None
        return self._assign(dict.fromkeys(claims, self.member), retired)

    def _held_before(self, partition: str) -> bool:
        # The last part of an identifier counts the leases of one process.
        process = self.member.rpartition(".")[0]
        return bool(process) and self.owner_of(partition).rpartition(".")[0] == process

    def plan_handover(
        self, live: Collection[str], *, leave: bool, partitions: Collection[str] = ()
    ) -> OwnerTable | None:
        """Return the table with partitions given to others, or None.

        Parameters
        ----------
        live : collection of str
            Members that may take partitions.
        leave : bool
            Whether to give everything away (on a stop), or only what is over the fair share.
        partitions : collection of str
            All partitions; needed when `leave` is false.
        """
        others = [member for member in live if member != self.member]
        mine = sorted(self.assigned())
        if not others or not mine:
            return None
        excess = mine
        if not leave:
            fair = math.ceil(len(partitions) / len(live))
            excess = mine[fair:]
        counts = Counter(ownership.member for ownership in self.table.partitions.values())
        moves: dict[str, str] = {}
        for partition in excess:
            target = min(others, key=lambda member: (counts[member], member))
            counts[target] += 1
            moves[partition] = target
        return self._assign(moves) if moves else None

    def _assign(self, moves: dict[str, str], retired: Collection[str] = ()) -> OwnerTable:
        partitions = dict(self.table.partitions)
        for partition, member in moves.items():
            previous = partitions.get(partition, Ownership("", 0))
            suspects = {name_of(item): item for item in previous.suspects}
            if previous.member not in ("", self.member):
                # Only the owner itself gives a partition away; from another it is claimed.
                suspects[name_of(previous.member)] = previous.member
            partitions[partition] = Ownership(
                member,
                previous.epoch + 1,
                tuple(item for item in suspects.values() if item not in retired),
            )
        return OwnerTable(partitions)
