"""Settings of a daemon, and the configuration that operators change."""

from __future__ import annotations

import attrs

from coltsfootpier.jobs import Queue
from coltsfootpier.transport import ConnectionLimits


@attrs.frozen(kw_only=True)
class NodeSettings:
    """What the platform tells a daemon about its entry VM and its bounds; times in ms.

    Parameters
    ----------
    name : str
        Name of the entry VM.
    availability_zone, ip : str
        Where it is.
    callers, readiness : tuple of (str, int)
        Addresses to listen on.
    peer_port, metrics_port : int
        Ports for the other daemons and for metrics.
    store : tuple of (str, int)
        Address of the store.
    advice : tuple of (str, int), optional
        Address of the service that approves runners.
    vm_service : tuple of (str, int), optional
        Address of the service that lists worker VMs and takes them down.
    min_lease_ms : float
        Shortest lease of the store.
    cores : float
        Processor share of this VM.
    max_files : int
        File descriptors that the process may use.
    max_run_lease_ms : float
        Longest lease of what runs on a runner.
    stop_grace_ms : float
        Time that a run may take to stop.
    exit_grace_ms : float
        Time from SIGTERM until the process is killed.
    restore_ms : float
        Time that a task takes to resume from a checkpoint.
    status_kept_ms : float
        Time for which the state of an ended job is kept.
    upkeep_ms : float
        Time that the upkeep of a worker VM takes.
    order_pause_ms : float
        Least time between orders of two owners for one worker VM.
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
    """Bounds of callers' requests, from the configuration.

    Parameters
    ----------
    max_body_bytes : int
        Longest body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen(kw_only=True)
class Route:
    """Which requests belong to a queue: those for a host whose path begins with a prefix."""

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
        Rises with each change, in uneven steps.
    routes : tuple of Route
        All routes.
    limits : CallerLimits
        Bounds of callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits = CallerLimits()

    @property
    def queues(self) -> dict[str, Queue]:
        """Queues by name."""
        return {route.queue.name: route.queue for route in self.routes}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` for a host.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; the port doesn't matter.
        path : str
            Path of the request.
        """
        name = host.rsplit(":", 1)[0].lower()
        matching = (
            route for route in self.routes if route.host == name and path.startswith(route.prefix)
        )
        return max(matching, key=lambda route: len(route.prefix), default=None)
