"""Series of restarts under the same identifier, followed by a change of owner and a cut.

They are named after the days ``recut`` and ``recut-kill`` in ``deploy/days``.
"""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from soak._run_model import SimulatedRunner
    from soak._run_simulation import RunSimulation, SimulatedOwner

_GROUP_SHARES = (0.3, 0.6, 1.0)
# Longest delays of requests from before a restart. The shortest ones still arrive under the owner
# that detects the restart, the longest ones under its successor.
_LONGEST_DELAYS_S = (1.0, 3.0, 12.0)
_SECOND_RESTART_SHARE = 0.25


class RecutInjector:
    """Injects series of rounds: runners restart, their owner is lost, its successors are cut off.

    In each round, a group of runners restarts under the same identifiers. Requests from before the
    restart are carried out late by the next incarnation. Up to 2.5 s later, the owner is lost or
    replaced, and the group is cut off from all later owners.

    Parameters
    ----------
    simulation : RunSimulation
        The cell.
    seed : int
        Determines the series.
    """

    def __init__(self, *, simulation: RunSimulation, seed: int) -> None:
        self._simulation = simulation
        self._rng = random.Random(f"{seed}/recut")
        self.fault_counts: Counter[str] = Counter()
        self._faults = {
            "recut: owner killed": self._kill,
            "recut: ownership revoked": self._revoke,
            "recut: owner cut from store": self._cut_from_store,
            "recut: owner frozen": self._freeze,
        }

    async def run(self, end_s: float) -> None:
        """Inject series until a true time."""
        rng, simulation = self._rng, self._simulation
        while simulation.loop.true_s < end_s:
            await anyio.sleep(rng.uniform(1.0, 6.0))
            share = rng.choice(_GROUP_SHARES)
            count = max(1, round(share * len(simulation.runners)))
            group = rng.sample(simulation.runners, count)
            for _ in range(rng.randint(1, 3)):
                await self._play_round(group)
                await anyio.sleep(rng.uniform(0.5, 5.0))

    async def _play_round(self, group: list[SimulatedRunner]) -> None:
        rng, simulation = self._rng, self._simulation
        await self._restart(group)
        if rng.random() < _SECOND_RESTART_SHARE:
            await anyio.sleep(rng.uniform(0.1, 1.5))
            await self._restart(group)
        await anyio.sleep(rng.uniform(0.5, 2.5))
        kind = rng.choice(list(self._faults))
        self.fault_counts[kind] += 1
        owner = simulation.current
        simulation.history.add("fault", kind=kind, owner=owner.host.name)
        self._faults[kind](owner)
        # A successor may reach the runners before they are cut off.
        await anyio.sleep(rng.uniform(0.0, rng.choice((0.6, 0.6, 3.0))))
        # The owner that is lost may still reach them, or be cut off as well.
        kept = rng.choice(([], [owner]))
        hosts = [other.host.name for other in simulation.owners if other not in kept]
        addresses, cut_s = [runner.address for runner in group], rng.uniform(4.0, 10.0)
        simulation.set_links(hosts, addresses, cut_s, is_cut=True)
        simulation.cut_from_later_owners(addresses, cut_s)
        await anyio.sleep(cut_s)

    async def _restart(self, group: list[SimulatedRunner]) -> None:
        """Restart a group of runners; calls from before it are carried out late."""
        rng, simulation = self._rng, self._simulation
        self.fault_counts["recut: restart"] += 1
        simulation.history.add("fault", kind="recut: restart")
        hosts = [owner.host.name for owner in simulation.owners[-2:]]
        addresses = [runner.address for runner in group]
        before_s, after_s = rng.uniform(0.05, 0.8), rng.uniform(0.0, 0.4)
        simulation.set_links(
            hosts,
            addresses,
            before_s + after_s,
            late=rng.uniform(0.4, 1.0),
            late_s=(0.05, rng.choice(_LONGEST_DELAYS_S)),
        )
        await anyio.sleep(before_s)
        down_s = rng.uniform(0.02, 1.0)
        for runner in group:
            simulation.restart_runner(runner, down_s)
        await anyio.sleep(down_s)

    def _kill(self, owner: SimulatedOwner) -> None:
        owner.host.dead = True

    def _revoke(self, owner: SimulatedOwner) -> None:
        if self._rng.random() < 0.5:
            self._cut_from_store(owner)
        self._simulation.revoke_ownership()

    def _cut_from_store(self, owner: SimulatedOwner) -> None:
        owner.store.is_cut = True
        self._simulation.loop.call_after(
            self._rng.uniform(2.0, 8.0), lambda: setattr(owner.store, "is_cut", False)
        )

    def _freeze(self, owner: SimulatedOwner) -> None:
        self._simulation.loop.freeze(owner.host, self._rng.uniform(1.5, 6.0))
