"""Test data builders for cells, and a cell with simulated runners on a virtual clock."""

from __future__ import annotations

from typing import Any

import attrs

from coltsfootpier.cells import (
    Accepted,
    Cell,
    CellCommand,
    CellSettings,
    EndedRow,
    EndKind,
    PaceRun,
    RunId,
    RunnerEntry,
    RunnerReport,
    RunningRow,
    StartOutcome,
    StartRun,
    StopRun,
)
from coltsfootpier.jobs import JobSpec, Queue, StepSpec, TaskKey

# Local time at which simulated cells start.
START_MS = 1_000.0
UNIX_OFFSET_MS = 1_700_000_000_000.0


def build_step(**changes: Any) -> StepSpec:
    """Build a step of one short task."""
    values = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100, "estimate_ms": 500.0}
    return StepSpec(**{**values, **changes})


def build_job(*steps: StepSpec, **changes: Any) -> JobSpec:
    """Build a job; without steps it has one short task."""
    return JobSpec(payload="p", steps=steps or (build_step(),), **changes)


def build_queue(**changes: Any) -> Queue:
    """Build a queue whose jobs may take a long time."""
    values = {
        "name": "batch",
        "service": "web",
        "max_attempts": 3,
        "stretch": 2.0,
        "objective_ms": 10_000.0,
    }
    return Queue(**{**values, **changes})


def build_entry(name: str = "a", **changes: Any) -> RunnerEntry:
    """Build the registry entry of a runner with 4 cores."""
    values = {
        "id": name,
        "service": "web",
        "address": "127.0.0.1:1",
        "cpu_milli": 4_000,
        "memory_mb": 8_000,
        "rack": "r1",
        "labels": ("kind", "r1"),
        "started_unix_ms": 1,
    }
    return RunnerEntry(**{**values, **changes})


@attrs.define
class SimulatedRunner:
    """A runner that executes commands at once and keeps ended runs until they are acknowledged."""

    entry: RunnerEntry
    running: dict[RunId, str] = attrs.field(factory=dict)
    percents: dict[RunId, float] = attrs.field(factory=dict)
    measured: dict[RunId, float] = attrs.field(factory=dict)
    ended: list[EndedRow] = attrs.field(factory=list)
    rejected: set[RunId] = attrs.field(factory=set)
    last_end: int = 0
    reachable: bool = True
    # Ended runs that it lists at a time.
    end_limit: int = 500

    def end(self, run: RunId, outcome: EndKind = EndKind.DONE, checkpoint: str = "") -> None:
        """End a run that is present."""
        self.running.pop(run)
        self.last_end += 1
        self.ended.append(EndedRow(self.last_end, run, outcome, checkpoint))


class SimulatedCell:
    """A cell whose runners are simulated.

    Parameters
    ----------
    names : sequence of str
        Names of the runners.
    generation : int
        Number of the ownership.
    entries : tuple of RunnerEntry
        Registry entries of the runners, instead of `names`.
    **changes
        Settings of the cell that differ from the defaults.
    """

    def __init__(
        self,
        names: tuple[str, ...] = ("a", "b"),
        *,
        generation: int = 1,
        entries: tuple[RunnerEntry, ...] = (),
        **changes: Any,
    ) -> None:
        self.now_ms = START_MS
        self.last_token = generation
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.settings = CellSettings(**changes)
        self.cell = Cell(settings=self.settings, generation=generation, log=self._log)
        entries = entries or tuple(build_entry(name) for name in names)
        self.runners = {entry.id: SimulatedRunner(entry) for entry in entries}
        self.commands: list[CellCommand] = []
        # Whether the store confirms that no later owner exists, and takes changes.
        self.is_store_up = True
        # Outcome of start commands on each runner, if it is another than `STARTED`.
        self.outcomes: dict[str, StartOutcome] = {}
        self.is_durable = True

    def _log(self, event: str, /, **fields: Any) -> None:
        self.events.append((event, fields))

    @property
    def unix_ms(self) -> float:
        """Unix time in ms."""
        return UNIX_OFFSET_MS + self.now_ms

    def join(self) -> None:
        """List all runners and apply a first report of each one that is reachable."""
        self.list_runners()
        self.cell.fleet.mark_recorded(self.runners)
        self.report()
        self.renew()

    def list_runners(self) -> None:
        """Apply the registry to the cell."""
        self.cell.set_runners([runner.entry for runner in self.runners.values()], self.now_ms)

    def submit(self, job_id: str, spec: JobSpec | None = None, queue: Queue | None = None) -> Any:
        """Submit a job and make it durable."""
        result = self.cell.submit(
            job_id,
            queue or build_queue(),
            spec or build_job(),
            now_ms=self.now_ms,
            unix_ms=self.unix_ms,
        )
        if isinstance(result, Accepted) and self.is_durable:
            self.store()
        return result

    def store(self) -> None:
        """Make all changes durable."""
        for job, version in self.cell.jobs.list_dirty(1_000):
            self.cell.jobs.mark_durable(job, version)

    def report(self, *names: str) -> None:
        """Apply a report of each reachable runner, or of those named."""
        for name, runner in self.runners.items():
            if not runner.reachable or (names and name not in names):
                continue
            known = self.cell.fleet.runners.get(name)
            if known is not None:
                durable_end = self.cell.fleet.get_last_durable_end(name)
                runner.ended = [row for row in runner.ended if row.number > durable_end]
                lease_expiry_ms = self.now_ms + self.settings.run_lease_ms
                self.cell.fleet.set_lease_expiry(name, lease_expiry_ms)
            self.cell.apply_report(
                name,
                RunnerReport(
                    clock_ms=self.unix_ms - runner.entry.started_unix_ms,
                    started_unix_ms=runner.entry.started_unix_ms,
                    running=tuple(
                        RunningRow(
                            run,
                            checkpoint,
                            runner.percents.get(run, 0.0),
                            runner.measured.get(run, 0.0),
                        )
                        for run, checkpoint in runner.running.items()
                    ),
                    ended=tuple(runner.ended[: runner.end_limit]),
                    is_complete=len(runner.ended) < runner.end_limit,
                    sent_ms=self.now_ms,
                    received_ms=self.now_ms,
                ),
                self.now_ms,
            )

    def renew(self) -> None:
        """Confirm that no later owner exists, if the store responds."""
        if self.is_store_up:
            self.cell.record_confirmation(self.now_ms)

    def write_fleet(self) -> None:
        """Do what the owner does in the store: reserve a token, and record the long leases."""
        fleet = self.cell.fleet
        if not self.is_store_up:
            return
        if fleet.needs_token:
            self.last_token += 1
            fleet.set_token(self.last_token, self.now_ms)
        fleet.mark_long_leases_recorded(fleet.list_long_leases(self.now_ms))

    def plan(self) -> list[CellCommand]:
        """Plan once and execute the commands on reachable runners."""
        self.renew()
        self.write_fleet()
        commands = self.cell.plan(self.now_ms, self.unix_ms)
        self.commands += commands
        for command in commands:
            runner = self.runners[command.runner_id]
            if isinstance(command, StartRun):
                self._start(runner, command)
            elif isinstance(command, StopRun) and runner.reachable:
                runner.rejected.add(command.run)
                if command.run in runner.running:
                    runner.end(command.run, EndKind.STOPPED, runner.running[command.run])
                self.cell.handle_stop_response(
                    command.runner_id, command.run, self.now_ms, sent_ms=self.now_ms
                )
            elif isinstance(command, PaceRun) and not runner.reachable:
                self.cell.handle_pace_failure(command.runner_id, command.run)
        return commands

    def _start(self, runner: SimulatedRunner, command: StartRun) -> None:
        outcome = self.outcomes.get(command.runner_id, StartOutcome.STARTED)
        if not runner.reachable:
            outcome = StartOutcome.UNKNOWN
        if outcome is StartOutcome.STARTED:
            runner.running[command.run] = command.checkpoint
        self.cell.handle_start_response(command.runner_id, command.run, outcome, self.now_ms)

    def advance(self, duration_ms: float, step_ms: float = 100.0) -> None:
        """Advance the clock in steps, with reports and a plan in each."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self.report()
            self.plan()
            if self.is_durable:
                self.store()

    def list_running(self) -> list[tuple[str, RunId]]:
        """Return all runs that are present on runners, each with its runner."""
        return [(name, run) for name, runner in self.runners.items() for run in runner.running]

    def find(self, job_id: str, key: TaskKey | None = None) -> list[tuple[str, RunId]]:
        """Return the present runs of a job, or of one of its tasks, each with its runner."""
        return [
            (name, run)
            for name, run in self.list_running()
            if run.job_id == job_id and key in (None, run.key)
        ]

    def finish(self, job_id: str, outcome: EndKind = EndKind.DONE) -> None:
        """End all runs of a job that are present."""
        for name, run in self.find(job_id):
            self.runners[name].end(run, outcome)
        self.report()
        if self.is_durable:
            self.store()

    def list_event_names(self) -> list[str]:
        """Return the names of the logged events."""
        return [name for name, _ in self.events]
