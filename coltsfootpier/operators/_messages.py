"""Messages between the command-line tool and a daemon."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class ApplyRequest:
    """A change of the configuration.

    Parameters
    ----------
    text : str
        New text of the declaration.
    base : int
        Revision that the change is based on.
    token : str
        Identifier of the change, so that a retried request is applied once.
    source : str
        File name used in error messages.
    """

    text: str
    base: int
    token: str
    source: str = "text"


@attrs.frozen(kw_only=True)
class ApplyReply:
    """Outcome of a change.

    Parameters
    ----------
    outcome : str
        ``accepted``, ``invalid``, ``conflict``, ``unavailable`` or ``unknown``.
    revision : int
        The accepted revision, or after a conflict the revision in force.
    problems : tuple of str
        Errors in the text, when it is invalid.
    reason : str
        Why the store is unavailable, or the token of a change whose outcome is unknown.
    """

    outcome: str
    revision: int = 0
    problems: tuple[str, ...] = ()
    reason: str = ""


@attrs.frozen(kw_only=True)
class EntryVmStatus:
    """State of an entry VM's daemon as seen by the daemon that responds.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    member : str
        Member identifier of the daemon.
    revision : int
        Configuration revision that is in force on the daemon.
    reachable : bool
        False when the responding daemon suspects that it has failed.
    """

    name: str
    member: str
    availability_zone: str
    revision: int
    reachable: bool


@attrs.frozen(kw_only=True)
class TaskStatus:
    """State of one task, with the reason if it isn't running."""

    task: str
    state: str
    attempt: int = 0
    shard: str = ""
    worker: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class WorkerStatus:
    """Capacity of a worker, in total and free."""

    worker: str
    shard: str
    cores: float
    free_cores: float
    memory_mb: int
    free_memory_mb: int
    accelerators: int
    free_accelerators: int


@attrs.frozen(kw_only=True)
class StatusReply:
    """State of the whole system as known to the dispatcher.

    Parameters
    ----------
    complete : bool
        False when the dispatcher could not be reached; then only entry VMs are listed.
    """

    revision: int
    entry_vms: tuple[EntryVmStatus, ...] = ()
    tasks: tuple[TaskStatus, ...] = ()
    workers: tuple[WorkerStatus, ...] = ()
    complete: bool = True
