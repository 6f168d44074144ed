"""Simulated runners, network and store for owners of a cell on a virtual clock.

The runners follow the protocol of the platform and record which runs they had at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import attrs
import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.platform import (
    REGISTRY_PREFIX,
    ConditionFailed,
    Events,
    Item,
    LeaseLost,
    PlatformError,
    RunnerClient,
    StoreLease,
    StoreUnavailable,
    StoreUnknown,
    Write,
)
from coltsfootpier.transport import CallError, NotSent, Reply, Unanswered
from soak._loop import Host, VirtualLoop

MAX_RUN_LEASE_MS = 10_000.0
STOP_GRACE_MS = 200.0
RUNNER_CPU_MILLI = 4_000
_STORE_DELAY_S = (0.002, 0.006)
_STORE_TIMEOUT_S = 1.0
# Time between two looks of a watch for changes.
_WATCH_CHECK_S = 0.02
_UNIX_OFFSET_MS = 1_700_000_000_000
# Share of the starts of a runner whose VM's wall clock is set back, and the most by which it is.
_CLOCK_SET_BACK_SHARE = 0.3
_MAX_CLOCK_SET_BACK_MS = 600_000.0
# Time after the acknowledgement of an end `done` in which a run of a speculative task may start.
_LATE_COPY_MS = 1_000.0
# In the history, separates the sender of a call from the earlier incarnation that it was sent to.
EARLIER_MARK = "-for-"


@attrs.define(eq=False)
class PresentRun:
    """Run that is present on a runner."""

    task: str
    attempt: int
    runner: SimulatedRunner
    is_stopping: bool = False
    start_ms: float = 0.0
    duration_ms: float = float("inf")


@attrs.define(eq=False)
class CountedEnd:
    """End of a run that is done or has failed, and whether an owner has acknowledged it."""

    number: int
    task: str
    outcome: str
    time_ms: float
    lease_epoch: int
    noted_ms: float = float("inf")

    @property
    def is_noted(self) -> bool:
        """Whether an owner has acknowledged it."""
        return self.noted_ms < float("inf")


@attrs.frozen(kw_only=True)
class SpeculativeRules:
    """Rules for the tasks of a speculative step.

    Parameters
    ----------
    max_runs : int
        Number of runs of a task that may exist at once.
    max_attempts : int
        Number of failed runs after which a task isn't started again.
    """

    max_runs: int
    max_attempts: int


class TaskHistory:
    """Runs of all tasks as their runners saw them, with a check of rule TWICE.

    Attributes
    ----------
    speculative : dict of str to SpeculativeRules
        Rules for the tasks of speculative jobs, by the job's identifier.
    violations : list of str
        Violations so far.
    events : list of (float, str)
        True time in ms and description of each event.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.violations: list[str] = []
        self.events: list[tuple[float, str]] = []
        self.start_count = 0
        self.first_violated_task = ""
        self.speculative: dict[str, SpeculativeRules] = {}
        # Further checks of each start: they return the violation by a run and the sender of its
        # start command, or an empty text.
        self.start_checks: list[Callable[[PresentRun, str], str]] = []
        self._present: dict[str, list[PresentRun]] = {}
        self._last_start_ms: dict[str, float] = {}
        self._counted: dict[str, list[CountedEnd]] = {}

    @property
    def now_ms(self) -> float:
        """True time in ms."""
        return self._loop.true_s * 1000

    def add(self, event: str, **fields: object) -> None:
        """Add an event."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.events.append((self.now_ms, f"{event} {text}"))

    def record_start(self, run: PresentRun, sender: str) -> None:
        """Record the start of a run and check that no other one is present."""
        self.start_count += 1
        present = self._present.setdefault(run.task, [])
        runner = run.runner
        self.add("run starts", task=run.task, attempt=run.attempt, runner=runner.label)
        rules = self._find_rules(run.task)
        if len(present) >= (1 if rules is None else rules.max_runs):
            others = ", ".join(f"#{other.attempt} on {other.runner.label}" for other in present)
            self._violate(run.task, f"#{run.attempt} on {runner.label} runs beside {others}")
        present.append(run)
        self._last_start_ms[run.task] = self.now_ms
        noted = [end for end in self._counted.get(run.task, ()) if end.is_noted]
        late_ms = 0.0 if rules is None else _LATE_COPY_MS
        if any(end.outcome == "done" and self.now_ms >= end.noted_ms + late_ms for end in noted):
            self._violate(run.task, f"#{run.attempt} on {runner.label} starts after a noted end")
        for find_violation in self.start_checks:
            text = find_violation(run, sender)
            if text:
                self._violate(run.task, text)
        failures = sum(end.outcome == "failed" for end in noted)
        if rules is not None and failures >= rules.max_attempts:
            self._violate(run.task, f"#{run.attempt} starts after {failures} failures")

    def is_speculative(self, task: str) -> bool:
        """Return whether a task may have copies."""
        return self._find_rules(task) is not None

    def _find_rules(self, task: str) -> SpeculativeRules | None:
        return self.speculative.get(task.partition(".")[0])

    def record_end(self, run: PresentRun, outcome: str) -> None:
        """Record the end of a run."""
        self._present[run.task].remove(run)
        self.add(
            "run ends",
            task=run.task,
            attempt=run.attempt,
            runner=run.runner.label,
            outcome=outcome,
        )

    def record_counted(self, end: CountedEnd) -> None:
        """Record a run that is done or has failed."""
        self._counted.setdefault(end.task, []).append(end)

    def record_noted(self, end: CountedEnd, runner: SimulatedRunner, sender: str) -> None:
        """Record that the end of such a run was acknowledged while its lease held."""
        end.noted_ms = self.now_ms
        self.add("end noted", task=end.task, runner=runner.label, by=sender)
        is_single = end.outcome == "done" and self._find_rules(end.task) is None
        if is_single and self._last_start_ms[end.task] > end.time_ms:
            self._violate(end.task, "a run started after an end that was noted later")

    def find_runners(self, task: str) -> list[SimulatedRunner]:
        """Return the runners on which a task runs."""
        return [run.runner for run in self._present.get(task, ())]

    def _violate(self, task: str, text: str) -> None:
        self.first_violated_task = self.first_violated_task or task
        self.violations.append(f"{self.now_ms:.0f} ms {task}: {text}")
        self.add("violation", task=task, text=text)

    def format_events(self, task: str = "") -> list[str]:
        """Return the events that concern a task or no task at all."""
        return [
            f"{time_ms:9.1f} {event}"
            for time_ms, event in self.events
            if not task or "task=" not in event or f"task={task}" in event
        ]


class SimulatedRunner:
    """Runner that follows the protocol of the platform.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop.
    rng : random.Random
        Source of durations.
    clock_rng : random.Random
        Source of changes of the VM's wall clock.
    history : TaskHistory
        Record of the runs.
    address : str
        ``IP:PORT``; stays the same when it restarts, unless it is moved.
    rate : float
        Seconds of its clock per second of true time.
    zone : str
        Its availability zone.
    get_duration_ms : callable
        Returns the true time that a run of a task takes; infinite for one that doesn't end.
    get_outcome : callable
        Returns how a run of a task ends that isn't stopped: `done` or `failed`.
    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        rng: random.Random,
        clock_rng: random.Random,
        history: TaskHistory,
        address: str,
        rate: float,
        zone: str = "zone-a",
        get_duration_ms: Callable[[str], float],
        get_outcome: Callable[[str], str] = lambda task: "done",
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._clock_rng = clock_rng
        self._history = history
        self._get_duration_ms = get_duration_ms
        self._get_outcome = get_outcome
        self.address = address
        self.rate = rate
        self.zone = zone
        self.is_up = False
        # Whether it rejects all calls.
        self.is_unhealthy = False
        self.report_count = 0
        self.id = ""
        self._incarnation = 0
        self.reset(f"w{address.rpartition(':')[2]}")

    @property
    def label(self) -> str:
        """Identifier with the number of the incarnation."""
        return f"{self.id}/{self._incarnation}"

    @property
    def clock_ms(self) -> float:
        """Time on its own clock."""
        return (self._loop.true_s * 1000 - self._boot_ms) * self.rate

    def reset(self, runner_id: str) -> None:
        """Start a new incarnation, which knows nothing of the earlier one."""
        self.id = runner_id
        self.is_up = True
        self._incarnation += 1
        self._boot_ms = self._loop.true_s * 1000 - self._rng.uniform(1.0, 60.0)
        self.born = int(_UNIX_OFFSET_MS + self._loop.true_s * 1000)
        if self._clock_rng.random() < _CLOCK_SET_BACK_SHARE:
            self.born -= int(self._clock_rng.uniform(1.0, _MAX_CLOCK_SET_BACK_MS))
        self.token = 0
        self.lease_end_ms = 0.0
        self._lease_epoch = 0
        self._last_end = 0
        self.runs: dict[tuple[str, int], PresentRun] = {}
        self._ended: list[tuple[int, str, int, str]] = []
        self._counted: list[CountedEnd] = []
        self._barred: dict[str, int] = {}
        self._end_waiters: list[asyncio.Future] = []
        self._history.add("runner up", runner=self.label)

    def crash(self) -> None:
        """End everything that runs here at once."""
        self.is_up = False
        self._history.add("runner crashed", runner=self.label)
        for run in list(self.runs.values()):
            del self.runs[run.task, run.attempt]
            self._history.record_end(run, "crash")

    def build_entry(self) -> bytes:
        """Return its registry entry."""
        return orjson.dumps(
            {
                "service": "web",
                "address": self.address,
                "zone": self.zone,
                "state": "ready",
                "born": self.born,
                "labels": ["kind", "r1"],
                "capacity": {"cpu": RUNNER_CPU_MILLI, "mem_mb": 8_000, "gpu": 0},
            }
        )

    async def handle(
        self, command: str, expected_id: str, body: dict[str, Any], sender: str
    ) -> tuple[int, dict[str, Any]]:
        """Carry out a call and return the status and the body of the response."""
        if expected_id != self.id:
            return 421, {"clock_ms": int(self.clock_ms)}
        if self.is_unhealthy:
            return 503, {"clock_ms": int(self.clock_ms)}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self._reject("fence")
        self.token = token
        if command == "run-start":
            return self._start(body, sender)
        if command == "run-stop":
            return self._stop(body, sender)
        return await self._hold(body, sender)

    def _reject(self, reason: str) -> tuple[int, dict[str, Any]]:
        return 409, {"clock_ms": int(self.clock_ms), "reason": reason}

    def _extend_lease(self, deadline_ms: float, sender: str) -> None:
        now_ms = self.clock_ms
        end_ms = min(deadline_ms, now_ms + MAX_RUN_LEASE_MS)
        if end_ms <= max(now_ms, self.lease_end_ms):
            return
        if self.lease_end_ms <= now_ms:
            self._lease_epoch += 1
        self.lease_end_ms = end_ms
        if self.runs or EARLIER_MARK in sender:
            self._history.add(
                "lease extended",
                runner=self.label,
                by=sender,
                duration_ms=round(end_ms - now_ms),
            )
        incarnation = self._incarnation
        # A millisecond more, so that rounding never fires the timer before the end.
        delay_s = (end_ms - now_ms) / self.rate / 1000 + 1e-6

        def end_runs() -> None:
            if incarnation == self._incarnation and self.lease_end_ms == end_ms and self.is_up:
                for run in list(self.runs.values()):
                    self._end_run(run, "lapsed")

        self._loop.call_after(delay_s, end_runs)

    def _start(self, body: dict[str, Any], sender: str) -> tuple[int, dict[str, Any]]:
        task, attempt = body["task"], body["attempt"]
        if (task, attempt) in self.runs:
            self._extend_lease(body["deadline_ms"], sender)
            return 200, {"clock_ms": int(self.clock_ms)}
        if body["deadline_ms"] <= self.clock_ms:
            return self._reject("late")
        self._extend_lease(body["deadline_ms"], sender)
        if attempt <= self._barred.get(task, 0):
            return self._reject("old")
        if len(self.runs) * 1_000 >= RUNNER_CPU_MILLI:
            return self._reject("room")
        run = self.runs[task, attempt] = PresentRun(task, attempt, self)
        lease_ms = round(self.lease_end_ms - self.clock_ms)
        self._history.add(
            "start by", task=task, runner=self.label, sender=sender, lease_ms=lease_ms
        )
        self._history.record_start(run, sender)
        run.start_ms, run.duration_ms = self._history.now_ms, self._get_duration_ms(task)
        if run.duration_ms < float("inf"):
            self._end_later(run, self._get_outcome(task), run.duration_ms)
        return 200, {"clock_ms": int(self.clock_ms)}

    def _measure_percent(self, run: PresentRun) -> int:
        """Return the progress of a run; runs that aren't speculative show none."""
        if not self._history.is_speculative(run.task):
            return 100
        return int(100 * (self._history.now_ms - run.start_ms) / run.duration_ms)

    def _end_later(self, run: PresentRun, outcome: str, delay_ms: float) -> None:
        def end() -> None:
            if self.runs.get((run.task, run.attempt)) is run and (
                run.is_stopping == (outcome == "stopped")
            ):
                self._end_run(run, outcome)

        self._loop.call_after(delay_ms / 1000, end)

    def _end_run(self, run: PresentRun, outcome: str) -> None:
        del self.runs[run.task, run.attempt]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.attempt)
        self._last_end += 1
        self._ended.append((self._last_end, run.task, run.attempt, outcome))
        self._history.record_end(run, outcome)
        if outcome in ("done", "failed"):
            now_ms = self._history.now_ms
            end = CountedEnd(self._last_end, run.task, outcome, now_ms, self._lease_epoch)
            self._counted.append(end)
            self._history.record_counted(end)
        waiters, self._end_waiters = self._end_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _stop(self, body: dict[str, Any], sender: str) -> tuple[int, dict[str, Any]]:
        task, attempt = body["task"], body["attempt"]
        self._barred[task] = max(self._barred.get(task, 0), attempt)
        self._history.add("stop", task=task, attempt=attempt, runner=self.label, by=sender)
        run = self.runs.get((task, attempt))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            self._end_later(run, "stopped", self._rng.uniform(0.0, STOP_GRACE_MS))
        return 200, {"clock_ms": int(self.clock_ms)}

    async def _hold(self, body: dict[str, Any], sender: str) -> tuple[int, dict[str, Any]]:
        self.report_count += 1
        observed = body["observed"]
        is_lapsed = self.lease_end_ms <= self.clock_ms
        for end in self._counted:
            held = end.lease_epoch == self._lease_epoch and not is_lapsed
            if end.number <= observed and held:
                self._history.record_noted(end, self, sender)
        self._counted = [end for end in self._counted if end.number > observed]
        self._ended = [row for row in self._ended if row[0] > observed]
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"], sender)
        incarnation = self._incarnation
        if body.get("wait_ms") and not self._ended:
            waiter = self._loop.create_future()
            self._end_waiters.append(waiter)
            with anyio.move_on_after(body["wait_ms"] / 1000):
                await waiter
        if incarnation != self._incarnation or not self.is_up:
            await anyio.sleep_forever()
        return 200, {
            "clock_ms": int(self.clock_ms),
            "born": self.born,
            "running": [
                [run.task, run.attempt, "", self._measure_percent(run)]
                for run in self.runs.values()
            ],
            "ended": [[*row, ""] for row in self._ended],
        }


@attrs.define
class Link:
    """Condition of the path from one owner to one runner.

    Parameters
    ----------
    is_cut : bool
        Whether nothing arrives.
    loses_responses : bool
        Whether requests arrive but no response does.
    loss : float
        Probability that a call is lost, half of them after it was carried out.
    late : float
        Probability that a call is carried out seconds later and gets no response.
    delay_ms : float
        Longest additional delay of each direction.
    late_s : tuple of float, optional
        Bounds of the time after which late calls are carried out; by default those of the network.
    """

    is_cut: bool = False
    loses_responses: bool = False
    loss: float = 0.0
    late: float = 0.0
    delay_ms: float = 0.0
    late_s: tuple[float, float] | None = None


class RunnerNetwork:
    """Paths between owners and runners.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop.
    rng : random.Random
        Source of delays and losses.
    runners : iterable of SimulatedRunner
        All runners.
    """

    def __init__(
        self, *, loop: VirtualLoop, rng: random.Random, runners: Iterable[SimulatedRunner]
    ) -> None:
        self._loop = loop
        self._rng = rng
        self.runners = list(runners)
        # Bounds of the time after which late calls are carried out.
        self.late_s = (2.0, 12.0)
        # By name of the owner's host and address of the runner.
        self.links: dict[tuple[str, str], Link] = {}

    def get_link(self, host: str, address: str) -> Link:
        """Return the condition of a path."""
        return self.links.setdefault((host, address), Link())

    def connect(self, host: Host) -> Callable[..., RunnerClient]:
        """Return a callable that creates the runner clients of an owner."""

        def create(**arguments: Any) -> RunnerClient:
            client = RunnerClient(**arguments)
            address = client.address
            client._report_connection = _SimulatedConnection(self, host, address)
            client._command_pool._free = [
                _SimulatedConnection(self, host, address) for _ in client._command_pool._free
            ]
            return client

        return create

    async def exchange(
        self,
        host: Host,
        address: str,
        command: str,
        expected_id: str,
        body: bytes,
        *,
        timeout_ms: float,
        is_open: bool,
    ) -> Result[Reply, CallError]:
        """Make one call of an owner on a connection that is open or has to be opened."""
        rng, link = self._rng, self.get_link(host.name, address)
        if link.is_cut and not is_open:
            await anyio.sleep(timeout_ms / 1000)
            return Failure(NotSent("no connection in time"))
        with anyio.move_on_after(timeout_ms / 1000):
            await anyio.sleep(rng.uniform(0.0, 0.002))
            runner = self._find_runner(address)
            if runner is None and not is_open:
                return Failure(NotSent("connection refused", unreachable=True))
            label = "" if runner is None else runner.label
            response: asyncio.Future[Reply] = self._loop.create_future()
            is_late = rng.random() < link.late
            is_lost = rng.random() < link.loss
            delay_s = rng.uniform(0.001, 0.004) + rng.uniform(0.0, link.delay_ms) / 1000
            if is_late:
                delay_s = rng.uniform(*(link.late_s or self.late_s))
            answers = not is_late and not is_lost
            arrives = is_late or not is_lost or rng.random() < 0.5

            def arrive() -> None:
                if (arrives and not link.is_cut) or is_late:
                    self._loop.start(
                        None,
                        self._carry_out(
                            host,
                            link,
                            address,
                            command,
                            expected_id,
                            body,
                            response if answers else None,
                            label,
                        ),
                    )

            self._loop.call_after(delay_s, arrive)
            return Success(await response)
        return Failure(Unanswered("overdue"))

    def _find_runner(self, address: str) -> SimulatedRunner | None:
        return next(
            (runner for runner in self.runners if runner.address == address and runner.is_up), None
        )

    async def _carry_out(
        self,
        host: Host,
        link: Link,
        address: str,
        command: str,
        expected_id: str,
        body: bytes,
        response: asyncio.Future | None,
        label: str,
    ) -> None:
        runner = self._find_runner(address)
        if runner is None:
            return
        sender = host.name
        if label != runner.label:
            sender += f"{EARLIER_MARK}{label or 'none'}"
        status, value = await runner.handle(command, expected_id, orjson.loads(body), sender)
        delay_s = self._rng.uniform(0.001, 0.004) + self._rng.uniform(0.0, link.delay_ms) / 1000

        def respond() -> None:
            if not response.done() and not (link.is_cut or link.loses_responses):
                response.set_result(Reply(status, (), orjson.dumps(value)))

        if response is not None:
            self._loop.call_after(delay_s, respond)


class _SimulatedConnection:
    """Connection of an owner to a runner, in place of `HttptoolsConnection`."""

    def __init__(self, network: RunnerNetwork, host: Host, address: str) -> None:
        self._network = network
        self._host = host
        self._address = address
        self._is_open = False

    async def exchange(
        self,
        method: str,
        target: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout_ms: float,
        is_extended: bool = False,
    ) -> Result[Reply, CallError]:
        is_open, self._is_open = self._is_open, False
        result = await self._network.exchange(
            self._host,
            self._address,
            target.rpartition("/")[2],
            dict(headers)["expect-instance"],
            body,
            timeout_ms=timeout_ms,
            is_open=is_open,
        )
        self._is_open = isinstance(result, Success)
        return result

    def close(self) -> None:
        self._is_open = False


class SimulatedStore:
    """Store with leases.

    Parameters
    ----------
    loop : VirtualLoop
        Event loop.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.items: dict[str, Item] = {}
        self.revision = 10
        self._leases: dict[int, float] = {}
        self._lease_ttl_s: dict[int, float] = {}
        self._bindings: dict[str, int] = {}
        # Revision at which each removed key was removed.
        self._removed: dict[str, int] = {}
        self.is_down = False

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key in a revision of its own."""
        self.revision += 1
        self.items[key] = Item(key, value, self.revision, self.revision)
        self._bindings[key] = lease

    def read(self, key: str) -> Item:
        """Return the item of a key."""
        self._expire()
        return self.items.get(key, Item(key))

    def list_changes(self, prefix: str, after: int) -> tuple[Item, ...]:
        """Return the keys under a prefix that were changed or removed after a revision."""
        self._expire()
        changed = [item for item in self.list(prefix) if item.changed > after]
        changed += [
            Item(key, changed=revision)
            for key, revision in self._removed.items()
            if key.startswith(prefix) and revision > after and key not in self.items
        ]
        return tuple(sorted(changed, key=lambda item: item.changed))

    def list(self, prefix: str) -> list[Item]:
        """Return the items under a prefix."""
        self._expire()
        return [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]

    def grant(self, ttl_ms: float) -> int:
        """Grant a lease."""
        lease = len(self._lease_ttl_s) + 1
        self._lease_ttl_s[lease] = ttl_ms / 1000
        self._leases[lease] = self._loop.true_s + ttl_ms / 1000
        return lease

    def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        self._expire()
        if lease not in self._leases:
            return False
        self._leases[lease] = self._loop.true_s + self._lease_ttl_s[lease]
        return True

    def revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._leases[lease] = float("-inf")
        self._expire()

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.items.pop(key, None)
        self._bindings.pop(key, None)
        self.revision += 1
        self._removed[key] = self.revision

    def _expire(self) -> None:
        ended = {lease for lease, end_s in self._leases.items() if end_s < self._loop.true_s}
        for lease in ended:
            del self._leases[lease]
        for key in [key for key, lease in self._bindings.items() if lease in ended]:
            self.remove(key)

    def change(
        self, expect: dict[str, int], puts: Iterable[Write], remove: Iterable[str]
    ) -> Result[int, PlatformError]:
        """Change keys if all conditions hold."""
        current = tuple(self.read(key) for key in expect)
        if [item.version for item in current] != list(expect.values()):
            return Failure(ConditionFailed(current))
        puts = list(puts)
        if any(put.lease and put.lease not in self._leases for put in puts):
            return Failure(LeaseLost(""))
        self.revision += 1
        for key in remove:
            self.items.pop(key, None)
            self._removed[key] = self.revision
        for put in puts:
            self.items[put.key] = Item(put.key, put.value, self.revision, self.revision)
            self._bindings[put.key] = put.lease
        return Success(self.revision)


@attrs.define
class _CallCounts:
    calls: int = 0


class SimulatedStoreClient:
    """Client of the store on one host, in place of `StoreClient`.

    Attributes
    ----------
    is_cut : bool
        Whether the host doesn't reach the store.
    loses_responses : bool
        Whether calls are carried out without a response.
    responses : list of (float, float)
        True times in s at which calls were carried out and their responses arrived, in the order of
        arrival.
    """

    def __init__(self, *, store: SimulatedStore, loop: VirtualLoop, rng: random.Random) -> None:
        self._store = store
        self._loop = loop
        self._rng = rng
        self.is_cut = False
        self.loses_responses = False
        self.responses: list[tuple[float, float]] = []
        self.counts = _CallCounts()

    async def _call(self, carry_out: Callable[[], Any]) -> Result[Any, PlatformError]:
        response = self._loop.create_future()
        with anyio.move_on_after(_STORE_TIMEOUT_S):
            if self.is_cut and self._rng.random() < 0.3:
                await anyio.sleep(_STORE_TIMEOUT_S / 2)
                return Failure(StoreUnavailable("no connection"))

            def arrive() -> None:
                if not self.is_cut and not self._store.is_down:
                    self._respond_later(response, carry_out())

            self._loop.call_after(self._rng.uniform(*_STORE_DELAY_S), arrive)
            return await response
        return Failure(StoreUnknown("overdue"))

    def _respond_later(self, response: asyncio.Future, value: object) -> None:
        carried_out_s = self._loop.true_s

        def respond() -> None:
            if not (self.is_cut or self.loses_responses or response.done()):
                self.responses.append((carried_out_s, self._loop.true_s))
                response.set_result(value)

        self._loop.call_after(self._rng.uniform(*_STORE_DELAY_S), respond)

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> Result:
        """Wait for changes under a prefix."""
        response = self._loop.create_future()
        end_s = self._loop.true_s + wait_ms / 1000

        def check() -> None:
            if self.is_cut or self._store.is_down:
                return
            items = self._store.list_changes(prefix, after)
            if items or self._loop.true_s >= end_s:
                self._respond_later(response, Success(Events(items, self._store.revision)))
            elif not response.done():
                self._loop.call_after(_WATCH_CHECK_S, check)

        with anyio.move_on_after(wait_ms / 1000 + _STORE_TIMEOUT_S):
            self._loop.call_after(self._rng.uniform(*_STORE_DELAY_S), check)
            return await response
        return Failure(StoreUnknown("overdue"))

    async def get(self, key: str, *, timeout_ms: float | None = None) -> Result:
        """Read one key."""
        return await self._call(lambda: Success(self._store.read(key)))

    async def probe(self, key: str, *, timeout_ms: float) -> Result:
        """Read one key."""
        return await self.get(key)

    async def list_all(self, prefix: str, *, allow_stale: bool = False) -> Result:
        """Read all items under a prefix."""
        return await self._call(lambda: Success(self._store.list(prefix)))

    async def commit(
        self, *, expect: dict[str, int], puts: Iterable[Write] = (), remove: Iterable[str] = ()
    ) -> Result[int, PlatformError]:
        """Change several keys in one transaction if all conditions hold."""
        return await self._call(lambda: self._store.change(expect, puts, remove))

    async def grant_lease(self, *, ttl_ms: float) -> Result:
        """Obtain a lease."""
        return await self._call(lambda: Success(StoreLease(self._store.grant(ttl_ms), ttl_ms)))

    async def renew_lease(self, lease: int) -> Result:
        """Renew a lease."""
        return await self._call(
            lambda: Success(0.0) if self._store.renew(lease) else Failure(LeaseLost(str(lease)))
        )

    async def revoke_lease(self, lease: int) -> Result:
        """End a lease."""
        return await self._call(lambda: Success(self._store.revoke(lease)))


def registry_key(runner_id: str) -> str:
    """Return the key of a runner's registry entry."""
    return REGISTRY_PREFIX + runner_id
