"""Dispatcher's side of the stop-and-wait exchange with one shard owner."""

from __future__ import annotations

from collections import Counter

import attrs

from coltsfootpier.placement import (
    Assignment,
    AttemptKey,
    AttemptState,
    ExchangeReply,
    ExchangeRequest,
    WorkerCapacity,
    fits,
    subtract,
)

Size = tuple[float, int, int]


@attrs.frozen
class Reservation:
    """Capacity reserved for an assignment until the shard reports its attempt.

    Parameters
    ----------
    is_evicting : bool
        Whether tasks on the worker are being evicted for the assignment.
    """

    attempt: int
    worker: str
    size: Size
    is_evicting: bool = False


@attrs.define(kw_only=True)
class ShardLink:
    """Dispatcher's view of a shard.

    Parameters
    ----------
    shard : str
        Name of the shard.
    epoch : int
        Epoch of the shard's owner.
    sequence : int
        Sequence number of the last request.
    is_synced : bool
        Whether the shard's owner has listed all its attempts in the present epoch.
    pending_request : ExchangeRequest or None
        Request that has been sent and not replied to.
    states : dict
        Attempts that the shard holds, by task.
    workers : dict
        Capacity of its workers, by name.
    releases_to_acknowledge : dict
        Attempts, as keys, whose release is acknowledged with the next request.
    reservations : dict
        Reservations of assignments that the reported capacity doesn't include yet, by task.
    free_by_worker : dict
        Free capacity of each worker minus the reservations.
    max_free : tuple of (float, int, int)
        Maxima over all workers of the free cores, memory in MB and accelerators; each may belong
        to a different worker.
    total_free_cores, total_cores : float
        Sums over all workers; the free cores exclude reservations.
    availability_zone : str
        Availability zone of the first worker; empty without workers.
    running_counts : Counter
        Number of running attempts by service or job.
    unreconciled : set
        Tasks for which the ledger and the shard may disagree.
    is_unreconciled_complete : bool
        Whether `unreconciled` contains all such tasks; false after a full reply.
    change_count : int
        Number of changes of states, workers or free capacity so far.
    """

    shard: str
    epoch: int = 0
    sequence: int = 0
    is_synced: bool = False
    pending_request: ExchangeRequest | None = None
    states: dict[str, AttemptState] = attrs.field(factory=dict)
    workers: dict[str, WorkerCapacity] = attrs.field(factory=dict)
    releases_to_acknowledge: dict[AttemptKey, None] = attrs.field(factory=dict)
    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    free_by_worker: dict[str, Size] = attrs.field(factory=dict)
    max_free: Size = (0.0, 0, 0)
    total_free_cores: float = 0.0
    total_cores: float = 0.0
    availability_zone: str = ""
    running_counts: Counter[str] = attrs.field(factory=Counter)
    change_count: int = 0
    unreconciled: set[str] = attrs.field(factory=set)
    is_unreconciled_complete: bool = False
    _states_by_worker: dict[str, dict[str, AttemptState]] = attrs.field(factory=dict)
    _state_received_ms: dict[str, float] = attrs.field(factory=dict)

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch of the shard's owner and reset the exchange if it has changed."""
        if epoch != self.epoch:
            self.epoch = epoch
            self.reset()

    def reset(self) -> None:
        """Discard the exchange state; the next request asks the shard to list all its attempts."""
        self.sequence = 0
        self.is_synced = False
        self.pending_request = None
        self.releases_to_acknowledge.clear()
        self.reservations.clear()
        self.is_unreconciled_complete = False
        self.change_count += 1

    def prepare_request(
        self,
        *,
        dispatch_epoch: int,
        assign: tuple[Assignment, ...],
        revoke: tuple[AttemptKey, ...],
    ) -> ExchangeRequest:
        """Return the request to send: the pending one again, or a new one.

        Nothing is assigned until the shard has listed all its attempts, because it may already
        hold attempts that the ledger assigned earlier.
        """
        if self.pending_request is None:
            self.sequence += 1
            self.pending_request = ExchangeRequest(
                shard=self.shard,
                shard_epoch=self.epoch,
                dispatch_epoch=dispatch_epoch,
                sequence=self.sequence,
                assign=assign if self.is_synced else (),
                revoke=revoke,
                acknowledge=tuple(self.releases_to_acknowledge),
                full=not self.is_synced,
            )
        return self.pending_request

    def is_request_due(
        self, assign: tuple[Assignment, ...], revoke: tuple[AttemptKey, ...]
    ) -> bool:
        """Return whether a request is due before the next regular one."""
        return bool(
            assign
            or revoke
            or self.releases_to_acknowledge
            or self.pending_request
            or not self.is_synced
        )

    def apply_reply(self, reply: ExchangeReply, now_ms: float = 0.0) -> bool:
        """Apply a reply if it belongs to the pending request, and return whether it does."""
        if (
            self.pending_request is None
            or reply.shard_epoch != self.epoch
            or reply.sequence != self.pending_request.sequence
        ):
            return False
        for key in self.pending_request.acknowledge:
            self.releases_to_acknowledge.pop(key, None)
        self.pending_request = None
        self.is_synced = True
        if reply.full:
            self._states_by_worker.clear()
            self._state_received_ms.clear()
            self.running_counts.clear()
            self.states, self.workers = {}, {}
            self.is_unreconciled_complete = False
        elif not (reply.states or reply.workers or reply.gone or reply.gone_workers):
            return True
        for task in reply.gone:
            self._replace_state(task, None)
        for state in reply.states:
            self._replace_state(state.task, state)
            self._state_received_ms[state.task] = now_ms
        for name in reply.gone_workers:
            self.workers.pop(name, None)
        self.workers.update((worker.worker, worker) for worker in reply.workers)
        states = self.states
        for task, reservation in list(self.reservations.items()):
            state = states.get(task)
            if state is not None and state.attempt >= reservation.attempt:
                del self.reservations[task]
        self._update_free_capacity()
        return True

    def reserve(self, task: str, reservation: Reservation) -> None:
        """Reserve capacity for an assignment."""
        self.reservations[task] = reservation
        self._update_free_capacity()

    def cancel_reservation(self, task: str, attempt: int) -> None:
        """Remove the reservation of an attempt, or of an earlier one of its task."""
        reservation = self.reservations.get(task)
        if reservation is not None and reservation.attempt <= attempt:
            del self.reservations[task]
            self._update_free_capacity()

    def find_worker(self, size: Size, avoid: tuple[str, ...]) -> str | None:
        """Return the worker with the most free cores that a task fits on, or None."""
        if not self.is_synced or not fits(size, self.max_free):
            return None
        candidates = [
            name
            for name, free in self.free_by_worker.items()
            if fits(size, free) and name not in avoid
        ]
        return max(candidates, key=lambda name: self.free_by_worker[name][0], default=None)

    def list_attempts(self, worker: str) -> list[AttemptState]:
        """Return the states of the attempts on a worker."""
        return list(self._states_by_worker.get(worker, {}).values())

    def compute_unsaved_ms(self, state: AttemptState, now_ms: float) -> float:
        """Return the run time, in milliseconds, that evicting an attempt now would lose."""
        if state.state != "running":
            return state.unsaved_ms
        return state.unsaved_ms + now_ms - self._state_received_ms.get(state.task, now_ms)

    def _replace_state(self, task: str, state: AttemptState | None) -> None:
        # Task names consist of the kind, the name of the service or job, and an index:
        # service/NAME/INDEX.
        declared = task.split("/")[1] if "/" in task else task
        self.unreconciled.add(task)
        previous = self.states.pop(task, None)
        if previous is not None:
            self._states_by_worker.get(previous.worker, {}).pop(task, None)
            self._state_received_ms.pop(task, None)
            self.running_counts[declared] -= previous.state == "running"
        if state is not None:
            self.states[task] = state
            self._states_by_worker.setdefault(state.worker, {})[task] = state
            self.running_counts[declared] += state.state == "running"

    def _update_free_capacity(self) -> None:
        free_by_worker = {name: worker.free for name, worker in self.workers.items()}
        for reservation in self.reservations.values():
            if reservation.worker in free_by_worker:
                free_by_worker[reservation.worker] = subtract(
                    free_by_worker[reservation.worker], reservation.size
                )
        self.free_by_worker = free_by_worker
        free_sizes = list(free_by_worker.values()) or [(0.0, 0, 0)]
        self.max_free = tuple(max(size[index] for size in free_sizes) for index in range(3))
        self.total_free_cores = sum(size[0] for size in free_sizes)
        self.total_cores = sum(worker.cores for worker in self.workers.values())
        zones = (worker.availability_zone for worker in self.workers.values())
        self.availability_zone = next(zones, "")
        self.change_count += 1
