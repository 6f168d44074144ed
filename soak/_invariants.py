"""Invariants that are checked on the actual state of workers, store and daemons.

The names ``R1`` to ``R10`` of invariants are the requirements in docs/design.md; docs/proofs.md
describes how each invariant is checked.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from coltsfootpier.configuration import Revision
from coltsfootpier.declaration import Declaration, expand, parse
from coltsfootpier.dispatch import Entry
from coltsfootpier.exceptions import InvariantError
from coltsfootpier.placement import Placement, fits
from coltsfootpier.platform import Item
from coltsfootpier.records import replay_record
from coltsfootpier.transport import decode
from coltsfootpier.workers import Command

if TYPE_CHECKING:
    from soak._cluster import Cluster
    from soak._fakes import FakeWorker

_FINAL_STATES = {"done", "cancelled", "refused", "failed"}


class ViolationError(InvariantError):
    """Violation of an invariant.

    Parameters
    ----------
    invariant : str
        Name of the invariant.
    detail : str
        Description with the values involved.
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant


class Checker:
    """Checker of one soak run, which stores the first violation.

    Parameters
    ----------
    cluster : Cluster
        Deployment to check.

    Attributes
    ----------
    violation : ViolationError, optional
        First violation; None if there was none.
    revisions : list of Revision
        All revisions that were written to the store, in order.
    event_counts : Counter of str
        Number of events by kind, for the report.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.violation: ViolationError | None = None
        self.revisions: list[Revision] = []
        self.event_counts: Counter[str] = Counter()
        self._cluster = cluster
        self._newest_attempts: dict[str, int] = defaultdict(int)
        self._done_tasks: set[str] = set()
        self._highest_revisions: dict[int, int] = {}
        self._accepted_revisions: dict[str, int] = {}
        self._conflict_tokens: set[str] = set()
        self._applied_revisions: set[int] = set()
        # Entries of each record: the result of all journal values that were written to the store.
        self._records: dict[str, dict[str, Any]] = defaultdict(dict)

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record a violation, which ends the run; later violations are ignored."""
        if self.violation is None:
            self.violation = ViolationError(invariant, detail)

    # Hooks

    def on_worker_event(self, event: str, worker: FakeWorker, command: Command) -> None:
        """Check the start or end of an attempt against the actual state of all workers."""
        task, attempt = command.task, command.attempt
        self._cluster.trace(f"{event} {task}#{attempt}", worker=worker.process_host.name)
        self.event_counts[f"attempts {event}"] += 1
        if event == "refused":
            self.record_violation(
                "R1", f"{worker.process_host.name} had no free capacity for {task}#{attempt}"
            )
        if event != "started":
            return
        self._check_usage(worker)
        if not task.startswith("job/"):
            return
        if attempt <= self._newest_attempts[task]:
            self.record_violation(
                "R3", f"{task}#{attempt} started after #{self._newest_attempts[task]}"
            )
        self._newest_attempts[task] = max(attempt, self._newest_attempts[task])
        if task in self._done_tasks:
            self.record_violation(
                "done once", f"{task}#{attempt} started after it was recorded as done"
            )
        for other in self._cluster.list_live_workers():
            for running in other.list_running():
                if running.task == task and (other is not worker or running.attempt != attempt):
                    self.record_violation(
                        "R2",
                        f"{task}#{attempt} started on {worker.process_host.name} while "
                        f"#{running.attempt} runs on {other.process_host.name}",
                    )

    def on_put(self, key: str, value: Any) -> None:
        """Check a revision or a journal value that was written to the store."""
        if key == "control/config":
            revision = decode(value, Revision)
            newest = self.revisions[-1].revision if self.revisions else 0
            if revision.revision != newest + 1:
                self.record_violation("R9", f"revision {revision.revision} written after {newest}")
            self.revisions.append(revision)
        elif "/journal/" in key:
            record = key.partition("/journal/")[0]
            entries = self._records[record]
            entries.update(value["put"])
            for name in value["drop"]:
                entries.pop(name, None)
            if key.startswith("records/ledger/"):
                self._applied_revisions.add(value["header"].get("fence", 0))
                self._check_ledger(value["put"])
            else:
                self._check_record(record, entries)

    def on_apply(self, token: str, outcome: str, revision: int) -> None:
        """Record the outcome of a change of the declaration as the operator received it."""
        self.event_counts[f"changes {outcome}"] += 1
        if outcome == "accepted":
            self._accepted_revisions[token] = revision
        elif outcome == "conflict":
            self._conflict_tokens.add(token)

    def _check_usage(self, worker: FakeWorker) -> None:
        """Check that the attempts that run on a worker fit its size."""
        sizes = [command.spec.size for command in worker.list_running() if command.spec]
        used = tuple(sum(size[index] for size in sizes) for index in range(3))
        if not fits(used, worker.size):
            self.record_violation("R1", f"{worker.process_host.name} runs {used} of {worker.size}")

    def _check_ledger(self, changed: dict[str, Any]) -> None:
        """Check that no task leaves the state ``done``, given the changed entries of the ledger."""
        for task, raw_entry in changed.items():
            if raw_entry["state"] == "done":
                self._done_tasks.add(task)
            elif task in self._done_tasks:
                self.record_violation("done once", f"{task} went from done to {raw_entry['state']}")

    def _check_record(self, key: str, entries: dict[str, Any]) -> None:
        """Check that the placements in a shard's record fit the sizes of their workers."""
        used: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        for raw_placement in entries.values():
            if raw_placement.get("state") in ("placed", "stopping", "orphaned"):
                spec = raw_placement["spec"]
                for index, field in enumerate(("cores", "memory_mb", "accelerators")):
                    used[raw_placement["worker"]][index] += spec.get(field, 0)
        for name, total in used.items():
            worker = self._cluster.workers.get(name)
            if worker is not None and not fits(tuple(total), worker.size):
                self.record_violation("R1", f"{key} charges {name} with {total} of {worker.size}")

    # Regular checks

    def check_daemons(self) -> None:
        """Check the owned partitions and the revisions of all live daemons."""
        owners: dict[str, str] = {}
        for process in self._cluster.processes.values():
            if process.host.dead:
                continue
            control = process.daemon.control
            for partition, epoch in control.ownership.list_assigned_epochs().items():
                if control.ownership.may_act(partition, epoch):
                    if partition in owners:
                        names = f"{owners[partition]} and {process.host.name}"
                        self.record_violation("single owner", f"{partition} has {names}")
                    owners[partition] = process.host.name
            revision = control.revisions.revision.revision
            age_s = self._cluster.loop.true_s - process.started_s
            if not revision and age_s > 15.0 and self._cluster.can_pull_revision(process):
                self.record_violation(
                    "R9", f"{process.host.name} has no revision {age_s:.0f} s after its start"
                )
            if revision < self._highest_revisions.get(id(process), 0):
                self.record_violation("R9", f"{process.host.name} went back to revision {revision}")
            self._highest_revisions[id(process)] = revision

    def check_store_calls(self, max_calls_per_second: int) -> None:
        """Check that no daemon made more than `max_calls_per_second` store calls in a second."""
        for process in self._cluster.all_processes:
            for second, calls in process.platform.calls_by_second.items():
                if calls > max_calls_per_second:
                    self.record_violation(
                        "store calls", f"{process.host.name}: {calls} in second {second}"
                    )

    # End of a run

    def check_final_state(self) -> None:
        """Check the final state, after all faults ended and the deployment had time to recover."""
        self._check_revisions()
        newest = self._parse_newest_declaration()
        entries = self._read_ledger()
        declared = {
            task: spec
            for revision in self.revisions
            for task, spec in expand(parse(revision.text).unwrap()).items()
        }
        for task, spec in declared.items():
            if spec.kind == "batch":
                self._check_job(task, entries.get(task))
        specs = expand(newest)
        running: dict[str, list[str]] = defaultdict(list)
        for worker in self._cluster.list_live_workers():
            for command in worker.list_running():
                running[command.task].append(worker.process_host.name)
                if command.task not in specs:
                    self.record_violation(
                        "R10", f"{command.task} still runs on {worker.process_host.name}"
                    )
        for task, spec in specs.items():
            if spec.kind == "service" and len(running[task]) != 1:
                self.record_violation("R10", f"{task} runs on {running[task]}: {entries.get(task)}")
        self._check_shards(entries)

    def _check_revisions(self) -> None:
        written = {revision.token: revision.revision for revision in self.revisions}
        for token, revision in self._accepted_revisions.items():
            if not 0 < written.get(token, 0) <= revision:
                self.record_violation(
                    "R9", f"accepted revision {revision} of {token} is not in the store"
                )
        for token in self._conflict_tokens & written.keys():
            self.record_violation("R9", f"{token} was rejected with a conflict but took effect")
        newest = self.revisions[-1].revision
        for process in self._cluster.processes.values():
            applied = process.daemon.control.revisions.revision.revision
            if not process.host.dead and applied != newest:
                self.record_violation(
                    "R9", f"{process.host.name} has revision {applied}, newest is {newest}"
                )

    def _parse_newest_declaration(self) -> Declaration:
        return parse(self.revisions[-1].text).unwrap()

    def _read_ledger(self) -> dict[str, Entry]:
        return {
            task: decode(raw_entry, Entry)
            for key, entries in self._records.items()
            if key.startswith("records/ledger/")
            for task, raw_entry in entries.items()
        }

    def _check_replay(self) -> None:
        # The entries that the next owner would read from the store must equal the result of all
        # journal values applied in order.
        for key, entries in self._records.items():
            items = [Item(**item) for item in self._cluster.store.list(f"{key}/")]
            replayed = replay_record(key, items)[1]
            if replayed != entries:
                self.record_violation("replay", f"{key}: {replayed} instead of {entries}")

    def _check_job(self, task: str, entry: Entry | None) -> None:
        """Check that a batch task has ended, with a reason if it was rejected or failed."""
        if entry is None:
            # Allowed only for a job that operators removed before any dispatcher had applied a
            # revision that declares it: the job ended as cancelled and never started.
            section = f"[job {task.split('/')[1]}]"
            declared = {item.revision for item in self.revisions if section in item.text}
            if declared & self._applied_revisions or self._newest_attempts[task]:
                self.record_violation("R10", f"{task} is not in the ledger")
            self.event_counts["tasks withdrawn before dispatch"] += 1
        elif entry.state not in _FINAL_STATES:
            self.record_violation("R10", f"{task} has not ended: {entry}")
        elif entry.state in ("refused", "failed") and not entry.reason:
            self.record_violation("R10", f"{task} is {entry.state} without a reason")
        else:
            self.event_counts[f"tasks {entry.state}"] += 1

    def _check_shards(self, entries: dict[str, Entry]) -> None:
        """Check that each placement belongs to an attempt that the ledger shows as assigned."""
        self._check_replay()
        for key, placements in self._records.items():
            if not key.startswith("records/shard/"):
                continue
            for raw_placement in placements.values():
                placement = decode(raw_placement, Placement)
                entry = entries.get(placement.task)
                is_current = entry is not None and entry.attempt == placement.attempt
                if placement.state != "placed" or not is_current or entry.state != "assigned":
                    self.record_violation("R10", f"left over in {key}: {placement} for {entry}")
