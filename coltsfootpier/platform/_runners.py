"""Runners: their entries in the registry, and the calls that order and question them."""

from __future__ import annotations

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
from coltsfootpier.platform._messages import Item
from coltsfootpier.platform._wire import BASE_PATH, load_object
from coltsfootpier.transport import (
    BadReply,
    CallError,
    LeanConnection,
    LeanPool,
    NotSent,
    Reply,
    split_address,
)

REGISTRY_PREFIX = "servers/"
# Orders at once to one runner. Its answer takes two network delays, so two connections carry
# over 100 orders a second to a runner in another zone.
_ORDER_CONNECTIONS = 2
_REASONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD,
    "late": StartOutcome.LATE,
    "room": StartOutcome.ROOM,
    "ticket": StartOutcome.TICKET,
}
_STATES = frozenset({"ready", "draining"})


def decode_entry(item: Item) -> RunnerEntry | None:
    """Return the runner that an item of the registry describes, or None for a foreign item.

    Other writers may leave items with missing fields or bytes that can't be read; they name no
    runner to use.
    """
    try:
        value = orjson.loads(item.value)
        capacity = value["capacity"]
        labels = tuple(value["labels"])
        address = value["address"]
        split_address(address)
        if value["state"] not in _STATES or not isinstance(value["service"], str):
            return None
        draining = value["state"] == "draining"
        return RunnerEntry(
            id=item.key.removeprefix(REGISTRY_PREFIX),
            service=value["service"],
            address=address,
            availability_zone=str(value["zone"]),
            draining=draining,
            # Least time that is left; given while the runner drains.
            remaining_ms=float(value.get("remaining_ms", 0.0)) if draining else float("inf"),
            cold_left_ms=float(value.get("cold_left_ms", 0.0)),
            cpu_milli=int(capacity["cpu"]),
            memory_mb=int(capacity["mem_mb"]),
            gpus=int(capacity.get("gpu", 0)),
            # The labels are the runner's kind and then its rack.
            rack=str(labels[1]) if len(labels) > 1 else "",
            labels=tuple(str(label) for label in labels),
            started_unix_ms=int(value.get("born", 0)),
        )
    except (ArithmeticError, AttributeError, IndexError, KeyError, TypeError, ValueError):
        return None


def format_task(job_id: str, key: TaskKey) -> str:
    """Return the platform's name of a task."""
    return f"{job_id}.{key.occurrence}.{key.step}.{key.index}"


def parse_task(name: str) -> tuple[str, TaskKey]:
    """Return the job and the key that the platform's name of a task stands for."""
    job_id, occurrence, step, index = name.split(".")
    return job_id, TaskKey(int(occurrence), int(step), int(index))


class RunnerClient:
    """Calls of one runner.

    Parameters
    ----------
    entry : RunnerEntry
        The runner.
    token : int
        Fencing token of the owner that gives the orders.
    clock : Clock
        Time source.
    """

    def __init__(self, *, entry: RunnerEntry, token: int, clock: Clock) -> None:
        host, port = split_address(entry.address)
        self.address = entry.address
        self._clock = clock
        self._token = token
        self._headers = (("expect-instance", entry.id),)
        self._orders = LeanPool(host=host, port=port, clock=clock, connections=_ORDER_CONNECTIONS)
        self._reports = LeanConnection(host=host, port=port)

    async def start(
        self, order: StartRun, *, deadline_ms: float, timeout_ms: float
    ) -> tuple[StartOutcome, float | None]:
        """Order a start.

        Parameters
        ----------
        order : StartRun
            What to start.
        deadline_ms : float
            Time on the runner's clock after which it no longer starts the run.
        timeout_ms : float
            Time allowed for the answer.

        Returns
        -------
        outcome : StartOutcome
            What became of the order.
        clock_ms : float or None
            The runner's clock when it answered.
        """
        body = {
            "task": format_task(order.run.job_id, order.run.key),
            "attempt": order.run.attempt,
            "spec": order.payload,
            "deadline_ms": int(deadline_ms),
            "fencing_token": self._token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        sent = await self._order("run-start", body, timeout_ms)
        if isinstance(sent, Failure):
            refused = isinstance(sent.failure(), NotSent)
            return (StartOutcome.REFUSED if refused else StartOutcome.UNKNOWN), None
        reply = sent.unwrap()
        value = load_object(reply)
        clock_ms = value.get("clock_ms")
        if reply.status == 200:
            return StartOutcome.STARTED, clock_ms
        if reply.status == 409:
            return _REASONS.get(value.get("reason"), StartOutcome.REFUSED), clock_ms
        if reply.status in (400, 421, 429, 503):
            return StartOutcome.REFUSED, clock_ms
        return StartOutcome.UNKNOWN, clock_ms

    async def stop(self, order: StopRun, *, timeout_ms: float) -> bool:
        """Order a stop; returns whether the runner has answered that it stopped or barred it."""
        body = {
            "task": format_task(order.run.job_id, order.run.key),
            "attempt": order.run.attempt,
            "fencing_token": self._token,
        }
        sent = await self._order("run-stop", body, timeout_ms)
        return isinstance(sent, Success) and sent.unwrap().status == 200

    async def pace(self, order: PaceRun, *, timeout_ms: float) -> bool:
        """Order a pace; returns whether the runner has confirmed it."""
        body = {
            "task": format_task(order.run.job_id, order.run.key),
            "attempt": order.run.attempt,
            "percent": order.percent,
            "fencing_token": self._token,
        }
        sent = await self._order("pace", body, timeout_ms)
        return isinstance(sent, Success) and sent.unwrap().status == 200

    async def report(
        self, *, deadline_ms: float | None, observed: int, wait_ms: int, timeout_ms: float
    ) -> Result[RunnerReport, CallError | StartOutcome]:
        """Extend what runs on the runner and read its lists.

        Parameters
        ----------
        deadline_ms : float, optional
            New end of the lease on the runner's clock.
        observed : int
            Number of the last end that the runner may forget.
        wait_ms : int
            Time to wait for an end.
        timeout_ms : float
            Time allowed beyond `wait_ms`.

        Returns
        -------
        Result of RunnerReport or failure
            `StartOutcome.FENCED` when a later owner has spoken to the runner.
        """
        body: dict[str, Any] = {"fencing_token": self._token, "observed": observed}
        if deadline_ms is not None:
            body["deadline_ms"] = int(deadline_ms)
        if wait_ms:
            body["wait_ms"] = wait_ms
        sent_ms = self._clock.now_ms()
        sent = await self._reports.exchange(
            "POST",
            f"{BASE_PATH}/hold",
            headers=self._headers,
            body=orjson.dumps(body),
            timeout_ms=wait_ms + timeout_ms,
        )
        if isinstance(sent, Failure):
            return sent
        reply = sent.unwrap()
        value = load_object(reply)
        if reply.status == 409 and value.get("reason") == "fence":
            return Failure(StartOutcome.FENCED)
        if reply.status != 200:
            return Failure(StartOutcome.REFUSED)
        try:
            return Success(_decode_report(value, sent_ms, self._clock.now_ms()))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return Failure(BadReply(f"not a report of a runner: {error!r}", reply.status))

    async def _order(
        self, call: str, body: dict[str, Any], timeout_ms: float
    ) -> Result[Reply, CallError]:
        return await self._orders.exchange(
            "POST",
            f"{BASE_PATH}/{call}",
            headers=self._headers,
            body=orjson.dumps(body),
            timeout_ms=timeout_ms,
        )

    def close(self) -> None:
        """Close the connections."""
        self._orders.close()
        self._reports.close()


class AdviceClient:
    """Calls of the service that approves the runners of a step.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    clock : Clock
        Time source.
    """

    def __init__(self, *, host: str, port: int, clock: Clock) -> None:
        # The service handles one call of a VM at a time, in turn.
        self._pool = LeanPool(host=host, port=port, clock=clock, connections=2)

    async def ask(
        self, question: AdviceRequest, *, timeout_ms: float
    ) -> Result[tuple[dict[str, str], float], CallError]:
        """Return the tickets of the approved runners and the time in ms for which they hold."""
        body = {
            "step": ".".join(map(str, question.step_id)),
            "workers": list(question.runner_ids),
        }
        sent = await self._pool.exchange(
            "POST", f"{BASE_PATH}/advise", body=orjson.dumps(body), timeout_ms=timeout_ms
        )
        if isinstance(sent, Failure):
            return sent
        reply = sent.unwrap()
        value = load_object(reply)
        try:
            if reply.status != 200:
                return Failure(BadReply(f"status {reply.status}", reply.status))
            return Success((dict(value["approved"]), float(value["valid_ms"])))
        except (KeyError, TypeError, ValueError) as error:
            return Failure(BadReply(f"not an answer about runners: {error!r}", reply.status))


def _decode_report(value: dict[str, Any], sent_ms: float, received_ms: float) -> RunnerReport:
    running = []
    for name, attempt, saved, percent, *measured in value["running"]:
        job_id, key = parse_task(name)
        # The fifth entry is a tail latency in ms or cores in use, by the kind of task.
        rough = float(measured[0]) if measured and measured[0] is not None else 0.0
        running.append(RunningRow(RunId(job_id, key, attempt), saved, float(percent), rough))
    ended = []
    for number, name, attempt, how, saved in value["ended"]:
        job_id, key = parse_task(name)
        ended.append(EndedRow(number, RunId(job_id, key, attempt), EndKind(how), saved))
    return RunnerReport(
        clock_ms=float(value["clock_ms"]),
        started_unix_ms=int(value.get("born", 0)),
        running=tuple(running),
        ended=tuple(ended),
        sent_ms=sent_ms,
        received_ms=received_ms,
    )
