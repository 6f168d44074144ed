"""Table of members, based on the store's listing and on heartbeats."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from coltsfootpier.clock import Clock

_MAX_MISSED_HEARTBEATS = 3


@attrs.frozen
class Member:
    """Daemon that is a member of the cluster.

    Parameters
    ----------
    id : str
        Identifier, which changes with each incarnation and each lease.
    name : str
        Name of the entry VM.
    availability_zone : str
        Availability zone of the entry VM.
    peers_address, operators_address : str
        ``IP:PORT`` at which the daemon serves its peers and operators.
    """

    id: str
    name: str
    availability_zone: str
    peers_address: str
    operators_address: str = ""


class MemberTable:
    """Table of members, with the time of each member's last heartbeat.

    It contains the members that the store lists, and members that the store doesn't list but
    that respond to heartbeats.

    Parameters
    ----------
    clock : Clock
        Time source.
    heartbeat_ms : float
        Time between heartbeats in milliseconds.
    """

    def __init__(self, *, clock: Clock, heartbeat_ms: float) -> None:
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self.members: dict[str, Member] = {}
        self._last_heartbeat_ms: dict[str, float] = {}
        self._listed: set[str] = set()
        self._leaving: set[str] = set()

    def observe_listing(self, members: Mapping[str, Member]) -> None:
        """Update the table with the members that the store lists.

        Members that are no longer listed stay as long as they respond, unless they announced
        that they are leaving. The reason is that the leases of all daemons expire during an
        outage of the store. If two daemons then removed each other, they couldn't find each other
        again until the store is available.
        """
        now_ms = self._clock.now_ms()
        names = {member.name for member in members.values()}
        responding = {
            id_: member
            for id_, member in self.members.items()
            if id_ not in members
            and id_ not in self._leaving
            and member.name not in names
            and not self.is_suspect(id_)
        }
        self._leaving &= self.members.keys() | members.keys()
        self._listed = set(members)
        self.members = {**members, **responding}
        self._last_heartbeat_ms = {
            id_: self._last_heartbeat_ms.get(id_, now_ms) for id_ in self.members
        }

    def observe_member(self, member: Member) -> bool:
        """Record a heartbeat of a member, and add it if it is unknown.

        Members that the store doesn't list are added too. If the store lists another member on
        the same VM and that member responds, the sender of the heartbeat is ignored; otherwise it
        replaces the other members on its VM. A member that announced that it is leaving is not
        added again.

        Returns
        -------
        bool
            Whether the member was added.
        """
        if member.id in self.members:
            self.record_heartbeat(member.id)
            return False
        if member.id in self._leaving:
            return False
        for id_, known in list(self.members.items()):
            if known.name != member.name:
                continue
            if id_ in self._listed and not self.is_suspect(id_):
                return False
            del self.members[id_]
            self._last_heartbeat_ms.pop(id_, None)
        self.members[member.id] = member
        self.record_heartbeat(member.id)
        return True

    def mark_leaving(self, id_: str) -> None:
        """Mark a member that is shutting down; it is removed when the store no longer lists it."""
        self._leaving.add(id_)

    def remove_suspects(self) -> bool:
        """Remove suspected members that the store doesn't list; return whether there were any."""
        suspects = [id_ for id_ in self.members if id_ not in self._listed and self.is_suspect(id_)]
        for id_ in suspects:
            del self.members[id_]
            self._last_heartbeat_ms.pop(id_, None)
        return bool(suspects)

    def record_heartbeat(self, id_: str) -> None:
        """Record that a member has responded now."""
        self._last_heartbeat_ms[id_] = self._clock.now_ms()

    def is_suspect(self, id_: str) -> bool:
        """Return whether a member has missed three heartbeats, and may therefore have failed."""
        elapsed_ms = self._clock.now_ms() - self._last_heartbeat_ms.get(id_, float("-inf"))
        return elapsed_ms > _MAX_MISSED_HEARTBEATS * self._heartbeat_ms

    def list_reachable(self) -> list[str]:
        """Return the identifiers of the members that aren't suspected to have failed."""
        return [id_ for id_ in self.members if not self.is_suspect(id_)]
