"""Stand-in for the service that lists worker VMs and takes them down for their upkeep.

Runners tell it where they live (``POST /worker``). An upkeep ends the life of the runner through
its ``POST /end``; it comes back with another identifier after `UPKEEP_MS`.
"""

from __future__ import annotations

from typing import Any

import attrs
from returns.result import Success

from coltsfootpier.clock import Clock
from coltsfootpier.transport import HttpResponse, LeanConnection

UPKEEP_MS = 1_000.0
# VMs of one page; small, so that several runners make several pages.
_PAGE = 2
_CALL_TIMEOUT_MS = 2_000.0


@attrs.define
class _Vm:
    runner: str
    port: int
    state: str = "up"
    waves: set[int] = attrs.field(factory=set)
    token: int = 0


class WorkerVms:
    """The worker VMs and their state.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._vms: dict[str, _Vm] = {}
        # When each upkeep began, and for which wave and holder, for the checks of tests.
        self.upkeeps: list[dict[str, Any]] = []

    def note_worker(self, worker: dict[str, Any]) -> None:
        """Take the runner that lives on a VM; a VM without one is down."""
        vm = self._vms.setdefault(worker["id"], _Vm("", 0))
        if not worker["runner"]:
            vm.state, vm.runner = "down", ""
            return
        vm.state, vm.runner, vm.port = "up", worker["runner"], worker["port"]
        for upkeep in self.upkeeps:
            if upkeep["machine"] == worker["id"]:
                upkeep.setdefault("end_ms", self._clock.now_ms())

    def list(self, page_token: str) -> HttpResponse:
        """Return a page of the listing."""
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
            for name in names[:_PAGE]
        ]
        return HttpResponse.of(
            {"machines": rows, "next_token": names[_PAGE - 1] if len(names) > _PAGE else None}
        )

    async def begin_upkeep(
        self, order: dict[str, Any], headers: dict[bytes, bytes]
    ) -> HttpResponse:
        """Take a VM down."""
        vm = self._vms.get(order["machine"])
        if vm is None:
            return HttpResponse.of({}, 400)
        token = int(headers.get(b"fencing-token", b"0"))
        if token < vm.token:
            return HttpResponse.of({"reason": "fence"}, 409)
        vm.token = token
        if order["wave"] in vm.waves:
            return HttpResponse.of({})
        if vm.state != "up":
            return HttpResponse.of({"reason": "busy"}, 409)
        vm.state, runner, vm.runner = "upkeep", vm.runner, ""
        vm.waves.add(order["wave"])
        self.upkeeps.append(
            {
                "machine": order["machine"],
                "wave": order["wave"],
                "holder": headers.get(b"duty-holder", b"").decode(),
                "runner": runner,
                "begin_ms": self._clock.now_ms(),
            }
        )
        connection = LeanConnection(host="127.0.0.1", port=vm.port)
        ended = await connection.exchange("POST", "/end", timeout_ms=_CALL_TIMEOUT_MS)
        connection.close()
        if not isinstance(ended, Success):
            # The process of the runner is gone already.
            vm.state = "down"
        return HttpResponse.of({})
