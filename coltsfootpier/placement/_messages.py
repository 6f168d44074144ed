"""Messages between the dispatcher and a shard owner."""

from __future__ import annotations

import attrs

from coltsfootpier.declaration import TaskSpec


@attrs.frozen
class AttemptKey:
    """Identifier of one attempt of a task."""

    task: str
    attempt: int


@attrs.frozen(kw_only=True)
class Assignment:
    """Attempt that a shard has to place.

    Parameters
    ----------
    avoid : tuple of str
        Workers on which the task has failed.
    worker : str
        Worker on which tasks are being evicted for this one; empty if no eviction is needed.
    """

    task: str
    attempt: int
    spec: TaskSpec
    checkpoint: str = ""
    avoid: tuple[str, ...] = ()
    worker: str = ""


@attrs.frozen(kw_only=True)
class ExchangeRequest:
    """Request of the stop-and-wait exchange, sent by the dispatcher to a shard owner.

    Parameters
    ----------
    shard : str
        Name of the shard.
    shard_epoch, dispatch_epoch : int
        Epochs of the shard owner and of the dispatcher; the shard owner rejects requests with
        another shard epoch or an older dispatch epoch.
    sequence : int
        Sequence number, which increases by one with each request within a pair of epochs. A
        request with a repeated number gets a reply but isn't applied again.
    assign : tuple of Assignment
        Attempts to place.
    revoke : tuple of AttemptKey
        Attempts to stop.
    acknowledge : tuple of AttemptKey
        Releases that the ledger has stored durably.
    full : bool
        Whether the reply must list all attempts.
    """

    shard: str
    shard_epoch: int
    dispatch_epoch: int
    sequence: int
    assign: tuple[Assignment, ...] = ()
    revoke: tuple[AttemptKey, ...] = ()
    acknowledge: tuple[AttemptKey, ...] = ()
    full: bool = False


@attrs.frozen(kw_only=True)
class Release:
    """Attempt that no longer runs, or an orphaned runner that is to be replaced.

    Parameters
    ----------
    outcome : str
        ``done``, ``failed``, ``stopped``, ``lost`` or ``no_capacity``; empty for an orphaned runner
        of a worker that is leaving.
    checkpoint : str
        Newest checkpoint; empty if there is none.
    worker : str
        Worker of the attempt; empty if it was never placed.
    """

    task: str
    attempt: int
    outcome: str
    reason: str = ""
    checkpoint: str = ""
    worker: str = ""


@attrs.frozen(kw_only=True)
class AttemptState:
    """State of an attempt that the shard holds.

    Parameters
    ----------
    state : str
        ``accepted``, ``placed`` or ``stopping`` as in the shard's record; ``running`` or ``ended``
        instead of ``placed`` if the worker has reported the attempt.
    worker : str
        Worker of the attempt; empty before placement.
    unsaved_ms : float
        Run time since the start or the newest checkpoint, in milliseconds; an eviction would
        lose this work.
    """

    task: str
    attempt: int
    state: str
    worker: str = ""
    # Increases while the attempt runs, so it is excluded from comparisons that detect changes.
    unsaved_ms: float = attrs.field(default=0.0, eq=False)


@attrs.frozen(kw_only=True)
class WorkerCapacity:
    """Total and free capacity of a worker.

    Parameters
    ----------
    set_aside : bool
        Whether the worker is quarantined because all recent tasks failed on it; it then has
        free capacity only while a probe is due.
    """

    worker: str
    availability_zone: str
    rack: str
    cores: float
    memory_mb: int
    accelerators: int
    free_cores: float
    free_memory_mb: int
    free_accelerators: int
    set_aside: bool = False

    @property
    def free(self) -> tuple[float, int, int]:
        """Free cores, memory in MB and accelerators."""
        return self.free_cores, self.free_memory_mb, self.free_accelerators

    @property
    def size(self) -> tuple[float, int, int]:
        """Cores, memory in MB and accelerators."""
        return self.cores, self.memory_mb, self.accelerators


@attrs.frozen(kw_only=True)
class ExchangeReply:
    """Reply to an `ExchangeRequest`, sent once the shard's record is durable.

    Parameters
    ----------
    states, workers : tuple of AttemptState, tuple of WorkerCapacity
        All of them if `full`; otherwise those that changed since the reply to the previous
        sequence number. The dispatcher sends the next number only after it has received that
        reply.
    gone, gone_workers : tuple of str
        Tasks and workers that the shard no longer holds; empty if `full`.
    measured : dict
        Measured cores and memory in MB of services and jobs whose tasks exceed their declared
        size, by declared name.
    """

    shard: str
    shard_epoch: int
    sequence: int
    released: tuple[Release, ...] = ()
    states: tuple[AttemptState, ...] = ()
    workers: tuple[WorkerCapacity, ...] = ()
    full: bool = False
    gone: tuple[str, ...] = ()
    gone_workers: tuple[str, ...] = ()
    measured: dict[str, tuple[float, int]] = attrs.field(factory=dict)
