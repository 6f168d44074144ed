"""Expansion of a declaration into tasks, and comparison of two declarations."""

from __future__ import annotations

import hashlib

import attrs

from coltsfootpier.declaration._model import PRIORITIES, Declaration, Job, Service


@attrs.frozen(kw_only=True)
class TaskSpec:
    """Specification of one task: a runner of a service, or a task of a batch job.

    Parameters
    ----------
    name : str
        ``service/NAME/INDEX`` or ``job/NAME/INDEX``.
    kind : str
        ``service`` or ``batch``.
    declared : str
        Name of the declared service or job.
    team : str
        Team to whose quota the task is charged.
    cores, memory_mb, accelerators : float, int, int
        Resources of the task; memory in MB.
    priority : int
        Priority as a number; higher is more urgent.
    run_time_ms, checkpointing : float, bool
        Expected run time of a batch task, and whether it can resume from a checkpoint.
    slots, connections : int
        Concurrent requests and connections that a runner accepts; 0 for a batch task.
    depends_on : tuple of str
        Names of the services and jobs that the task depends on.
    digest : str
        Hash of the declared values, without the number of runners; it shows whether a declaration
        changes the task.
    """

    name: str
    kind: str
    declared: str
    team: str
    cores: float
    memory_mb: int
    accelerators: int = 0
    priority: int = 1
    run_time_ms: float = 0.0
    checkpointing: bool = False
    slots: int = 0
    connections: int = 0
    depends_on: tuple[str, ...] = ()
    digest: str = ""

    @property
    def size(self) -> tuple[float, int, int]:
        """Cores, memory in MB and accelerators."""
        return self.cores, self.memory_mb, self.accelerators


def _compute_digest(item: Service | Job) -> str:
    # The number of runners is left out: changing it adds or removes runners, but must not restart
    # the ones that stay.
    fields = {key: value for key, value in attrs.asdict(item).items() if key != "runners"}
    return hashlib.sha256(repr(sorted(fields.items())).encode()).hexdigest()[:12]


def expand(declaration: Declaration) -> dict[str, TaskSpec]:
    """Expand a declaration into the tasks that must run.

    Parameters
    ----------
    declaration : Declaration
        Validated declaration.

    Returns
    -------
    dict of str to TaskSpec
        Specification of each runner and batch task, by name of the task.
    """
    specs: dict[str, TaskSpec] = {}
    for service in declaration.services.values():
        digest = _compute_digest(service)
        for index in range(service.runners):
            name = f"service/{service.name}/{index}"
            specs[name] = TaskSpec(
                name=name,
                kind="service",
                declared=service.name,
                team=service.team,
                cores=service.cores,
                memory_mb=service.memory_mb,
                accelerators=service.accelerators,
                priority=PRIORITIES[service.priority],
                slots=service.slots,
                connections=service.connections,
                depends_on=service.depends_on,
                digest=digest,
            )
    for job in declaration.jobs.values():
        digest = _compute_digest(job)
        for index in range(job.tasks):
            name = f"job/{job.name}/{index}"
            specs[name] = TaskSpec(
                name=name,
                kind="batch",
                declared=job.name,
                team=job.team,
                cores=job.cores,
                memory_mb=job.memory_mb,
                accelerators=job.accelerators,
                priority=PRIORITIES[job.priority],
                run_time_ms=job.run_time_ms,
                checkpointing=job.checkpointing,
                depends_on=job.depends_on,
                digest=digest,
            )
    return specs


def diff_declarations(old: Declaration, new: Declaration) -> list[str]:
    """Describe the sections that were added, removed or changed, in one line each.

    Parameters
    ----------
    old, new : Declaration
        Validated declarations.

    Returns
    -------
    list of str
        Lines that start with ``+`` (added), ``-`` (removed) or ``~`` (changed, followed by the old
        and the new value of each changed field).
    """
    lines: list[str] = []
    for kind, field in (
        ("team", "teams"),
        ("service", "services"),
        ("request", "requests"),
        ("job", "jobs"),
    ):
        before, after = getattr(old, field), getattr(new, field)
        for key in sorted(before.keys() | after.keys()):
            name = "/".join(key) if isinstance(key, tuple) else key
            if key not in before:
                lines.append(f"+ [{kind} {name}]")
            elif key not in after:
                lines.append(f"- [{kind} {name}]")
            elif before[key] != after[key]:
                lines.append(f"~ [{kind} {name}] {_format_changes(before[key], after[key])}")
    return lines


def _format_changes(before: object, after: object) -> str:
    pairs = zip(attrs.asdict(before).items(), attrs.asdict(after).values(), strict=True)
    return ", ".join(f"{key}: {old} -> {new}" for (key, old), new in pairs if old != new)
