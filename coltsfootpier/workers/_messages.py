"""Messages between a shard owner and a worker."""

from __future__ import annotations

import attrs

from coltsfootpier.declaration import TaskSpec


@attrs.frozen(kw_only=True)
class Command:
    """Command for one attempt of a task.

    Parameters
    ----------
    kind : str
        ``start``, ``renew``, ``stop``, ``throttle`` or ``forget``. Only ``start`` can start an
        attempt.
    epoch : int
        Epoch of the shard owner.
    expires_at_ms : float
        Time on the worker's clock after which a ``start`` is rejected.
    lease_until_ms : float
        End of the lease on the worker's clock.
    spec : TaskSpec, optional
        Specification of the task to run; only for ``start``.
    checkpoint : str
        Checkpoint to resume from; only for ``start``.
    share : float
        Fraction of its declared processors that the task may use; only for ``throttle``.
    """

    kind: str
    task: str
    attempt: int
    epoch: int
    expires_at_ms: float = 0.0
    lease_until_ms: float = 0.0
    spec: TaskSpec | None = None
    checkpoint: str = ""
    share: float = 1.0


@attrs.frozen(kw_only=True)
class SyncRequest:
    """All commands for one incarnation of a worker; any other incarnation rejects all of them."""

    incarnation: str
    commands: tuple[Command, ...] = ()


@attrs.frozen(kw_only=True)
class TaskReport:
    """State of one attempt of a task, as reported by its worker.

    Parameters
    ----------
    state : str
        ``running`` or ``ended``.
    outcome : str
        For an ended attempt, one of ``done``, ``failed``, ``stopped``, ``expired`` or ``refused``.
    checkpoint : str
        Newest checkpoint of the task.
    address : str
        ``IP:PORT`` of a runner.
    cores, memory_mb : float, int
        Measured use of processors and of memory in megabytes; may be outdated.
    slowdown : float
        Measured run time relative to that of the task alone on the worker; may be outdated.
    measured_at_ms : float
        Time of the measurement on the worker's clock.
    """

    task: str
    attempt: int
    state: str
    outcome: str = ""
    reason: str = ""
    checkpoint: str = ""
    address: str = ""
    cores: float = 0.0
    memory_mb: int = 0
    slowdown: float = 1.0
    measured_at_ms: float = 0.0


@attrs.frozen(kw_only=True)
class SyncReply:
    """State of a worker.

    Parameters
    ----------
    incarnation : str
        Identifier that changes with each start of the worker.
    now_ms : float
        Time on the worker's clock when it responded.
    cores, memory_mb, accelerators : float, int, int
        Size of the worker.
    tasks : tuple of TaskReport
        Running attempts, and ended ones until a ``forget`` command.
    """

    worker: str
    incarnation: str
    now_ms: float
    cores: float
    memory_mb: int
    accelerators: int = 0
    tasks: tuple[TaskReport, ...] = ()
