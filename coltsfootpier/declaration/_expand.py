"""Expansion of a declaration into tasks, and comparison of two declarations."""

from __future__ import annotations

import hashlib

import attrs

from coltsfootpier.declaration._model import PRIORITIES, Declaration, Job, Service


@attrs.frozen(kw_only=True)
class TaskSpec:
    """Specification of one task.

    Parameters
    ----------
    name : str
        ``service/NAME/INDEX`` or ``job/NAME/INDEX``.
    kind : str
        ``service`` or ``batch``.
    declared : str
        Name of the declared service or job.
    cores, memory_mb, accelerators : float, int, int
        Resources of the task.
    priority : int
        Priority as a number; higher is more urgent.
    digest : str
        Hash that changes whenever the declared values of the task change.
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
    # A changed number of runners only adds or removes tasks; those that stay are unchanged.
    fields = {key: value for key, value in attrs.asdict(item).items() if key != "runners"}
    return hashlib.sha256(repr(sorted(fields.items())).encode()).hexdigest()[:12]


def expand(declaration: Declaration) -> dict[str, TaskSpec]:
    """Expand a declaration into task specifications by name.

    Parameters
    ----------
    declaration : Declaration
        Validated declaration.

    Returns
    -------
    dict of str to TaskSpec
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
    """Describe each section that was added, removed or changed in one line.

    Parameters
    ----------
    old, new : Declaration
        Validated declarations.

    Returns
    -------
    list of str
        Lines that start with ``+`` (added), ``-`` (removed) or ``~`` (changed).
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
