"""Evacuation of availability zones: their runners get no new runs while operators request it.

Operators evacuate a zone before work on its power or network, often during a burst. Short runs end
where they are. Long-running runs move to other zones one by one, as far as these keep the capacity
that short jobs need; all other runs stay.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from coltsfootpier.cells._cordons import count_unavailable, is_ready
from coltsfootpier.cells._estimates import Estimates
from coltsfootpier.cells._fleet import Fleet, LogCallback
from coltsfootpier.cells._jobs import JobTable
from coltsfootpier.cells._placement import may_get_new_runs
from coltsfootpier.cells._settings import CellSettings
from coltsfootpier.cells._state import Run, Runner, RunState
from coltsfootpier.jobs import JobSpec, Queue

# Time for which the place of a moved run is kept at most: a stop whose first command is lost takes
# 500 ms, 400 ms until the run has ended and 500 ms until a report.
_MAX_PLACE_MS = 2_000.0
# Time between two attempts to move a run. An attempt counts the capacity of all runners; that takes
# 6 ms for 177 runners with 2,100 runs.
_ATTEMPT_PERIOD_MS = 200.0
# Other programs write the registry, so the number of zones has no bound.
_MAX_LOGGED_ZONES = 20


@attrs.frozen(kw_only=True)
class _Move:
    """A run that is being stopped, and the place that is kept for its task on another runner."""

    run: Run
    target: Runner
    until_ms: float


class Evacuations:
    """Evacuations of availability zones that operators request.

    Parameters
    ----------
    settings : CellSettings
        Limits.
    fleet : Fleet
        Runners of the cell.
    jobs : JobTable
        Jobs of the cell.
    estimates : Estimates
        Capacity that short jobs need.
    log : callable
        Callback that logs one event with its fields.
    """

    def __init__(
        self,
        *,
        settings: CellSettings,
        fleet: Fleet,
        jobs: JobTable,
        estimates: Estimates,
        log: LogCallback,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._jobs = jobs
        self._estimates = estimates
        self._log = log
        # Zones whose evacuation has been logged as started.
        self._started: frozenset[str] = frozenset()
        # Requested zones without runners, each logged once.
        self._unknown: frozenset[str] = frozenset()
        self._moves: list[_Move] = []
        self._attempted_ms = float("-inf")

    def set_zones(self, zones: frozenset[str]) -> bool:
        """Set the zones to evacuate; return whether that changes which runners get new runs.

        Parameters
        ----------
        zones : frozenset of str
            All zones whose evacuation is requested at present. One without runners has no effect.
        """
        fleet = self._fleet
        if zones != fleet.evacuated_zones:
            fleet.set_evacuated_zones(zones)
        if zones == self._started:
            return False
        known = frozenset(
            runner.entry.availability_zone
            for runner in fleet.runners.values()
            if runner.is_registered
        )
        # Runners of a zone may leave and return while its evacuation is requested.
        started = zones & (known | self._started)
        for zone in sorted(started - self._started):
            self._log("zone evacuation started", **self._describe(zone))
        for zone in sorted(self._started - zones):
            self._log("zone evacuation ended", **self._describe(zone))
        # Until the registry has been read, no zone is known.
        unknown = zones - started if fleet.is_listed else self._unknown & zones
        for zone in sorted(unknown - self._unknown):
            known_zones = ",".join(sorted(known)[:_MAX_LOGGED_ZONES])
            self._log("zone to evacuate unknown", zone=zone, known_zones=known_zones)
        is_changed = started != self._started
        self._started, self._unknown = started, unknown
        return is_changed

    def _describe(self, zone: str) -> dict[str, object]:
        """Return log fields about a zone."""
        runners = [
            runner
            for runner in self._fleet.runners.values()
            if runner.is_registered and runner.entry.availability_zone == zone
        ]
        return {
            "zone": zone,
            "runners": len(runners),
            "runs": sum(len(runner.runs) for runner in runners),
            "generation": self._fleet.generation,
        }

    def excludes(self, queue: Queue, spec: JobSpec) -> bool:
        """Return whether a step could run in evacuated zones only.

        Its job would wait for the end of the evacuation, which no estimate of the load foresees.
        """
        if not self._fleet.evacuated_zones:
            return False
        runners = [
            runner
            for runner in self._fleet.runners.values()
            if runner.is_registered and runner.entry.service == queue.service
        ]
        for label in {step.required_label for step in spec.steps}:
            matching = [runner for runner in runners if not label or label in runner.entry.labels]
            if any(runner.evacuated for runner in matching) and not any(
                may_get_new_runs(runner) for runner in matching
            ):
                return True
        return False

    def choose_run(
        self, find_alternative: Callable[[Run, Runner], Runner | None], now_ms: float
    ) -> Run | None:
        """Return a long-running run to move out of an evacuated zone now, and keep a place for it.

        Parameters
        ----------
        find_alternative : callable
            Returns a runner other than its own on which a run fits; None if there is none.
        now_ms : float
            Local time.
        """
        if not self._started or now_ms - self._attempted_ms < _ATTEMPT_PERIOD_MS:
            return None
        self._attempted_ms = now_ms
        # Whether the other zones have capacity for a run, by queue and CPU demand.
        spare: dict[tuple[str, int], bool] = {}
        attempts = 0
        for run in self._list_evacuated():
            if not self._may_move(run, now_ms):
                continue
            if attempts >= self._settings.moves_tried:
                return None
            attempts += 1
            run.step_run.last_move_ms = now_ms
            key = run.step_run.job.queue.name, run.step.cpu_milli
            if key not in spare:
                spare[key] = self._has_spare_capacity(run, now_ms)
            target = None
            if spare[key]:
                target = find_alternative(run, self._fleet.runners[run.runner_id])
            if target is not None:
                # Best-effort tasks would take the memory before the run has ended.
                target.reserve(run.step)
                run.task.preferred_runner = target.entry.id
                self._moves.append(_Move(run=run, target=target, until_ms=now_ms + _MAX_PLACE_MS))
                return run
        return None

    def release_places(self, now_ms: float) -> None:
        """Release the places of runs that have ended, whose tasks are among the next to start."""
        for move in list(self._moves):
            is_present = self._fleet.find_run(move.run.runner_id, move.run.id) is move.run
            if not is_present or now_ms >= move.until_ms:
                move.target.reserve(move.run.step, -1)
                self._moves.remove(move)

    def _list_evacuated(self) -> Iterator[Run]:
        """Iterate over the long-running runs in evacuated zones that aren't being stopped."""
        for runner in self._fleet.runners.values():
            if runner.evacuated:
                for run in runner.runs.values():
                    if run.step.long_running and run.state is not RunState.STOPPING:
                        yield run

    def _may_move(self, run: Run, now_ms: float) -> bool:
        """Return whether a run may be stopped now in view of its step and its runner."""
        step, unanswered = run.step_run, self._fleet.unanswered_starts
        return (
            is_ready(run)
            # The members of a gang run only together, so that the move of one ends all of them.
            and not step.spec.gang
            # Runners are approved for waiting tasks only, so the next place isn't known.
            and not step.job.queue.needs_advice
            # The task would have to wait until no late start can be carried out.
            and unanswered.find(run.id) is None
            and not unanswered.has_task(run.id)
            # The moves that free capacity for a waiting task share the time between moves.
            and not step.waiting
            and now_ms - step.last_move_ms >= self._settings.make_room_period_ms
            and count_unavailable(step, self._fleet.runners) < max(1, step.spec.may_miss)
        )

    def _has_spare_capacity(self, run: Run, now_ms: float) -> bool:
        """Return whether the other zones keep what short jobs need beside one more run."""
        queue = run.step_run.job.queue
        if not self._estimates.has_learned_short_demand(queue.service, now_ms):
            # A move can't be undone when a new owner, in a burst, learns that it took too much.
            return False
        for step in self._jobs.ready.values():
            if (
                step.waiting
                and step.blocked_ms <= now_ms
                and step.job.queue.service == queue.service
                and not (step.spec.fills or step.spec.long_running)
            ):
                return False
        # The runs that stay need no capacity in the other zones; those that move do.
        staying = [
            other.step
            for other in self._list_evacuated()
            if other.step_run.job.queue.service == queue.service
        ]
        staying_cpu = sum(step.cpu_milli for step in staying)
        staying_mb = sum(step.memory_mb for step in staying)
        capacity = self._estimates.measure_long_running_capacity(
            queue,
            self._fleet.runners.values(),
            held_cpu=self._jobs.measure_long_running_cpu(queue.service) - staying_cpu,
            held_mb=self._jobs.measure_long_running_memory_mb(queue.service) - staying_mb,
            now_ms=now_ms,
            deviations=self._settings.reserve_deviations,
        )
        moved_cpu = self._estimates.convert_to_pieces(
            queue.service, run.step.cpu_milli, run.step.memory_mb
        )
        return capacity.free_cpu - moved_cpu >= capacity.reserve_cpu
