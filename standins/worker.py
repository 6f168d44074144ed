"""Stand-in for a worker VM: runs batch tasks as timers and runners as small HTTP servers.

Faults are set with ``POST /faults``: ``fail_starts`` (every start fails), ``silent_runners``
(runners accept requests and never respond), ``service_ms`` (service time of a request),
``answer_bytes`` (size of the response bodies) and ``cut_after`` (bytes after which they are
truncated).
"""

from __future__ import annotations

import secrets
import sys
from collections import Counter, deque
from typing import Any

import anyio
import attrs
import orjson
from absl import app, flags
from anyio.abc import TaskGroup

from coltsfootpier.clock import Clock, MonotonicClock
from coltsfootpier.transport import (
    Application,
    BodyError,
    HttpRequest,
    HttpResponse,
    Scope,
    Server,
    decode,
    read_body,
    send_response,
)
from coltsfootpier.workers import Command, SyncReply, SyncRequest, TaskReport

# Start commands of a forgotten attempt are rejected for this long, which is longer than any start
# command is valid.
_TOMBSTONE_MS = 30_000.0
_TICK_MS = 20.0
_CHUNK_BYTES = 65_536
# Number of the newest sync times that `GET /runs` returns.
_MAX_SYNC_TIMES = 1_000


@attrs.define
class Faults:
    """Injected faults and the service time; the module describes each. Defaults mean no fault."""

    fail_starts: bool = False
    silent_runners: bool = False
    service_ms: float = 10.0
    answer_bytes: int = 0
    cut_after: int = 0


class Runner:
    """A runner of a service as an HTTP server, which counts how often each request runs.

    Parameters
    ----------
    worker : Worker
        Worker that the runner is on.
    slots : int
        Maximum number of concurrent requests; further requests are rejected.

    Attributes
    ----------
    is_leaving : bool
        Whether the runner rejects new requests because it is being stopped.
    port : int
        Port that the runner listens on; 0 until it is started.
    """

    def __init__(self, *, worker: Worker, slots: int) -> None:
        self.is_leaving = False
        self.port = 0
        self._worker = worker
        self._slots = slots
        self._busy_slots = 0
        self._server = Server(app=self, host=worker.host, port=0)

    async def __call__(self, scope: Scope, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        try:
            body = await read_body(scope, receive, max_body_bytes=64_000_000)
        except BodyError as error:
            await send_response(send, error.response)
            return
        headers = dict(scope["headers"])
        extra_headers = ((b"x-leaving", b"1"),) if self.is_leaving else ()
        if self._busy_slots >= self._slots or self.is_leaving:
            rejection = HttpResponse(
                status=503, body=b"no free slot", headers=((b"x-not-started", b"1"), *extra_headers)
            )
            await send_response(send, rejection)
            return
        self._busy_slots += 1
        try:
            request_id = headers.get(b"x-request-id", b"").decode()
            self._worker.request_runs[request_id] += 1
            if self._worker.faults.silent_runners:
                await anyio.sleep_forever()
            await anyio.sleep(self._worker.faults.service_ms / 1000)
            if self._worker.faults.answer_bytes:
                await self._send_large_response(send, request_id)
                return
            response = HttpResponse.from_message(
                {"id": request_id, "path": scope["path"], "body": body.decode("utf-8", "replace")}
            )
            await send_response(send, attrs.evolve(response, headers=extra_headers))
        finally:
            self._busy_slots -= 1

    async def _send_large_response(self, send: Any, request_id: str) -> None:
        # The body repeats the request's identifier, so that bytes of another response are
        # recognised.
        faults = self._worker.faults
        size = faults.answer_bytes
        unit = f"{request_id};".encode()
        chunk = unit * (_CHUNK_BYTES // len(unit))
        headers = [(b"content-type", b"text/plain"), (b"content-length", str(size).encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        end = faults.cut_after or size
        for sent in range(0, end, len(chunk)):
            part = chunk[: min(len(chunk), end - sent)]
            await send({"type": "http.response.body", "body": part, "more_body": True})
        if not faults.cut_after:
            await send({"type": "http.response.body", "body": b""})

    async def run(self, *, task_status: Any) -> None:
        """Serve requests until drained."""
        await self._server.run(task_status=task_status)

    async def drain(self) -> None:
        """Reject new requests and stop once those in flight are finished."""
        self.is_leaving = True
        await anyio.sleep(0.5)
        self._server.stop()


@attrs.define(kw_only=True)
class _Attempt:
    command: Command
    lease_until_ms: float
    progress_ms: float = 0.0
    cpu_share: float = 1.0
    runner: Runner | None = None
    state: str = "running"
    outcome: str = ""
    reason: str = ""

    def build_report(self, host: str, now_ms: float) -> TaskReport:
        spec = self.command.spec
        address = f"{host}:{self.runner.port}" if self.runner and self.runner.port else ""
        return TaskReport(
            task=self.command.task,
            attempt=self.command.attempt,
            state=self.state,
            outcome=self.outcome,
            reason=self.reason,
            checkpoint=f"{self.progress_ms:.0f}" if spec and spec.checkpointing else "",
            address=address,
            cores=spec.cores if spec else 0.0,
            memory_mb=spec.memory_mb if spec else 0,
            measured_at_ms=now_ms,
        )


class Worker:
    """A worker VM that runs tasks under leases.

    Parameters
    ----------
    name : str
        Name of the VM.
    host : str
        IP address that runners listen on.
    clock : Clock
        Time source.
    cores, memory_mb, accelerators : float, int, int
        Capacity of the VM; memory in MB.
    speed : float
        Factor by which batch tasks run faster than declared.

    Attributes
    ----------
    request_runs : Counter
        Number of runs of each request.
    started, finished : Counter
        Number of starts, and of completions of batch tasks, by task.
    sync_times_ms : deque of float
        Times of the latest sync requests on the worker's clock.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        clock: Clock,
        cores: float,
        memory_mb: int,
        accelerators: int,
        speed: float = 1.0,
    ) -> None:
        self.host = host
        self.faults = Faults()
        self.request_runs: Counter[str] = Counter()
        self.incarnation = secrets.token_hex(4)
        self._name = name
        self._clock = clock
        self._size = (cores, memory_mb, accelerators)
        self._speed = speed
        self._attempts: dict[tuple[str, int], _Attempt] = {}
        # Forgotten attempts whose start commands are still rejected, with the end of that time.
        self._tombstones: dict[tuple[str, int], float] = {}
        self._group: TaskGroup | None = None
        self.started: Counter[str] = Counter()
        self.sync_times_ms: deque[float] = deque(maxlen=_MAX_SYNC_TIMES)
        self.finished: Counter[str] = Counter()

    async def run(self) -> None:
        """Advance the tasks until cancelled."""
        async with anyio.create_task_group() as self._group:
            while True:
                await anyio.sleep(_TICK_MS / 1000)
                self._advance(_TICK_MS)

    async def handle_sync(self, request: HttpRequest) -> HttpResponse:
        """Execute the sync request of a shard owner."""
        return HttpResponse.from_message(await self.sync(decode(request.body, SyncRequest)))

    async def sync(self, request: SyncRequest) -> SyncReply:
        """Execute commands and return the state of the worker.

        Commands for another incarnation of the worker are ignored.
        """
        self.sync_times_ms.append(self._clock.now_ms())
        if request.incarnation == self.incarnation:
            for command in request.commands:
                await self._execute(command)
        now_ms = self._clock.now_ms()
        cores, memory_mb, accelerators = self._size
        return SyncReply(
            worker=self._name,
            incarnation=self.incarnation,
            now_ms=now_ms,
            cores=cores,
            memory_mb=memory_mb,
            accelerators=accelerators,
            tasks=tuple(
                attempt.build_report(self.host, now_ms) for attempt in self._attempts.values()
            ),
        )

    async def handle_faults(self, request: HttpRequest) -> HttpResponse:
        """Replace the injected faults."""
        self.faults = Faults(**orjson.loads(request.body))
        return HttpResponse.from_message(attrs.asdict(self.faults))

    async def handle_runs(self, _: HttpRequest) -> HttpResponse:
        """Return how often each request and each task ran, and the newest sync times."""
        return HttpResponse.from_message(
            {
                "requests": dict(self.request_runs),
                "started": dict(self.started),
                "finished": dict(self.finished),
                "syncs_ms": list(self.sync_times_ms),
            }
        )

    async def _execute(self, command: Command) -> None:
        key = (command.task, command.attempt)
        attempt = self._attempts.get(key)
        if command.kind == "start":
            if attempt is None:
                await self._start_attempt(key, command)
            else:
                attempt.lease_until_ms = max(attempt.lease_until_ms, command.lease_until_ms)
        elif command.kind == "renew" and attempt is not None:
            attempt.lease_until_ms = max(attempt.lease_until_ms, command.lease_until_ms)
        elif command.kind == "throttle" and attempt is not None:
            attempt.cpu_share = command.share
        elif command.kind == "stop":
            if attempt is None:
                # A start command of this attempt may still be in flight; the recorded attempt
                # keeps it from running.
                attempt = _Attempt(command=command, lease_until_ms=0.0)
                self._attempts[key] = attempt
            self._end_attempt(attempt, "stopped", "stopped by the shard owner")
        elif command.kind == "forget" and attempt is not None and attempt.state == "ended":
            del self._attempts[key]
            self._tombstones[key] = self._clock.now_ms() + _TOMBSTONE_MS

    async def _start_attempt(self, key: tuple[str, int], command: Command) -> None:
        now_ms = self._clock.now_ms()
        if now_ms >= command.expires_at_ms or key in self._tombstones or command.spec is None:
            return
        attempt = _Attempt(command=command, lease_until_ms=command.lease_until_ms)
        self._attempts[key] = attempt
        if self.faults.fail_starts:
            self._end_attempt(attempt, "failed", "the task failed to start")
            return
        if not self._fits(command):
            self._end_attempt(attempt, "refused", "no room on the worker")
            return
        self.started[command.task] += 1
        if command.spec.kind == "service":
            attempt.runner = await self._open_runner(command.spec.slots)
        else:
            attempt.progress_ms = float(command.checkpoint or 0.0)

    def _fits(self, command: Command) -> bool:
        # The sum includes the new attempt, which is already in `_attempts`. A worker never exceeds
        # its own capacity, even if the shard owner's view of it is wrong.
        sizes = [
            attempt.command.spec.size
            for attempt in self._attempts.values()
            if attempt.state == "running" and attempt.command.spec is not None
        ]
        used = [sum(size[index] for size in sizes) for index in range(3)]
        return all(amount <= limit + 1e-6 for amount, limit in zip(used, self._size, strict=True))

    def _advance(self, elapsed_ms: float) -> None:
        now_ms = self._clock.now_ms()
        for attempt in self._attempts.values():
            if attempt.state != "running":
                continue
            if now_ms >= attempt.lease_until_ms:
                self._end_attempt(attempt, "expired", "the lease ended")
            elif attempt.command.spec.kind == "batch":
                attempt.progress_ms += elapsed_ms * self._speed * attempt.cpu_share
                if attempt.progress_ms >= attempt.command.spec.run_time_ms:
                    self.finished[attempt.command.task] += 1
                    self._end_attempt(attempt, "done", "")
        self._tombstones = {
            key: until_ms for key, until_ms in self._tombstones.items() if until_ms > now_ms
        }

    def _end_attempt(self, attempt: _Attempt, outcome: str, reason: str) -> None:
        if attempt.state == "ended":
            return
        attempt.state, attempt.outcome, attempt.reason = "ended", outcome, reason
        if attempt.runner is not None:
            self._close_runner(attempt.runner)

    async def _open_runner(self, slots: int) -> Runner:
        runner = Runner(worker=self, slots=slots)
        runner.port = await self._group.start(runner.run)
        return runner

    def _close_runner(self, runner: Runner) -> None:
        self._group.start_soon(runner.drain)


async def serve(worker: Worker, port: int) -> None:
    """Serve a worker until cancelled, and print the port."""
    application = Application(
        routes={
            "POST /v1/sync": worker.handle_sync,
            "POST /faults": worker.handle_faults,
            "GET /runs": worker.handle_runs,
        },
        max_body_bytes=8_000_000,
    )
    server = Server(app=application, host=worker.host, port=port)
    async with anyio.create_task_group() as group:
        group.start_soon(worker.run)
        bound_port = await group.start(server.run)
        print(f"port={bound_port}", flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    worker = Worker(
        name=options.name,
        host=options.host,
        clock=MonotonicClock(),
        cores=options.cores,
        memory_mb=options.memory_mb,
        accelerators=options.accelerators,
        speed=options.speed,
    )
    anyio.run(serve, worker, options.port, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    flags.DEFINE_string("name", "worker", "Name of the VM.")
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
    flags.DEFINE_integer("port", 0, "TCP port; 0 selects a free one.")
    flags.DEFINE_float("cores", 16.0, "Processors.")
    flags.DEFINE_integer("memory_mb", 60_000, "Memory in MB.")
    flags.DEFINE_integer("accelerators", 0, "Accelerators.")
    flags.DEFINE_float("speed", 1.0, "Factor by which batch tasks run faster than declared.")
    sys.exit(app.run(_run))
