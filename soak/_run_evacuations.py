"""Evacuations of availability zones, and the check that no run starts in the zone too late."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import anyio

from coltsfootpier.platform import EVACUATIONS_PREFIX

if TYPE_CHECKING:
    from soak._run_model import PresentRun
    from soak._run_simulation import RunSimulation

ZONES = ("zone-a", "zone-b")
# Time after the acknowledgement of the key from which no runner of the zone executes a start.
EVACUATION_MS = 5_000.0
# Time within which the store's next response usually reaches an owner. For an owner that it reaches
# later, the bound counts from the response, since the owner can't know of the key before.
_USUAL_RESPONSE_MS = 1_000.0
_UNKNOWN_ZONE_SHARE = 0.1


class EvacuationInjector:
    """Writes and removes the keys of evacuations, and checks each start of a run against them.

    Parameters
    ----------
    simulation : RunSimulation
        The cell.
    seed : int
        Determines the series.
    """

    def __init__(self, *, simulation: RunSimulation, seed: int) -> None:
        self._simulation = simulation
        self._rng = random.Random(f"{seed}/evacuations")
        self.fault_counts: Counter[str] = Counter()
        # True time in ms at which the store acknowledged the key of each evacuated zone.
        self._evacuated_ms: dict[str, float] = {}
        simulation.history.start_checks.append(self.find_late_start)

    async def run(self, end_s: float) -> None:
        """Evacuate zones, two of them at once at times, until a true time."""
        async with anyio.create_task_group() as group:
            for zone in ZONES:
                group.start_soon(self._evacuate_repeatedly, zone, end_s)

    async def _evacuate_repeatedly(self, zone: str, end_s: float) -> None:
        rng, loop = self._rng, self._simulation.loop
        while loop.true_s < end_s:
            await anyio.sleep(rng.uniform(2.0, 12.0))
            if rng.random() < _UNKNOWN_ZONE_SHARE:
                self._simulation.store.put(f"{EVACUATIONS_PREFIX}zone-unknown", b"{}")
            await self.evacuate(zone)
            await anyio.sleep(rng.uniform(3.0, 15.0))
            await self.withdraw(zone)

    async def evacuate(self, zone: str) -> None:
        """Request the evacuation of a zone, once the store takes the change."""
        await self._wait_store()
        self._simulation.store.put(EVACUATIONS_PREFIX + zone, b"{}")
        self._evacuated_ms[zone] = self._simulation.history.now_ms
        self._record("evacuation requested", zone)

    async def withdraw(self, zone: str) -> None:
        """Withdraw the evacuation of a zone, once the store takes the change."""
        await self._wait_store()
        self._simulation.store.remove(EVACUATIONS_PREFIX + zone)
        del self._evacuated_ms[zone]
        self._record("evacuation withdrawn", zone)

    def _record(self, event: str, zone: str) -> None:
        self.fault_counts[event] += 1
        self._simulation.history.add(event, zone=zone)

    async def _wait_store(self) -> None:
        while self._simulation.store.is_down:
            await anyio.sleep(0.05)

    def find_late_start(self, run: PresentRun, sender: str) -> str:
        """Return why a run has started too late in an evacuated zone; empty if it hasn't.

        Parameters
        ----------
        run : PresentRun
            Run that has just started.
        sender : str
            Name of the owner's host that sent the command.
        """
        history, zone = self._simulation.history, run.runner.zone
        evacuated_ms = self._evacuated_ms.get(zone)
        if evacuated_ms is None or history.now_ms <= evacuated_ms + EVACUATION_MS:
            return ""
        informed_ms = self._simulation.find_response_ms(sender, evacuated_ms)
        is_usual = informed_ms <= evacuated_ms + _USUAL_RESPONSE_MS
        if not is_usual and history.now_ms <= informed_ms + EVACUATION_MS:
            self.fault_counts["start by an owner cut off since the request"] += 1
            return ""
        late_ms = history.now_ms - evacuated_ms
        return f"#{run.attempt} starts in {zone} {late_ms:.0f} ms after its evacuation, by {sender}"
