"""Stand-in for the service that lists worker VMs and takes them down for maintenance.

Runners report their VM (``POST /worker``). Maintenance ends the incarnation of the runner through
its ``POST /end``; the runner returns with another name after `MAINTENANCE_MS`.
"""

from __future__ import annotations

from typing import Any

import attrs
from returns.result import Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport import HttpResponse, HttptoolsConnection

MAINTENANCE_MS = 1_000.0
# VMs per page; small, so that a few runners already fill several pages.
_PAGE_SIZE = 2
_CALL_TIMEOUT_MS = 2_000.0


@attrs.define
class _Vm:
    runner: str
    port: int
    state: str = "up"
    waves: set[int] = attrs.field(factory=set)
    highest_token: int = 0


class WorkerVms:
    """State of the worker VMs.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._vms: dict[str, _Vm] = {}
        # VM, wave, holder, runner and times of each maintenance run; tests check them.
        self.maintenance_runs: list[dict[str, Any]] = []

    def update_worker(self, worker: dict[str, Any]) -> None:
        """Set the runner of a VM, which ends its maintenance.

        An empty name of the runner marks the VM as down.
        """
        vm = self._vms.setdefault(worker["id"], _Vm("", 0))
        if not worker["runner"]:
            vm.state, vm.runner = "down", ""
            return
        vm.state, vm.runner, vm.port = "up", worker["runner"], worker["port"]
        for maintenance_run in self.maintenance_runs:
            if maintenance_run["machine"] == worker["id"]:
                maintenance_run.setdefault("end_ms", self._clock.now_ms())

    def list(self, page_token: str) -> HttpResponse:
        """Return the page of the VM list that follows a token."""
        names = sorted(name for name in self._vms if name > page_token)
        rows = [
            {
                "machine": name,
                "pool": "p",
                "state": self._vms[name].state,
                "zone": "zone-a",
                "labels": ["a", "r1"],
                "id": self._vms[name].runner or None,
            }
            for name in names[:_PAGE_SIZE]
        ]
        return HttpResponse.from_message(
            {
                "machines": rows,
                "next_token": names[_PAGE_SIZE - 1] if len(names) > _PAGE_SIZE else None,
            }
        )

    async def start_maintenance(
        self, command: dict[str, Any], headers: dict[bytes, bytes]
    ) -> HttpResponse:
        """Take a VM down for maintenance, once for each wave.

        Requests with an outdated fencing token and requests for a VM that isn't up are rejected.
        """
        vm = self._vms.get(command["machine"])
        if vm is None:
            return HttpResponse.from_message({}, 400)
        token = int(headers.get(b"fencing-token", b"0"))
        if token < vm.highest_token:
            return HttpResponse.from_message({"reason": "fence"}, 409)
        vm.highest_token = token
        if command["wave"] in vm.waves:
            return HttpResponse.from_message({})
        if vm.state != "up":
            return HttpResponse.from_message({"reason": "busy"}, 409)
        vm.state, runner, vm.runner = "upkeep", vm.runner, ""
        vm.waves.add(command["wave"])
        self.maintenance_runs.append(
            {
                "machine": command["machine"],
                "wave": command["wave"],
                "holder": headers.get(b"duty-holder", b"").decode(),
                "runner": runner,
                "begin_ms": self._clock.now_ms(),
            }
        )
        connection = HttptoolsConnection(host="127.0.0.1", port=vm.port)
        result = await connection.exchange("POST", "/end", timeout_ms=_CALL_TIMEOUT_MS)
        connection.close()
        if not isinstance(result, Success):
            # The runner process no longer exists.
            vm.state = "down"
        return HttpResponse.from_message({})
