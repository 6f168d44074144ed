"""Assignment of a service's slots to daemons."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Protocol

from coltsfootpier.ownership import rank_by_rendezvous
from coltsfootpier.routing._messages import Runner

# Number of slots by runner identifier and owning member.
SlotTable = Mapping[str, Mapping[str, int]]


class SlotAssignment(Protocol):
    """Deterministic assignment of slots to daemons.

    Daemons that know the same runners and members compute the same assignment.
    """

    def assign(self, runners: Sequence[Runner], members: Mapping[str, str]) -> SlotTable:
        """Return the number of slots of each runner that each member owns.

        Parameters
        ----------
        runners : sequence of Runner
            All runners of one service.
        members : mapping of str to str
            Availability zone of each member.
        """
        ...


class RendezvousAssignment:
    """Assignment of all slots of a runner to its first member by rendezvous hashing (baseline)."""

    def assign(self, runners: Sequence[Runner], members: Mapping[str, str]) -> SlotTable:
        """Return the number of slots of each runner that each member owns."""
        return {
            runner.id: {rank_by_rendezvous(runner.id, members)[0]: runner.slots}
            for runner in runners
            if members
        }


class BalancedAssignment:
    """Assignment of an equal number of slots, within one, to each member (default).

    Slots are ordered by availability zone, and in round-robin order over the runners of a zone.
    The ordered list is split into equal ranges for the members, which are ordered by availability
    zone too. As far as the sizes of the zones allow, a member's slots are therefore spread over
    the runners of its own availability zone, so that a failing runner takes only a few slots from
    each member.

    Examples
    --------
    >>> from tests.builders import build_runner
    >>> BalancedAssignment().assign([build_runner("a", slots=3)], {"m1": "z1", "m2": "z1"})
    {'a': {'m1': 1, 'm2': 2}}
    """

    def assign(self, runners: Sequence[Runner], members: Mapping[str, str]) -> SlotTable:
        """Return the number of slots of each runner that each member owns."""
        slots = sorted(
            (runner.availability_zone, index, runner.id)
            for runner in runners
            for index in range(runner.slots)
        )
        table: dict[str, dict[str, int]] = defaultdict(lambda: defaultdict(int))
        ordered = sorted(members, key=lambda member: (members[member], member))
        for position, member in enumerate(ordered):
            first = position * len(slots) // len(ordered)
            last = (position + 1) * len(slots) // len(ordered)
            for _, _, runner_id in slots[first:last]:
                table[runner_id][member] += 1
        return {runner_id: dict(owned) for runner_id, owned in table.items()}
