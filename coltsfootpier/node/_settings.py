"""Settings of a daemon from the platform, and the configuration that operators maintain."""

from __future__ import annotations

import attrs

from coltsfootpier.jobs import Queue
from coltsfootpier.transport import ConnectionLimits


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Settings that the platform gives a daemon: its entry VM, addresses and bounds; times in ms.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    availability_zone, ip : str
        Availability zone and IP address of the entry VM.
    callers, readiness : tuple of (str, int)
        Addresses to listen on for callers and for readiness probes.
    peer_port, metrics_port : int
        Ports for requests of other daemons and for metrics.
    store : tuple of (str, int)
        Address of the store.
    advice : tuple of (str, int), optional
        Address of the service that approves runners.
    vm_service : tuple of (str, int), optional
        Address of the service that lists worker VMs and takes them down for maintenance.
    min_lease_ms : float
        Shortest time to live of a lease that the store grants.
    cores : float
        Number of cores of this VM; may be a fraction.
    memory_mb, max_files : int
        Memory in MB and file descriptors that the process may use.
    max_run_lease_ms : float
        Longest lease of a run on a runner.
    stop_grace_ms : float
        Time that a run may take to stop.
    exit_grace_ms : float
        Time from SIGTERM until the process is killed.
    restore_ms : float
        Time that a task takes to resume from a checkpoint.
    status_kept_ms : float
        Retention time of the state of an ended job.
    upkeep_ms : float
        Time that the maintenance of a worker VM takes.
    order_pause_ms : float
        Minimum time between the commands of two owners for one worker VM.
    """

    name: str
    availability_zone: str
    ip: str
    callers: tuple[str, int]
    readiness: tuple[str, int]
    peer_port: int
    metrics_port: int
    store: tuple[str, int]
    advice: tuple[str, int] | None
    vm_service: tuple[str, int] | None
    min_lease_ms: float
    cores: float
    memory_mb: int
    max_files: int
    max_run_lease_ms: float
    stop_grace_ms: float
    exit_grace_ms: float
    restore_ms: float
    status_kept_ms: float
    upkeep_ms: float
    order_pause_ms: float


@attrs.frozen(kw_only=True)
class CallerLimits(ConnectionLimits):
    """Limits of callers' requests, from the configuration.

    Parameters
    ----------
    max_body_bytes : int
        Maximum length of a request body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class Route:
    """Rule that maps requests to a queue, by host and prefix of the path.

    Parameters
    ----------
    host : str
        Host that the requests name, without the port and in lower case.
    prefix : str
        Prefix of the path; a job identifier may follow it.
    timeout_ms : float
        Longest time in ms until the response to a request, also if the caller allows more.
    queue : Queue
        Queue of the jobs.
    """

    host: str
    prefix: str
    timeout_ms: float
    queue: Queue


@attrs.frozen(kw_only=True)
class Configuration:
    """A version of the operators' configuration.

    Parameters
    ----------
    version : int
        Increases with each change, not necessarily by one.
    routes : tuple of Route
        All routes.
    limits : CallerLimits
        Limits of callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits = CallerLimits()

    @property
    def queues(self) -> dict[str, Queue]:
        """Queues by name."""
        return {route.queue.name: route.queue for route in self.routes}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` for a host; None if there is none.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; the port is ignored.
        path : str
            Path of the request.
        """
        name = host.rsplit(":", 1)[0].lower()
        matching = (
            route for route in self.routes if route.host == name and path.startswith(route.prefix)
        )
        return max(matching, key=lambda route: len(route.prefix), default=None)
