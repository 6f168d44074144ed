"""The task that owns the connections to one runner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result

from coltsfootpier.cells import (
    Cell,
    CellSettings,
    LeaseExpiryTracker,
    PaceRun,
    RunnerEntry,
    RunnerReport,
    StartOutcome,
    StartRun,
    StopRun,
)
from coltsfootpier.clock import Clock
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.platform import RunnerClient
from coltsfootpier.transport import NotSent


class Commits(Protocol):
    """Where a task learns that a change was settled."""

    async def wait_commit(self, timeout_ms: float) -> None:
        """Wait until a change has been settled, at most `timeout_ms`."""
        ...


class RunnerTask:
    """Extends what runs on a runner, reads its lists and gives it orders.

    Parameters
    ----------
    entry : RunnerEntry
        The runner.
    cell : Cell
        Takes the reports and answers.
    settings : CellSettings
        Lease and validity of orders.
    lease_ms : float
        Time for which each contact extends what runs.
    commits : Commits
        Tells when ends may have become durable.
    clock : Clock
        Time source.
    on_event : callable
        Called after the cell took something that may ask for new orders.
    on_fenced : callable
        Called when a later owner has spoken to the runner.
    """

    def __init__(
        self,
        *,
        entry: RunnerEntry,
        cell: Cell,
        settings: CellSettings,
        lease_ms: float,
        commits: Commits,
        clock: Clock,
        on_event: Callable[[], None],
        on_fenced: Callable[[str], None],
    ) -> None:
        self.id = entry.id
        self.address = entry.address
        self._cell = cell
        self._settings = settings
        self._lease_ms = lease_ms
        self._commits = commits
        self._clock = clock
        self._on_event = on_event
        self._on_fenced = on_fenced
        self._lapses = LeaseExpiryTracker(settings)
        self._client = RunnerClient(entry=entry, token=cell.generation, clock=clock)
        # The runner's clock at a local time, from the last report.
        self._clock_at: tuple[float, float] | None = None
        self._reachable = True
        self.scope = anyio.CancelScope()
        self._group: TaskGroup | None = None
        self.report_count = 0

    async def run(self) -> None:
        """Question the runner until cancelled."""
        try:
            with self.scope:
                async with anyio.create_task_group() as group:
                    self._group = group
                    while True:
                        await self._report()
        finally:
            self._client.close()

    def carry_out(self, order: StartRun | StopRun | PaceRun) -> None:
        """Send an order from a task of its own."""
        if self._group is None:
            if isinstance(order, StartRun):
                self._cell.handle_start_response(
                    self.id, order.run, StartOutcome.REFUSED, self._clock.now_ms()
                )
            return
        if isinstance(order, StartRun):
            self._group.start_soon(self._start, order)
        elif isinstance(order, StopRun):
            self._group.start_soon(self._stop, order)
        else:
            self._group.start_soon(self._pace, order)

    def _runner_now(self) -> float | None:
        if self._clock_at is None:
            return None
        runner_ms, local_ms = self._clock_at
        return runner_ms + self._clock.now_ms() - local_ms

    def _begin_call(self, duration_ms: float) -> int:
        call = self._lapses.record_call(now_ms=self._clock.now_ms(), duration_ms=duration_ms)
        self._cell.fleet.set_lease_expiry(self.id, self._lapses.lease_expiry_ms)
        return call

    def _settle_call(self, call: int, *, applied: bool) -> None:
        self._lapses.settle(call, applied=applied)
        self._cell.fleet.set_lease_expiry(self.id, self._lapses.lease_expiry_ms)

    async def _report(self) -> None:
        cell = self._cell
        if self.id not in cell.fleet.runners:
            await anyio.sleep(_timing.REPORT_BACKOFF_MS / 1000)
            return
        waiting = cell.fleet.has_pending_ends(self.id)
        runner_now = self._runner_now()
        deadline_ms = None
        if runner_now is not None:
            deadline_ms = runner_now + self._lease_ms
            call = self._begin_call(self._lease_ms)
        self.report_count += 1
        result = await self._client.report(
            deadline_ms=deadline_ms,
            observed=cell.fleet.last_durable_end(self.id),
            # An answer that waits for an end would come at once while older ends are listed.
            wait_ms=0 if waiting or runner_now is None else _timing.REPORT_WAIT_MS,
            timeout_ms=_timing.RUNNER_TIMEOUT_MS,
        )
        if deadline_ms is not None:
            self._settle_call(call, applied=_may_be_taken(result))
        if isinstance(result, Failure):
            await self._take_failure(result.failure())
            return
        if not self._reachable:
            log_event("runner regained", runner=self.id)
        self._reachable = True
        self._take_report(result.unwrap())
        if cell.fleet.has_pending_ends(self.id):
            await self._commits.wait_commit(_timing.REPORT_WAIT_MS / 2)

    async def _take_failure(self, error: object) -> None:
        if error is StartOutcome.FENCED:
            self._on_fenced(self.id)
        if self._reachable:
            log_event("runner lost", runner=self.id, reason=repr(error))
        self._reachable = False
        await anyio.sleep(_timing.REPORT_BACKOFF_MS / 1000)

    def _take_report(self, report: RunnerReport) -> None:
        self._clock_at = (report.clock_ms, report.received_ms)
        self._cell.apply_report(self.id, report, self._clock.now_ms())
        self._on_event()

    async def _start(self, order: StartRun) -> None:
        runner_now = self._runner_now()
        now_ms = self._clock.now_ms
        if runner_now is None:
            self._cell.handle_start_response(self.id, order.run, StartOutcome.REFUSED, now_ms())
            return
        valid_ms = self._settings.start_valid_ms
        call = self._begin_call(valid_ms)
        outcome, _ = await self._client.start(
            order, deadline_ms=runner_now + valid_ms, timeout_ms=_timing.RUNNER_TIMEOUT_MS
        )
        self._settle_call(call, applied=outcome not in (StartOutcome.REFUSED, StartOutcome.FENCED))
        if outcome is StartOutcome.FENCED:
            self._on_fenced(self.id)
        self._cell.handle_start_response(self.id, order.run, outcome, now_ms())
        if outcome is not StartOutcome.STARTED:
            self._on_event()

    async def _stop(self, order: StopRun) -> None:
        if await self._client.stop(order, timeout_ms=_timing.RUNNER_TIMEOUT_MS):
            self._cell.handle_stop_response(self.id, order.run, self._clock.now_ms())

    async def _pace(self, order: PaceRun) -> None:
        if not await self._client.pace(order, timeout_ms=_timing.RUNNER_TIMEOUT_MS):
            self._cell.handle_pace_failure(self.id, order.run)


def _may_be_taken(result: Result[RunnerReport, object]) -> bool:
    """Return whether the runner may have taken the deadline of a call for a report."""
    if not isinstance(result, Failure):
        return True
    error = result.failure()
    return not isinstance(error, NotSent | StartOutcome)
