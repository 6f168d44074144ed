"""State of partition ownership as seen by one daemon."""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from collections.abc import Collection, Iterable

import attrs

from coltsfootpier.clock import MAX_CLOCK_DRIFT_RATIO, Clock
from coltsfootpier.exceptions import InvariantError

# Name of the partition of the dispatcher.
DISPATCH_PARTITION = "dispatch"
# Number of partitions of request keys.
KEY_GROUP_COUNT = 16


class EpochRegressionError(InvariantError):
    """A newer owner table has a lower epoch for a partition."""


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
        Member identifiers of earlier owners that did not hand over the partition. One that is cut
        off from the network may keep renewing tasks even after several changes of owner, so the
        list is passed on to later owners.
    """

    member: str
    epoch: int
    suspects: tuple[str, ...] = ()


@attrs.frozen
class OwnerTable:
    """Value of the store key ``control/owners``: all partitions with their owners."""

    partitions: dict[str, Ownership] = attrs.field(factory=dict)

    def partitions_of(self, member: str) -> set[str]:
        """Return the partitions that a member owns."""
        return {name for name, owner in self.partitions.items() if owner.member == member}


def parse_vm_name(member: str) -> str:
    """Return the entry VM name from a member identifier (``NAME.INCARNATION.SESSION``)."""
    return member.rsplit(".", 2)[0]


def rank_by_rendezvous(key: str, members: Iterable[str]) -> list[str]:
    """Rank members for a key by rendezvous hashing.

    When a member joins or leaves, the first member changes for few keys only.

    Parameters
    ----------
    key : str
        Key to assign.
    members : iterable of str
        Candidates.

    Returns
    -------
    list of str
        Members in order of preference.
    """

    def score(member: str) -> bytes:
        return hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()

    return sorted(members, key=score, reverse=True)


def compute_key_group(key: str) -> str:
    """Return the partition that a request key belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return f"keys/{int.from_bytes(digest, 'big') % KEY_GROUP_COUNT}"


def list_partitions(shards: Iterable[str]) -> list[str]:
    """Return the names of all partitions for the given shards."""
    groups = [f"keys/{index}" for index in range(KEY_GROUP_COUNT)]
    return [DISPATCH_PARTITION, *groups, *(f"shard/{shard}" for shard in sorted(shards))]


class OwnershipState:
    """Owner table as known to one daemon, and the validity of the daemon's own lease.

    Parameters
    ----------
    clock : Clock
        Time source.
    ttl_ms : float
        Time to live of the daemon's lease in the store, in ms.

    Notes
    -----
    A renewal counts from the time at which it was sent: the store's lease can't expire earlier than
    `ttl_ms` after that time, so this daemon stops acting before another may claim.
    """

    def __init__(self, *, clock: Clock, ttl_ms: float) -> None:
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._valid_until_ms = float("-inf")
        self.member = ""
        self.table = OwnerTable()
        self.table_version = 0
        self.session = 0
        # Highest epoch at which this daemon has permanently stopped acting, by partition.
        self._ended_epochs: dict[str, int] = {}

    @property
    def is_valid(self) -> bool:
        """Whether the daemon's lease is guaranteed to hold."""
        return self._clock.now_ms() < self._valid_until_ms

    @property
    def since_expiry_ms(self) -> float:
        """Time in ms since the lease expired; negative while it is valid."""
        return self._clock.now_ms() - self._valid_until_ms

    def start_session(self) -> None:
        """Start a new session, which ends earlier ones; call it before writing the new member key.

        Other daemons infer from the new key that earlier sessions no longer renew batch tasks.
        """
        self.session += 1

    def join(self, member: str, *, sent_ms: float) -> None:
        """Start a new membership, whose lease was requested at the local time `sent_ms`."""
        self.member = member
        self._valid_until_ms = float("-inf")
        self.record_renewal(sent_ms=sent_ms)

    def record_renewal(self, *, sent_ms: float) -> None:
        """Extend the validity after a successful renewal that was sent at `sent_ms`."""
        until_ms = sent_ms + self._ttl_ms * (1 - MAX_CLOCK_DRIFT_RATIO)
        self._valid_until_ms = max(self._valid_until_ms, until_ms)

    def invalidate_lease(self) -> None:
        """Make the lease invalid at once."""
        self._valid_until_ms = min(self._valid_until_ms, self._clock.now_ms())

    def observe(self, table: OwnerTable, version: int) -> None:
        """Update the owner table from the store; older versions are ignored.

        Raises
        ------
        EpochRegressionError
            If the newer table has a lower epoch for a partition.
        """
        if version <= self.table_version:
            return
        for partition, ownership in table.partitions.items():
            current = self.table.partitions.get(partition)
            if current is not None and ownership.epoch < current.epoch:
                raise EpochRegressionError(
                    f"partition {partition}: epoch {ownership.epoch} after {current.epoch}"
                )
        self.table, self.table_version = table, version

    def epoch_of(self, partition: str) -> int:
        """Return the epoch of a partition; 0 if it has never been owned."""
        ownership = self.table.partitions.get(partition)
        return ownership.epoch if ownership else 0

    def owner_of(self, partition: str) -> str:
        """Return the member that owns a partition in the table; empty if none does."""
        ownership = self.table.partitions.get(partition)
        return ownership.member if ownership else ""

    def list_assigned_epochs(self) -> dict[str, int]:
        """Return the epochs of the partitions that this daemon owns in the table, by partition."""
        return {
            partition: ownership.epoch
            for partition, ownership in self.table.partitions.items()
            if ownership.member == self.member
        }

    def may_act(self, partition: str, epoch: int) -> bool:
        """Return whether this daemon may currently act as the owner of a partition at an epoch."""
        ownership = self.table.partitions.get(partition)
        is_owner = (
            ownership is not None and ownership.member == self.member and ownership.epoch == epoch
        )
        return is_owner and self.is_valid and not self.has_ended(partition, epoch)

    def has_ended(self, partition: str, epoch: int) -> bool:
        """Return whether this daemon has permanently stopped acting at an epoch."""
        return self._ended_epochs.get(partition, 0) >= epoch

    def end_epoch(self, partition: str, epoch: int) -> None:
        """Stop acting at an epoch permanently; to act again, this daemon must claim the partition.

        Sequence numbers of the exchange between two owners are valid within a pair of epochs. An
        owner that started again with the same epoch would reset them: its peer would reject every
        step, or it would mistake a delayed earlier step for a new one.
        """
        self._ended_epochs[partition] = max(epoch, self._ended_epochs.get(partition, 0))

    def plan_claims(
        self,
        partitions: Collection[str],
        live: Collection[str],
        *,
        retired: Collection[str] = (),
    ) -> OwnerTable | None:
        """Return the owner table with this daemon's claims, or None if it claims nothing.

        Parameters
        ----------
        partitions : collection of str
            All partitions that should have an owner.
        live : collection of str
            Members whose key exists in the store, including this daemon.
        retired : collection of str
            Members that are known to have stopped acting; they are removed from the suspects.

        Returns
        -------
        OwnerTable or None
            Table to write by compare-and-swap on the version of the current table.
        """
        if self.member not in live:
            return None
        fair_share = math.ceil(len(partitions) / len(live))
        owned = [name for name in partitions if self.owner_of(name) == self.member]
        ended = [name for name in owned if self.has_ended(name, self.epoch_of(name))]
        unowned = [name for name in partitions if self.owner_of(name) not in live]
        # Each daemon prefers different partitions, so that concurrent claims rarely conflict.
        # Partitions beyond the fair share are left to the other daemons. Partitions that this
        # process owned before its lease expired come first, which moves the fewest partitions after
        # an outage of the store.
        unowned.sort(
            key=lambda name: (
                not self._was_owned_by_this_process(name),
                rank_by_rendezvous(name, live).index(self.member),
            )
        )
        claims = ended + unowned[: max(0, fair_share - len(owned))]
        if not claims:
            return None
        return self._assign(dict.fromkeys(claims, self.member), retired)

    def _was_owned_by_this_process(self, partition: str) -> bool:
        # The last part of a member identifier is the session number within the process.
        process = self.member.rpartition(".")[0]
        return bool(process) and self.owner_of(partition).rpartition(".")[0] == process

    def plan_handover(
        self, live: Collection[str], *, leave: bool, partitions: Collection[str] = ()
    ) -> OwnerTable | None:
        """Return the owner table with partitions handed over to other members, or None if none are.

        Parameters
        ----------
        live : collection of str
            Members that may receive partitions.
        leave : bool
            Whether to hand over all partitions (on a stop), or only those beyond the fair share.
        partitions : collection of str
            All partitions; needed when `leave` is false.
        """
        others = [member for member in live if member != self.member]
        owned = sorted(self.list_assigned_epochs())
        if not others or not owned:
            return None
        excess = owned
        if not leave:
            fair_share = math.ceil(len(partitions) / len(live))
            excess = owned[fair_share:]
        counts = Counter(ownership.member for ownership in self.table.partitions.values())
        moves: dict[str, str] = {}
        for partition in excess:
            target = min(others, key=lambda member: (counts[member], member))
            counts[target] += 1
            moves[partition] = target
        return self._assign(moves) if moves else None

    def _assign(self, moves: dict[str, str], retired: Collection[str] = ()) -> OwnerTable:
        """Return the owner table with new owners for some partitions, each at the next epoch."""
        partitions = dict(self.table.partitions)
        for partition, member in moves.items():
            previous = partitions.get(partition, Ownership("", 0))
            suspects = {parse_vm_name(item): item for item in previous.suspects}
            if previous.member not in ("", self.member):
                # Only the owner hands over a partition. Any other change of owner is a claim, so
                # the previous owner becomes a suspect.
                suspects[parse_vm_name(previous.member)] = previous.member
            partitions[partition] = Ownership(
                member,
                previous.epoch + 1,
                tuple(item for item in suspects.values() if item not in retired),
            )
        return OwnerTable(partitions)
