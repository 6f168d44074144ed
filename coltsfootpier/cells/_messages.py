"""Commands of a cell to its runners, and the reports and outcomes that come back."""

from __future__ import annotations

import enum

import attrs

from coltsfootpier.jobs import TaskKey


@attrs.frozen(kw_only=True)
class RunnerEntry:
    """Registry entry of a runner.

    Parameters
    ----------
    id : str
        Identifier; stays the same when the runner restarts.
    service : str
        Service whose tasks it runs.
    address : str
        ``IP:PORT``.
    availability_zone : str
        Availability zone of the runner.
    draining : bool
        Whether it is about to leave; it accepts no new tasks then.
    remaining_ms : float
        Minimum time until a draining runner leaves; infinite otherwise.
    cold_left_ms : float
        Remaining time during which it is slow because it has just started.
    cpu_milli, memory_mb, gpus : int
        Capacity.
    rack : str
        Rack of its VM; empty when unknown.
    labels : tuple of str
        Labels that a step may require: the runner's kind and its rack.
    started_unix_ms : int
        Unix time at which this incarnation started; 0 when unknown.
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
    """Outcome of an ended run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # Its lease expired.
    LAPSED = "lapsed"
    # Another member of its gang ended.
    BROKEN = "broken"
    # The other members of its gang did not start in time.
    ALONE = "alone"


# The hash is cached, since runs are looked up several times for each row of a report.
@attrs.frozen(cache_hash=True)
class RunId:
    """Identifier of one run of a task: job, task and number of the attempt."""

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
        Identifier of the run.
    checkpoint : str
        Last saved progress; empty for none.
    percent : float
        Progress; a long-running task is ready at 100.
    measured : float
        Tail latency in ms for a serving task, CPU in use in thousandths of a core for any other.
    """

    run: RunId
    checkpoint: str
    percent: float
    measured: float = 0.0


@attrs.frozen
class EndedRow:
    """An ended run that a runner lists until it is acknowledged.

    Parameters
    ----------
    number : int
        Number of the end, ascending within one incarnation of the runner.
    run : RunId
        Identifier of the run.
    outcome : EndKind
        How the run ended.
    checkpoint : str
        Last saved progress; empty for none.
    """

    number: int
    run: RunId
    outcome: EndKind
    checkpoint: str = ""


@attrs.frozen(kw_only=True)
class RunnerReport:
    """A runner's lists of present and ended runs.

    Parameters
    ----------
    clock_ms : float
        Monotonic clock of the runner.
    started_unix_ms : int
        Start of the incarnation that responded.
    running : tuple of RunningRow
        All runs present.
    ended : tuple of EndedRow
        Ended runs that aren't acknowledged, the earliest first; a runner lists a limited number.
    is_complete : bool
        Whether `ended` lists all of them. Otherwise a run in neither list may have ended, so its
        absence proves nothing.
    sent_ms, received_ms : float
        Local times before the request and after the response.
    """

    clock_ms: float
    started_unix_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    sent_ms: float
    received_ms: float
    is_complete: bool = True


class StartOutcome(enum.Enum):
    """Outcome of a start command."""

    STARTED = "started"
    # A later owner has contacted the runner.
    FENCED = "fenced"
    # This attempt or a later one was stopped or has ended on the runner.
    OLD = "old"
    # The command arrived after its deadline.
    LATE = "late"
    # The runner lacks the capacity.
    ROOM = "room"
    # The ticket was missing or not valid.
    TICKET = "ticket"
    # Another runner responds at the address.
    REPLACED = "replaced"
    # It was not sent, because the ownership wasn't proven or the runner's clock wasn't known.
    WITHHELD = "withheld"
    # The runner did not execute it: it is unhealthy, a different incarnation, or was not reached.
    REFUSED = "refused"
    # It may have been executed, or may still be executed later.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class StartRun:
    """Command to start a run."""

    runner_id: str
    run: RunId
    payload: str
    checkpoint: str
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopRun:
    """Command to stop a run, or to reject its start from then on if it isn't present."""

    runner_id: str
    run: RunId
    reason: str


@attrs.frozen(kw_only=True)
class PaceRun:
    """Command to limit a run to a percentage of its speed."""

    runner_id: str
    run: RunId
    percent: int


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Request for advice on which of the given runners may run a step."""

    step_id: tuple[str, int, int]
    runner_ids: tuple[str, ...]


CellCommand = StartRun | StopRun | PaceRun | AdviceRequest
