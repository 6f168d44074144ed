"""Messages between a cell and the tasks that talk to runners."""

from __future__ import annotations

import enum

import attrs

from coltsfootpier.jobs import TaskKey


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """What a runner says of itself in the registry.

    Parameters
    ----------
    id : str
        Identifier; kept when the runner starts again.
    service : str
        Service whose tasks it runs.
    address : str
        ``IP:PORT``.
    availability_zone : str
        Where it is.
    draining : bool
        Whether it leaves; it takes no new tasks then.
    remaining_ms : float
        Least time until a draining runner leaves; infinite otherwise.
    cold_left_ms : float
        How much longer it is slow after its start.
    cpu_milli, memory_mb, gpus : int
        Capacity.
    rack : str
        Rack of its VM; empty when not given.
    labels : tuple of str
        Its kind and its rack.
    born_unix_ms : int
        Start of this incarnation since 1970; 0 when not given.
    """

    id: str
    service: str
    address: str
    availability_zone: str = ""
    draining: bool = False
    remaining_ms: float = float("inf")
    cold_left_ms: float = 0.0
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    rack: str = ""
    labels: tuple[str, ...] = ()
    started_unix_ms: int = 0


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Another member of its gang ended.
    BROKEN = "broken"
    # The other members of its gang did not start in time.
    ALONE = "alone"


# Its hash is kept, since runs are looked up several times for each row of a report.
@attrs.frozen(cache_hash=True)
class RunId:
    """One run of a task: the job, the task in it and the number of the attempt."""

    job_id: str
    key: TaskKey
    attempt: int

    def __str__(self) -> str:
        return f"{self.job_id}.{'.'.join(map(str, self.key))}#{self.attempt}"


@attrs.frozen
class RunningRow:
    """A run that a runner lists as present.

    Parameters
    ----------
    run : RunId
        Which run.
    checkpoint : str
        Progress saved last; empty for none.
    percent : float
        Progress; a long-running task is at work at 100.
    measured : float
        Tail latency in ms of a task that serves, cores in use in thousandths of any other.
    """

    run: RunId
    checkpoint: str
    percent: float
    measured: float = 0.0


@attrs.frozen
class EndedRow:
    """An end of a run that a runner lists until it is acknowledged."""

    number: int
    run: RunId
    how: EndKind
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class RunnerReport:
    """Both lists of a runner.

    Parameters
    ----------
    clock_ms : float
        The runner's own steady clock.
    born_unix_ms : int
        Start of the incarnation that answered.
    running : tuple of RunningRow
        All runs present.
    ended : tuple of EndedRow
        Ends that aren't acknowledged, by number.
    sent_ms, received_ms : float
        Local times before the question and after the answer.
    """

    clock_ms: float
    started_unix_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    sent_ms: float
    received_ms: float


class StartOutcome(enum.Enum):
    """What became of an order to start."""

    STARTED = "started"
    # A later owner has spoken to the runner.
    FENCED = "fenced"
    # This or a later attempt was stopped or ended there.
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    # The runner did nothing: unhealthy, another incarnation, or never reached.
    REFUSED = "refused"
    # May have been executed, or may be executed later.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class StartRun:
    """Order to start a run."""

    runner_id: str
    run: RunId
    payload: str
    checkpoint: str
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopRun:
    """Order to stop a run, or to bar it when it isn't there."""

    runner_id: str
    run: RunId
    reason: str


@attrs.frozen(kw_only=True)
class PaceRun:
    """Order to let a run work at a share of its speed, in percent."""

    runner_id: str
    run: RunId
    percent: int


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Question which of some runners may run a step."""

    step_id: tuple[str, int, int]
    runner_ids: tuple[str, ...]


CellCommand = StartRun | StopRun | PaceRun | AdviceRequest
