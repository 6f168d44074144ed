"""Task that communicates with one runner."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from coltsfootpier.cells import (
    Cell,
    CellSettings,
    LeaseExpiryTracker,
    PaceRun,
    RunId,
    Runner,
    RunnerEntry,
    RunnerReport,
    StartOutcome,
    StartRun,
    StopRun,
)
from coltsfootpier.clock import Clock
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.platform import RunnerClient
from coltsfootpier.transport import NotSent

# What a report is requested for, see `_name_cause`.
REPORT_CAUSES = ("contact", "working", "unrecorded", "idle")
# Maximum length of an unexpected error in a log line, in characters.
_MAX_LOGGED_ERROR = 200


class CommitNotifier(Protocol):
    """Source of notifications about commits; `Committer` implements it."""

    async def wait_commit(self, timeout_ms: float) -> None:
        """Wait until a change is committed or abandoned, at most `timeout_ms`."""
        ...


class RunnerTask:
    """Task that extends the leases of runs on a runner, polls its reports and sends it commands.

    Parameters
    ----------
    entry : RunnerEntry
        The runner.
    cell : Cell
        Cell to which the reports and responses are applied.
    settings : CellSettings
        Settings of the cell.
    commits : CommitNotifier
        Notifies when ended runs may have become durable.
    clock : Clock
        Time source.
    on_change : callable
        Called after a response has changed the cell, which may require new commands.
    on_fenced : callable
        Called with the runner's identifier when it rejects the fencing token, because it knows a
        later owner.
    on_contacted : callable, optional
        Called with the runner's identifier when its first request for a report has ended.
    is_contacting : callable, optional
        Returns whether many other runners wait for their first contact.
    connect : callable, optional
        Creates the client of the runner, with the parameters of `RunnerClient`.
    """

    def __init__(
        self,
        *,
        entry: RunnerEntry,
        cell: Cell,
        settings: CellSettings,
        commits: CommitNotifier,
        clock: Clock,
        on_change: Callable[[], None],
        on_fenced: Callable[[str], None],
        on_contacted: Callable[[str], None] = lambda _: None,
        is_contacting: Callable[[], bool] = lambda: False,
        connect: Callable[..., RunnerClient] = RunnerClient,
    ) -> None:
        self.id = entry.id
        self.address = entry.address
        self._cell = cell
        self._settings = settings
        self._commits = commits
        self._clock = clock
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._on_contacted, self._is_contacting = on_contacted, is_contacting
        self._lease_expiry = LeaseExpiryTracker(settings)
        runner = cell.fleet.runners.get(entry.id)
        # Token that the runner's incarnation has accepted.
        self._accepted_token = cell.generation if runner is None else runner.token
        self._client = connect(entry=entry, token=self._accepted_token, clock=clock)
        # Clock of the runner in the last report, and local time at which that report arrived; both
        # in ms.
        self._clock_sample: tuple[float, float] | None = None
        # Incarnation of the runner that the clock sample and the lease expiry refer to.
        self._started_unix_ms = 0
        self._is_reachable = True
        # Whether the last report listed ended runs.
        self._lists_ends = False
        # Runs whose start command has no outcome yet.
        self._pending_starts: set[RunId] = set()
        # Reason and origin of the last unexpected error.
        self._last_error: tuple[str, str] | None = None
        self.scope = anyio.CancelScope()
        self._group: TaskGroup | None = None
        # Set when a pause before the next request ends early.
        self._wake = anyio.Event()
        self._is_pausing = False
        self._client.on_disconnected = self._record_disconnection
        # Requests for reports by what they were sent for; see `_name_cause`.
        self.report_counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Poll the runner until cancelled; after an error, connect to it again.

        Raises
        ------
        ExceptionGroup
            If an invariant of the cell is broken.
        """
        try:
            with self.scope:
                while True:
                    await self._communicate()
                    await anyio.sleep(_timing.RUNNER_ERROR_PAUSE_MS / 1000)
        finally:
            self._client.close()

    async def _communicate(self) -> None:
        """Poll the runner and send it commands until an error, which must not affect others."""
        try:
            async with anyio.create_task_group() as group:
                self._group = group
                while True:
                    await self._poll_report()
        except ExceptionGroup as errors:
            if errors.subgroup(InvariantError) is not None:
                raise
            self._record_error(errors)
        finally:
            self._group = None
        self._client.close()
        # Their commands may have been sent.
        for run_id in self._pending_starts:
            self._cell.handle_start_response(
                self.id, run_id, StartOutcome.UNKNOWN, self._clock.now_ms()
            )
        self._pending_starts.clear()

    def _record_error(self, error: Exception) -> None:
        """Log the first error of a group and where it was raised, unless the last one was alike."""
        while isinstance(error, ExceptionGroup):
            error = error.exceptions[0]
        frame = traceback.extract_tb(error.__traceback__)[-1]
        reason, origin = repr(error)[:_MAX_LOGGED_ERROR], f"{frame.name}:{frame.lineno}"
        if (reason, origin) != self._last_error:
            log_event("runner task failed", runner=self.id, reason=reason, origin=origin)
        self._last_error = (reason, origin)
        self._is_reachable = False

    def execute(self, command: StartRun | StopRun | PaceRun) -> None:
        """Send a command to the runner in a separate task.

        Before `run` has begun and after an error, a start counts as withheld, and any other command
        is dropped; the cell repeats stops.
        """
        if self._group is None or self._group.cancel_scope.cancel_called:
            if isinstance(command, StartRun):
                self._cell.handle_start_response(
                    self.id, command.run, StartOutcome.WITHHELD, self._clock.now_ms()
                )
            return
        if isinstance(command, StartRun):
            self._pending_starts.add(command.run)
            self._group.start_soon(self._send_start, command)
            self._wake.set()
        elif isinstance(command, StopRun):
            self._group.start_soon(self._send_stop, command)
        else:
            self._group.start_soon(self._send_pace, command)

    def _record_disconnection(self) -> None:
        """Record that the runner closed the connection for reports between two requests.

        It may have restarted, with another clock. A request that waits for a run to end would have
        failed.
        """
        if self._is_pausing:
            self._clock_sample = None
            self._wake.set()

    def _estimate_runner_now_ms(self) -> float | None:
        """Return the current time on the runner's clock; None before the first report."""
        if self._clock_sample is None:
            return None
        runner_ms, local_ms = self._clock_sample
        # The runner's clock may run slow; a deadline computed too late would extend the lease
        # beyond the expiry that is tracked.
        elapsed_ms = self._clock.now_ms() - local_ms
        return runner_ms + elapsed_ms * (1.0 - self._settings.clock_drift)

    def _record_call(self, duration_ms: float) -> int:
        call_number = self._lease_expiry.record_call(
            now_ms=self._clock.now_ms(), duration_ms=duration_ms
        )
        self._cell.fleet.set_lease_expiry(self.id, self._lease_expiry.lease_expiry_ms)
        return call_number

    def _settle_call(self, call_number: int, *, applied: bool, answered: bool) -> None:
        self._lease_expiry.settle_call(
            call_number,
            applied=applied,
            unanswered_ms=None if answered else self._clock.now_ms(),
        )
        self._cell.fleet.set_lease_expiry(self.id, self._lease_expiry.lease_expiry_ms)

    def _detect_restart(self) -> None:
        """Discard what was learned from an earlier incarnation of the runner."""
        runner = self._cell.fleet.runners.get(self.id)
        if runner is None or runner.started_unix_ms == self._started_unix_ms:
            return
        if self._started_unix_ms:
            self._clock_sample = None
            self._lease_expiry.record_restart(self._clock.now_ms())
            self._cell.fleet.set_lease_expiry(self.id, self._lease_expiry.lease_expiry_ms)
        self._started_unix_ms = runner.started_unix_ms

    def _get_token(self) -> int:
        """Return the fencing token of the next call."""
        runner = self._cell.fleet.runners.get(self.id)
        return self._accepted_token if runner is None else runner.token

    async def _poll_report(self) -> None:
        cell = self._cell
        runner = cell.fleet.runners.get(self.id)
        if runner is None:
            await anyio.sleep(_timing.REPORT_BACKOFF_MS / 1000)
            return
        self._detect_restart()
        if runner.awaits_token:
            await self._commits.wait_commit(_timing.REPORT_WAIT_MS / 2)
        has_pending_ends = cell.fleet.has_pending_ends(self.id)
        runner_now_ms = self._estimate_runner_now_ms()
        deadline_ms = None
        if (
            runner_now_ms is not None
            and not runner.awaits_token
            and cell.is_ownership_proven(self._clock.now_ms())
        ):
            extension_ms = cell.compute_extension_ms(self._clock.now_ms())
            deadline_ms = runner_now_ms + extension_ms
            cell.fleet.record_deadline(self.id, deadline_ms, self._clock.now_ms())
            call_number = self._record_call(extension_ms)
        result = None
        # A long poll would return at once while the runner still lists earlier ended runs.
        is_short = has_pending_ends or runner_now_ms is None or not runner.adopted
        is_idle = self._is_idle(runner)
        self.report_counts[_name_cause(has_pending_ends, is_short, is_idle)] += 1
        token = self._client.token = runner.token
        try:
            result = await self._client.poll_report(
                deadline_ms=deadline_ms,
                observed=self._find_acknowledged_end(),
                wait_ms=0 if is_short or is_idle else self._choose_wait_ms(),
                timeout_ms=self._choose_timeout_ms(is_first=runner_now_ms is None),
            )
        finally:
            self._on_contacted(self.id)
            if deadline_ms is not None:
                is_answered = isinstance(result, Success)
                may_be_accepted = result is None or _may_be_accepted(result)
                self._settle_call(
                    call_number,
                    applied=may_be_accepted,
                    answered=is_answered or not may_be_accepted,
                )
        if isinstance(result, Failure):
            await self._handle_failure(result.failure(), token)
            return
        if not self._is_reachable:
            log_event("runner reachable again", runner=self.id)
        self._is_reachable = True
        self._lists_ends = bool(result.unwrap().ended)
        self._apply_report(result.unwrap())
        if token > self._accepted_token and runner.adopted:
            self._accepted_token = token
            self._lease_expiry.discard_earlier_calls()
            cell.fleet.set_lease_expiry(self.id, self._lease_expiry.lease_expiry_ms)
        self._last_error = None
        if self._is_idle(runner):
            await self._pause_idle()
        elif cell.fleet.has_unrecorded_ends(self.id):
            await self._wait_until_recorded()
        elif cell.fleet.has_pending_ends(self.id):
            # Held for starts without a response; a long poll would return at once.
            await anyio.sleep(_timing.HELD_ENDS_PERIOD_MS / 1000)
        elif self._lists_ends and not cell.fleet.may_acknowledge_ends(self._clock.now_ms()):
            await anyio.sleep(_timing.REPORT_WAIT_MS / 2 / 1000)

    def _choose_timeout_ms(self, *, is_first: bool) -> float:
        """Return the time limit of a request for a report, apart from the runner's wait."""
        is_slow = is_first and self._is_contacting()
        return _timing.CONTACT_TIMEOUT_MS if is_slow else _timing.RUNNER_TIMEOUT_MS

    def _is_idle(self, runner: Runner) -> bool:
        """Return whether no end, lease or measurement can show in the next report of a runner.

        All that is left to learn is that the runner still responds, and with which clock.
        """
        fleet = self._cell.fleet
        return (
            self._clock_sample is not None
            and runner.adopted
            # A report makes it usable again after a start was rejected.
            and not runner.full
            and not (runner.runs or runner.pending_ends or runner.unneeded_runs)
            and not (self._lists_ends or self._pending_starts)
            and not fleet.has_unknown_runs(self.id)
            and not fleet.unanswered_starts.has_runner(self.id)
        )

    async def _pause_idle(self) -> None:
        """Wait until the next request to an idle runner is due, or until a start is sent to it."""
        self._wake = anyio.Event()
        self._is_pausing = True
        try:
            with anyio.move_on_after(_timing.IDLE_REPORT_PERIOD_MS / 1000):
                await self._wake.wait()
        finally:
            self._is_pausing = False
        if self._clock_sample is None:
            # The connection was closed, as in a failed request. A runner that closes each of them
            # isn't asked without a pause.
            await anyio.sleep(_timing.REPORT_BACKOFF_MS / 1000)

    async def _wait_until_recorded(self) -> None:
        """Wait until the runner's ends can be acknowledged, as it lists them until then.

        A request after each change that is committed meanwhile would show the same ends again.
        """
        began_ms = self._clock.now_ms()
        deadline_ms = began_ms + _timing.REPORT_WAIT_MS / 2
        while (
            self._cell.fleet.has_unrecorded_ends(self.id)
            and (remaining_ms := deadline_ms - self._clock.now_ms()) > 0
        ):
            await self._commits.wait_commit(remaining_ms)
            if self._clock.now_ms() - began_ms >= _timing.UNRECORDED_ENDS_WAIT_MS:
                break

    def _choose_wait_ms(self) -> int:
        """Return how long the runner may wait for a run to end before it reports."""
        is_contacting = self._is_contacting()
        longest_ms = _timing.CONTACT_REPORT_WAIT_MS if is_contacting else _timing.REPORT_WAIT_MS
        return round(self._cell.choose_report_wait_ms(self.id, self._clock.now_ms(), longest_ms))

    def _find_acknowledged_end(self) -> int:
        """Return the number up to which the next request acknowledges ends; 0 for none.

        The numbers start anew with a restart, which a failed call may hide. A request may also be
        carried out late by a later incarnation, so only one that has ends to acknowledge does so.
        """
        may_acknowledge = self._cell.fleet.may_acknowledge_ends(self._clock.now_ms())
        is_adopted = self._cell.fleet.runners[self.id].adopted
        if not (self._is_reachable and self._lists_ends and may_acknowledge and is_adopted):
            return 0
        return self._cell.fleet.get_last_durable_end(self.id)

    async def _handle_failure(self, error: object, token: int) -> None:
        if error is StartOutcome.FENCED:
            self._handle_fence(token)
        if error is StartOutcome.REPLACED:
            self._cell.handle_replaced_runner(self.id, self.address, self._clock.now_ms())
            self._on_change()
        if self._is_reachable:
            log_event(
                "runner unreachable",
                runner=self.id,
                reason=repr(error),
                **self._describe_leases(),
            )
        self._is_reachable = False
        # The runner may have restarted since, with another clock.
        self._clock_sample = None
        await anyio.sleep(_timing.REPORT_BACKOFF_MS / 1000)

    def _handle_fence(self, token: int) -> None:
        """Report a later owner, unless a call of this owner with a higher token came first."""
        if token == self._get_token():
            self._on_fenced(self.id)

    def _describe_leases(self) -> dict[str, object]:
        """Return log fields about the last deadline sent and the assumed expiry of the leases."""
        runner = self._cell.fleet.runners.get(self.id)
        if runner is None:
            return {}
        return {
            "born": runner.started_unix_ms,
            "generation": self._cell.generation,
            "deadline_ms": runner.deadline_ms,
            "deadline_age_ms": self._clock.now_ms() - runner.deadline_sent_ms,
            "lease_expiry_ms": runner.lease_expiry_ms,
        }

    def _apply_report(self, report: RunnerReport) -> None:
        self._cell.apply_report(self.id, report, self._clock.now_ms())
        self._detect_restart()
        if report.started_unix_ms == self._started_unix_ms:
            self._clock_sample = (report.clock_ms, report.received_ms)
        self._on_change()

    async def _send_start(self, command: StartRun) -> None:
        self._detect_restart()
        runner = self._cell.fleet.runners.get(self.id)
        runner_now_ms = self._estimate_runner_now_ms()
        now_ms = self._clock.now_ms
        if (
            runner_now_ms is None
            or (runner is not None and not runner.adopted)
            or not self._cell.is_ownership_proven(now_ms())
        ):
            self._pending_starts.discard(command.run)
            self._cell.handle_start_response(self.id, command.run, StartOutcome.WITHHELD, now_ms())
            return
        valid_ms = self._settings.start_valid_ms
        deadline_ms = runner_now_ms + valid_ms
        log_fields = self._describe_start(command, deadline_ms)
        call_number = self._record_call(valid_ms)
        token = self._client.token = self._get_token()
        reported_ms, _ = self._clock_sample
        started_unix_ms = self._started_unix_ms
        outcome = None
        try:
            outcome, clock_ms = await self._client.start(
                command, deadline_ms=deadline_ms, timeout_ms=_timing.RUNNER_TIMEOUT_MS
            )
            if clock_ms is not None and clock_ms < reported_ms:
                self._record_reset_clock(started_unix_ms)
        finally:
            log_event(
                "start command outcome",
                **log_fields,
                lease_expiry_ms=self._lease_expiry.lease_expiry_ms,
                outcome="cancelled" if outcome is None else outcome.value,
            )
            # A cancelled call has no response either.
            outcome = outcome or StartOutcome.UNKNOWN
            self._settle_call(
                call_number,
                applied=outcome not in (StartOutcome.REFUSED, StartOutcome.FENCED),
                answered=outcome is not StartOutcome.UNKNOWN,
            )
            self._pending_starts.discard(command.run)
            self._cell.handle_start_response(self.id, command.run, outcome, now_ms())
        if outcome is StartOutcome.FENCED:
            self._handle_fence(token)
        if outcome is not StartOutcome.STARTED:
            self._on_change()

    def _record_reset_clock(self, started_unix_ms: int) -> None:
        """Record that a response came from a later incarnation than the last report before it."""
        runner = self._cell.fleet.runners.get(self.id)
        if runner is not None and runner.started_unix_ms == started_unix_ms:
            self._clock_sample = None
            self._lease_expiry.record_restart(self._clock.now_ms())
            self._cell.fleet.set_lease_expiry(self.id, self._lease_expiry.lease_expiry_ms)
            self._cell.fleet.suspect_restart(runner)
            self._on_change()

    def _describe_start(self, command: StartRun, deadline_ms: float) -> dict[str, object]:
        """Return log fields about a start command that is about to be sent."""
        runner = self._cell.fleet.runners.get(self.id)
        now_ms = self._clock.now_ms()
        _, sample_ms = self._clock_sample
        return {
            "run": str(command.run),
            "runner": self.id,
            "born": runner.started_unix_ms if runner is not None else 0,
            "generation": self._cell.generation,
            "deadline_ms": int(deadline_ms),
            "sample_age_ms": now_ms - sample_ms,
            "sample_born": self._started_unix_ms,
            "sent_ms": now_ms,
        }

    async def _send_stop(self, command: StopRun) -> None:
        sent_ms = self._clock.now_ms()
        self._client.token = self._get_token()
        if await self._client.stop(command, timeout_ms=_timing.RUNNER_TIMEOUT_MS):
            self._cell.handle_stop_response(
                self.id, command.run, self._clock.now_ms(), sent_ms=sent_ms
            )

    async def _send_pace(self, command: PaceRun) -> None:
        self._client.token = self._get_token()
        if not await self._client.set_pace(command, timeout_ms=_timing.RUNNER_TIMEOUT_MS):
            self._cell.handle_pace_failure(self.id, command.run)


def _name_cause(has_pending_ends: bool, is_short: bool, is_idle: bool) -> str:
    """Return what a report is requested for."""
    if has_pending_ends:
        # A runner lists ended runs that can't be acknowledged yet.
        return "unrecorded"
    if is_short:
        # The clock of the runner isn't known, or whether it has accepted the owner.
        return "contact"
    return "idle" if is_idle else "working"


def _may_be_accepted(result: Result[RunnerReport, object]) -> bool:
    """Return whether the runner may have accepted the deadline of a report request."""
    if not isinstance(result, Failure):
        return True
    error = result.failure()
    return not isinstance(error, NotSent | StartOutcome)
