"""Runners: entries of the registry, and clients for commands and reports."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.cells import (
    AdviceRequest,
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
from coltsfootpier.clock import Clock
from coltsfootpier.jobs import TaskKey
from coltsfootpier.platform._fields import (
    MAX_INTEGER,
    MAX_NAME_BYTES,
    MAX_TIME_MS,
    InvalidFieldError,
    describe,
    read_int,
    read_list,
    read_number,
    read_object,
    read_text,
    require_int,
    require_list,
    require_number,
    require_object,
    require_text,
)
from coltsfootpier.platform._messages import Item
from coltsfootpier.platform._wire import BASE_PATH, load_object, read_reason
from coltsfootpier.transport import (
    BadReply,
    CallError,
    HttptoolsConnection,
    HttptoolsPool,
    NotSent,
    Reply,
    is_ip_address,
    split_address,
)

# Prefix of the store keys of registry entries.
REGISTRY_PREFIX = "servers/"
# Concurrent commands to one runner. A response takes two network delays, so two connections carry
# over 100 commands per second to a runner in another availability zone.
_COMMAND_CONNECTIONS = 2
_OUTCOME_BY_REASON = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD,
    "late": StartOutcome.LATE,
    "room": StartOutcome.ROOM,
    "ticket": StartOutcome.TICKET,
}
# Identifiers are sent in a header.
_RUNNER_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_BYTES}}}")
_MAX_LABELS = 64
# Maximum of each capacity: thousandths of a core, MB or GPUs in a signed integer of 32 bits.
_MAX_CAPACITY = 2**31 - 1
# A job's identifier and the numbers of the occurrence, step and task.
_TASK_NAME = re.compile(r"([0-9a-f]{1,64})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")
# Numbers of fields in rows of a report; a running row may have more.
_RUNNING_FIELDS = 4
_ENDED_FIELDS = 5
# Ended runs that a runner lists at a time.
_MAX_LISTED_ENDS = 500
_MAX_CHECKPOINT_BYTES = 65_536
_MAX_PERCENT = 100
# Fields of a row of approved runners: the runner and its ticket.
_TICKET_FIELDS = 2
_MAX_TICKET_BYTES = 4_096
_END_KINDS = {kind.value: kind for kind in EndKind}
_USABLE_STATES = frozenset({"ready", "draining"})


def decode_runner_entry(item: Item) -> Result[RunnerEntry, str]:
    """Decode an entry of the registry.

    Other writers may store entries with missing fields, values out of bounds or undecodable bytes.
    Such an entry names no runner to use.

    Returns
    -------
    Result of RunnerEntry or str
        A failure describes the first invalid field, in a text of bounded length.
    """
    try:
        value = orjson.loads(item.value)
    except (TypeError, ValueError):
        return Failure("the entry isn't JSON")
    try:
        return Success(_decode_entry(item.key.removeprefix(REGISTRY_PREFIX), value))
    except InvalidFieldError as error:
        return Failure(str(error))


def _decode_entry(runner_id: str, value: Any) -> RunnerEntry:
    fields = require_object("the entry", value)
    if not _RUNNER_ID.fullmatch(runner_id):
        raise InvalidFieldError(f"the id is {describe(runner_id)}, allowed: visible ASCII")
    state = read_text(fields, "state")
    if state not in _USABLE_STATES:
        raise InvalidFieldError(f"state is {describe(state)}, allowed: ready or draining")
    address = read_text(fields, "address")
    if not is_ip_address(address):
        raise InvalidFieldError(f"address is {describe(address)}, allowed: IP:PORT")
    labels = read_list(fields, "labels")
    if len(labels) > _MAX_LABELS:
        raise InvalidFieldError(f"{len(labels)} labels, allowed: up to {_MAX_LABELS}")
    labels = tuple(require_text("a label", label) for label in labels)
    capacity = read_object(fields, "capacity")
    is_draining = state == "draining"
    # Minimum time until the runner leaves; present only while it drains.
    remaining_ms = read_number(fields, "remaining_ms", default=0)
    return RunnerEntry(
        id=runner_id,
        service=read_text(fields, "service"),
        address=address,
        availability_zone=read_text(fields, "zone"),
        draining=is_draining,
        remaining_ms=remaining_ms if is_draining else float("inf"),
        cold_left_ms=read_number(fields, "cold_left_ms", default=0),
        cpu_milli=read_int(capacity, "cpu", high=_MAX_CAPACITY),
        memory_mb=read_int(capacity, "mem_mb", high=_MAX_CAPACITY),
        gpus=read_int(capacity, "gpu", high=_MAX_CAPACITY, default=0),
        # The first label is the kind of the runner, the second one its rack.
        rack=labels[1] if len(labels) > 1 else "",
        labels=labels,
        started_unix_ms=read_int(fields, "born", high=MAX_TIME_MS, default=0),
    )


def format_task(job_id: str, key: TaskKey) -> str:
    """Return the name of a task in the platform's format."""
    return f"{job_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task(name: Any) -> tuple[str, TaskKey]:
    """Return the job and the key from a task name in the platform's format.

    Raises
    ------
    InvalidFieldError
        If it isn't such a name.
    """
    match = _TASK_NAME.fullmatch(name) if isinstance(name, str) else None
    if match is None:
        raise InvalidFieldError(f"task is {describe(name)}, allowed: ID.K.STEP.INDEX")
    job_id, occurrence, step, index = match.groups()
    return job_id, TaskKey(int(occurrence), int(step), int(index))


class RunnerClient:
    """Client of one runner.

    Parameters
    ----------
    entry : RunnerEntry
        Registry entry of the runner.
    token : int
        Fencing token of the calls.
    clock : Clock
        Time source.

    Attributes
    ----------
    token : int
        Fencing token of the following calls.
    on_disconnected : callable
        Called when the runner closes the connection for reports.
    """

    def __init__(self, *, entry: RunnerEntry, token: int, clock: Clock) -> None:
        host, port = split_address(entry.address)
        self.address = entry.address
        self.token = token
        self._clock = clock
        self._headers = (("expect-instance", entry.id),)
        self._command_pool = HttptoolsPool(
            host=host, port=port, clock=clock, connections=_COMMAND_CONNECTIONS
        )
        self._report_connection = HttptoolsConnection(
            host=host, port=port, on_closed=lambda: self.on_disconnected()
        )
        self.on_disconnected: Callable[[], None] = lambda: None
        # Identifiers of the runs that the last report listed as present, by name and attempt. Most
        # of them are in the next one, too.
        self._run_ids: dict[tuple[str, int], RunId] = {}

    async def start(
        self, command: StartRun, *, deadline_ms: float, timeout_ms: float
    ) -> tuple[StartOutcome, float | None]:
        """Send a start command.

        Parameters
        ----------
        command : StartRun
            Run to start.
        deadline_ms : float
            Time on the runner's clock after which the runner rejects the command.
        timeout_ms : float
            Time allowed for the response.

        Returns
        -------
        outcome : StartOutcome
            Outcome of the command.
        clock_ms : float or None
            Time on the runner's clock when it responded; None if the response doesn't tell it.
        """
        body = {
            "task": format_task(command.run.job_id, command.run.key),
            "attempt": command.run.attempt,
            "spec": command.payload,
            "deadline_ms": int(deadline_ms),
            "fencing_token": self.token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        result = await self._send_command("run-start", body, timeout_ms)
        if isinstance(result, Failure):
            is_unsent = isinstance(result.failure(), NotSent)
            return (StartOutcome.REFUSED if is_unsent else StartOutcome.UNKNOWN), None
        reply = result.unwrap()
        value = load_object(reply)
        clock_ms = _read_clock_ms(value)
        if reply.status == 200:
            return StartOutcome.STARTED, clock_ms
        if reply.status == 409:
            return _OUTCOME_BY_REASON.get(read_reason(reply), StartOutcome.REFUSED), clock_ms
        if reply.status in (400, 421, 429, 503):
            return StartOutcome.REFUSED, clock_ms
        return StartOutcome.UNKNOWN, clock_ms

    async def stop(self, command: StopRun, *, timeout_ms: float) -> bool:
        """Send a stop command; return whether the runner confirmed that the run can't go on.

        The runner confirms when it has stopped the run, or has barred its later start.
        """
        body = {
            "task": format_task(command.run.job_id, command.run.key),
            "attempt": command.run.attempt,
            "fencing_token": self.token,
        }
        result = await self._send_command("run-stop", body, timeout_ms)
        return isinstance(result, Success) and result.unwrap().status == 200

    async def set_pace(self, command: PaceRun, *, timeout_ms: float) -> bool:
        """Limit a run to a percentage of its speed; return whether the runner confirmed it."""
        body = {
            "task": format_task(command.run.job_id, command.run.key),
            "attempt": command.run.attempt,
            "percent": command.percent,
            "fencing_token": self.token,
        }
        result = await self._send_command("pace", body, timeout_ms)
        return isinstance(result, Success) and result.unwrap().status == 200

    async def poll_report(
        self, *, deadline_ms: float | None, observed: int, wait_ms: int, timeout_ms: float
    ) -> Result[RunnerReport, CallError | StartOutcome]:
        """Extend the leases of the runs on the runner, and read its running and ended runs.

        Parameters
        ----------
        deadline_ms : float, optional
            New end of the lease on the runner's clock; the lease is not extended without it.
        observed : int
            Number up to which ended runs are acknowledged, so that the runner may discard them.
        wait_ms : int
            Time for which the runner waits for a run to end.
        timeout_ms : float
            Time allowed beyond `wait_ms`.

        Returns
        -------
        Result of RunnerReport or failure
            `StartOutcome.FENCED` when a later owner has sent commands to the runner, and
            `StartOutcome.REPLACED` when another runner responded.
        """
        body: dict[str, Any] = {"fencing_token": self.token, "observed": observed}
        if deadline_ms is not None:
            body["deadline_ms"] = int(deadline_ms)
        if wait_ms:
            body["wait_ms"] = wait_ms
        sent_ms = self._clock.now_ms()
        result = await self._report_connection.exchange(
            "POST",
            f"{BASE_PATH}/hold",
            headers=self._headers,
            body=orjson.dumps(body),
            timeout_ms=wait_ms + timeout_ms,
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        value = load_object(reply)
        if reply.status == 409 and read_reason(reply) == "fence":
            return Failure(StartOutcome.FENCED)
        if reply.status == 421:
            return Failure(StartOutcome.REPLACED)
        if reply.status != 200:
            return Failure(StartOutcome.REFUSED)
        try:
            report = _decode_report(value, sent_ms, self._clock.now_ms(), self._run_ids)
        except InvalidFieldError as error:
            return Failure(BadReply(f"malformed report of a runner: {error}", reply.status))
        self._run_ids = {
            (row[0], row[1]): decoded.run
            for row, decoded in zip(value["running"], report.running, strict=True)
        }
        return Success(report)

    async def _send_command(
        self, command_name: str, body: dict[str, Any], timeout_ms: float
    ) -> Result[Reply, CallError]:
        return await self._command_pool.exchange(
            "POST",
            f"{BASE_PATH}/{command_name}",
            headers=self._headers,
            body=orjson.dumps(body),
            timeout_ms=timeout_ms,
        )

    def close(self) -> None:
        """Close the connections."""
        self._command_pool.close()
        self._report_connection.close()


class AdviceClient:
    """Client of the service that approves runners for a step.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    """

    def __init__(self, *, host: str, port: int, clock: Clock) -> None:
        # The service handles the calls of one entry VM one at a time.
        self._pool = HttptoolsPool(host=host, port=port, clock=clock, connections=2)

    async def request_tickets(
        self, query: AdviceRequest, *, timeout_ms: float
    ) -> Result[tuple[dict[str, str], float], CallError]:
        """Request tickets for runners.

        Returns
        -------
        Result of (dict of str to str, float) or CallError
            Tickets of the approved runners by runner, and the time in ms for which they are valid.
        """
        body = {
            "step": ".".join(map(str, query.step_id)),
            "workers": list(query.runner_ids),
        }
        result = await self._pool.exchange(
            "POST", f"{BASE_PATH}/advise", body=orjson.dumps(body), timeout_ms=timeout_ms
        )
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        value = load_object(reply)
        try:
            if reply.status != 200:
                return Failure(BadReply(f"unexpected status {reply.status}", reply.status))
            tickets = dict(map(_decode_ticket, read_list(value, "approved")))
            return Success((tickets, read_number(value, "valid_ms")))
        except InvalidFieldError as error:
            return Failure(
                BadReply(f"malformed response of the advice service: {error}", reply.status)
            )


def _decode_ticket(row: Any) -> tuple[str, str]:
    if len(require_list("a row of approved", row)) != _TICKET_FIELDS:
        raise InvalidFieldError(f"a row of approved has {len(row)} fields")
    runner_id, ticket = row
    return require_text("a runner", runner_id), require_text("a ticket", ticket, _MAX_TICKET_BYTES)


def _read_clock_ms(value: dict[str, Any]) -> float | None:
    """Return the runner's clock in the response to a command; None if it is missing or invalid."""
    try:
        return read_number(value, "clock_ms")
    except InvalidFieldError:
        return None


def _decode_report(
    value: dict[str, Any],
    sent_ms: float,
    received_ms: float,
    run_ids: Mapping[tuple[str, int], RunId] = MappingProxyType({}),
) -> RunnerReport:
    ended = tuple(map(_decode_ended_row, read_list(value, "ended")))
    return RunnerReport(
        clock_ms=read_number(value, "clock_ms"),
        started_unix_ms=read_int(value, "born", high=MAX_TIME_MS, default=0),
        running=tuple(_decode_running_row(row, run_ids) for row in read_list(value, "running")),
        ended=ended,
        is_complete=len(ended) < _MAX_LISTED_ENDS,
        sent_ms=sent_ms,
        received_ms=received_ms,
    )


def _decode_running_row(row: Any, run_ids: Mapping[tuple[str, int], RunId]) -> RunningRow:
    if len(require_list("a running row", row)) < _RUNNING_FIELDS:
        raise InvalidFieldError(f"a running row has {len(row)} fields")
    name, attempt, checkpoint, percent, *measured = row
    # The fifth field is a tail latency in ms for a serving task, and CPU in thousandths of a core
    # for any other.
    measurement = 0.0
    if measured and measured[0] is not None:
        measurement = require_number("the measurement", measured[0], 0, MAX_TIME_MS)
    is_hashable = type(name) is str and type(attempt) is int
    run_id = run_ids.get((name, attempt)) if is_hashable else None
    return RunningRow(
        run_id or _decode_run(name, attempt),
        require_text("the checkpoint", checkpoint, _MAX_CHECKPOINT_BYTES),
        require_number("the progress", percent, 0, _MAX_PERCENT),
        measurement,
    )


def _decode_ended_row(row: Any) -> EndedRow:
    if len(require_list("an ended row", row)) != _ENDED_FIELDS:
        raise InvalidFieldError(f"an ended row has {len(row)} fields, allowed: {_ENDED_FIELDS}")
    number, name, attempt, outcome, checkpoint = row
    kind = _END_KINDS.get(require_text("the outcome", outcome))
    if kind is None:
        raise InvalidFieldError(f"the outcome is {describe(outcome)}")
    return EndedRow(
        require_int("the number of an end", number, 1, MAX_INTEGER),
        _decode_run(name, attempt),
        kind,
        require_text("the checkpoint", checkpoint, _MAX_CHECKPOINT_BYTES),
    )


def _decode_run(name: Any, attempt: Any) -> RunId:
    job_id, key = parse_task(name)
    return RunId(job_id, key, require_int("the attempt", attempt, 1, MAX_INTEGER))
