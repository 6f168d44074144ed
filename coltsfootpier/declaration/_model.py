"""Data model of declarations."""

from __future__ import annotations

import attrs

# Numbers of the declared priorities; higher is more urgent.
PRIORITIES = {"low": 0, "normal": 1, "high": 2, "urgent": 3}


@attrs.frozen(kw_only=True)
class Team:
    """Team with its fair-sharing weight and quota.

    Parameters
    ----------
    weight : float
        Weight of the team in the fair sharing of cores.
    cores, memory_mb, accelerators : float, int, int
        Quota for all tasks of the team together; memory in MB.
    """

    name: str
    weight: float
    cores: float
    memory_mb: int
    accelerators: int


@attrs.frozen(kw_only=True)
class Service:
    """Latency-critical service that is served by several runners.

    Parameters
    ----------
    runners : int
        Number of runners.
    slots, connections : int
        Concurrent requests and connections that one runner accepts.
    cores, memory_mb, accelerators : float, int, int
        Resources of one runner; memory in MB.
    latency_ms : float
        Latency objective of a request.
    objective : float
        Share of requests that must meet the latency objective, between 0 and 1.
    priority : str
        Priority of the runners when tasks are scheduled, a key of ``PRIORITIES``.
    depends_on : tuple of str
        Names of the services and jobs that the service depends on.
    """

    name: str
    team: str
    runners: int
    slots: int
    connections: int
    cores: float
    memory_mb: int
    accelerators: int
    latency_ms: float
    objective: float
    priority: str
    depends_on: tuple[str, ...]


@attrs.frozen(kw_only=True)
class RequestKind:
    """Kind of request of one service.

    Parameters
    ----------
    idempotent : bool
        Whether a request can safely run twice.
    exclusive : bool
        Whether requests with the same exclusive key must not run concurrently.
    max_run_ms : float
        Maximum time that a runner takes to process a request.
    guaranteed_share : float
        Share of the service's slots that the kind gets under overload, between 0 and 1.
    weight : float
        Weight of the kind when the slots that aren't guaranteed to any kind are divided.
    priority : str
        Priority among requests that wait for a slot, a key of ``PRIORITIES``.
    """

    service: str
    name: str
    idempotent: bool
    exclusive: bool
    max_run_ms: float
    weight: float
    guaranteed_share: float
    priority: str


@attrs.frozen(kw_only=True)
class Job:
    """Batch job.

    Parameters
    ----------
    tasks : int
        Number of tasks in one run.
    cores, memory_mb, accelerators : float, int, int
        Resources of one task; memory in MB.
    run_time_ms : float
        Expected run time of a task; only a hint.
    priority : str
        Priority of the tasks when they are scheduled, a key of ``PRIORITIES``.
    checkpointing : bool
        Whether a task can resume from a checkpoint.
    every_ms : float
        Period at which a new run is due; 0 for a job that runs once.
    depends_on : tuple of str
        Names of the services and jobs that the job depends on.
    """

    name: str
    team: str
    tasks: int
    cores: float
    memory_mb: int
    accelerators: int
    run_time_ms: float
    priority: str
    checkpointing: bool
    every_ms: float
    depends_on: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Declaration:
    """Validated declaration.

    Parameters
    ----------
    teams, services, jobs : dict
        Teams, services and jobs by name.
    requests : dict of tuple of str to RequestKind
        Request kinds by name of the service and name of the kind.
    """

    teams: dict[str, Team]
    services: dict[str, Service]
    requests: dict[tuple[str, str], RequestKind]
    jobs: dict[str, Job]

    @classmethod
    def empty(cls) -> Declaration:
        """Return a declaration without any entries."""
        return cls(teams={}, services={}, requests={}, jobs={})
