"""Responses to operators, built from the state of the daemon."""

from __future__ import annotations

from collections.abc import Mapping

from returns.result import Result, Success

from coltsfootpier.configuration import Revision
from coltsfootpier.daemon._control import ApplyConflict, ApplyUnavailable, ApplyUnknown
from coltsfootpier.dispatch import Dispatcher
from coltsfootpier.membership import Member, MemberTable
from coltsfootpier.operators import (
    ApplyReply,
    EntryVmStatus,
    StatusReply,
    TaskStatus,
    WorkerStatus,
)


def build_apply_reply(result: Result[Revision, object]) -> ApplyReply:
    """Convert the result of a configuration change to the operator's response.

    Parameters
    ----------
    result : Result of Revision, or of a tuple of Problem or an ApplyError
        Result of the change.

    Returns
    -------
    ApplyReply
    """
    if isinstance(result, Success):
        return ApplyReply(outcome="accepted", revision=result.unwrap().revision)
    error = result.failure()
    if isinstance(error, ApplyConflict):
        return ApplyReply(outcome="conflict", revision=error.revision)
    if isinstance(error, ApplyUnavailable):
        return ApplyReply(outcome="unavailable", reason=error.reason)
    if isinstance(error, ApplyUnknown):
        return ApplyReply(outcome="unknown", reason=f"token {error.token}")
    return ApplyReply(outcome="invalid", problems=tuple(str(problem) for problem in error))


def build_dispatch_status(dispatcher: Dispatcher, revision: int) -> StatusReply:
    """Return the state of all tasks and workers, as last reported to the dispatcher."""
    tasks = []
    for task, entry in dispatcher.ledger.iter_entries():
        link = dispatcher.links.get(entry.shard)
        report = link.states.get(task) if link else None
        state = entry.state
        if report is not None and report.attempt == entry.attempt:
            state = report.state
        tasks.append(
            TaskStatus(
                task=task,
                state=state,
                attempt=entry.attempt,
                shard=entry.shard,
                worker=report.worker if report else "",
                reason=entry.reason,
            )
        )
    workers = tuple(
        WorkerStatus(
            worker=worker.worker,
            shard=shard,
            cores=worker.cores,
            free_cores=worker.free_cores,
            memory_mb=worker.memory_mb,
            free_memory_mb=worker.free_memory_mb,
            accelerators=worker.accelerators,
            free_accelerators=worker.free_accelerators,
        )
        for shard, link in dispatcher.links.items()
        for worker in link.workers.values()
    )
    return StatusReply(revision=revision, tasks=tuple(tasks), workers=workers)


def list_entry_vms(
    own: Member, own_revision: int, members: MemberTable, revisions: Mapping[str, int]
) -> tuple[EntryVmStatus, ...]:
    """Return the status of this daemon and its peers, sorted by name.

    Parameters
    ----------
    own : Member
        This daemon.
    own_revision : int
        Revision that is in force on this daemon.
    members : MemberTable
        All known members.
    revisions : Mapping of str to int
        Revisions of the peers by member identifier.
    """
    statuses = [
        EntryVmStatus(
            name=own.name,
            member=own.id,
            availability_zone=own.availability_zone,
            revision=own_revision,
            reachable=True,
        )
    ]
    statuses += [
        EntryVmStatus(
            name=members.members[member_id].name,
            member=member_id,
            availability_zone=members.members[member_id].availability_zone,
            revision=revision,
            reachable=not members.is_suspect(member_id),
        )
        for member_id, revision in revisions.items()
        if member_id in members.members
    ]
    return tuple(sorted(statuses, key=lambda status: status.name))
