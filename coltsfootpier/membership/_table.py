"""Table of members from the store and from heartbeats."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from coltsfootpier.clock import Clock

_MISSED_HEARTBEATS = 3


@attrs.frozen
class Member:
    """One daemon.

    Parameters
    ----------
    id : str
        Identifier, new for each incarnation and each lease.
    name : str
        Name of the entry VM.
    availability_zone : str
        Its availability zone.
    peers_address, operators_address : str
        ``IP:PORT``.
    """

    id: str
    name: str
    availability_zone: str
    peers_address: str
    operators_address: str = ""


class MemberTable:
    """Members as the store lists them, with the time of their last heartbeat.

    Parameters
    ----------
    clock : Clock
        Time source.
    heartbeat_ms : float
        Time between heartbeats.
    """

    def __init__(self, *, clock: Clock, heartbeat_ms: float) -> None:
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self.members: dict[str, Member] = {}
        self._heard_ms: dict[str, float] = {}
        self._listed: set[str] = set()
        self._leaving: set[str] = set()

    def observe_listing(self, members: Mapping[str, Member]) -> None:
        """Take the members that the store lists.

        Members that have left the list stay while they answer, unless they said that they
        leave: in an outage of the store the leases of all daemons end, and two daemons that
        dropped each other would never meet again before the store is back.
        """
        now_ms = self._clock.now_ms()
        names = {member.name for member in members.values()}
        heard = {
            id_: member
            for id_, member in self.members.items()
            if id_ not in members
            and id_ not in self._leaving
            and member.name not in names
            and not self.is_suspect(id_)
        }
        self._leaving &= self.members.keys() | members.keys()
        self._listed = set(members)
        self.members = {**members, **heard}
        self._heard_ms = {id_: self._heard_ms.get(id_, now_ms) for id_ in self.members}

    def observe_member(self, member: Member) -> bool:
        """Take a member that sent a heartbeat, also one that the store doesn't list.

        A member of a VM that the store lists under another identifier is ignored while the
        listed one answers; otherwise the newer incarnation replaces the older one.

        Returns
        -------
        bool
            Whether the member was not known before.
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
            self._heard_ms.pop(id_, None)
        self.members[member.id] = member
        self.record_heartbeat(member.id)
        return True

    def mark_leaving(self, id_: str) -> None:
        """Note that a member is about to stop; it is dropped once the store doesn't list it."""
        self._leaving.add(id_)

    def remove_suspects(self) -> bool:
        """Remove suspect members that the store doesn't list; return whether there were any."""
        silent = [id_ for id_ in self.members if id_ not in self._listed and self.is_suspect(id_)]
        for id_ in silent:
            del self.members[id_]
            self._heard_ms.pop(id_, None)
        return bool(silent)

    def record_heartbeat(self, id_: str) -> None:
        """Note that a member answered just now."""
        self._heard_ms[id_] = self._clock.now_ms()

    def is_suspect(self, id_: str) -> bool:
        """Whether a member has missed three heartbeats."""
        silence_ms = self._clock.now_ms() - self._heard_ms.get(id_, float("-inf"))
        return silence_ms > _MISSED_HEARTBEATS * self._heartbeat_ms

    def reachable(self) -> list[str]:
        """Return the identifiers of members that are not suspect."""
        return [id_ for id_ in self.members if not self.is_suspect(id_)]
