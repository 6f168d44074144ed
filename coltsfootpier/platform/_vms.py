"""Client of the service that lists worker VMs and starts their maintenance."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.maintenance import MaintenanceCommand, MaintenanceOutcome, VmState, WorkerVm
from coltsfootpier.platform._fields import (
    InvalidFieldError,
    describe,
    read_list,
    read_text,
    require_object,
)
from coltsfootpier.platform._wire import BASE_PATH, load_object, read_reason
from coltsfootpier.transport import BadReply, CallError, HttptoolsPool, NotSent, Reply

# Enough for a listing and commands to a few VMs at the same time.
_CONNECTIONS = 4
# Maximum number of pages of one listing. The system is designed for 650 workers, which fit into a
# few pages.
_MAX_PAGES = 100
_MAX_TOKEN_BYTES = 4_096
_STATES = {state.value: state for state in VmState}
_OUTCOME_BY_REASON = {
    "fence": MaintenanceOutcome.FENCED,
    "busy": MaintenanceOutcome.BUSY,
    "wave": MaintenanceOutcome.FOREIGN,
}


class VmClient:
    """Client of the service that lists worker VMs and starts their maintenance.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    holder : str
        Name of the entry VM that sends the commands.
    token : int
        Fencing token of the owner that sends the commands.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, holder: str, token: int) -> None:
        self._pool = HttptoolsPool(host=host, port=port, clock=clock, connections=_CONNECTIONS)
        self._headers = (("duty-holder", holder), ("fencing-token", str(token)))

    async def list_vms(self, *, timeout_ms: float) -> Result[tuple[WorkerVm, ...], CallError]:
        """List all worker VMs; the pages are not one snapshot.

        Parameters
        ----------
        timeout_ms : float
            Time allowed for each page.
        """
        vms: list[WorkerVm] = []
        page_token = ""
        for _ in range(_MAX_PAGES):
            query = f"?page_token={quote(page_token, safe='')}" if page_token else ""
            result = await self._pool.exchange(
                "GET", f"{BASE_PATH}/machines{query}", timeout_ms=timeout_ms
            )
            if isinstance(result, Failure):
                return result
            page = _decode_page(result.unwrap())
            if isinstance(page, Failure):
                return page
            listed, page_token = page.unwrap()
            vms += listed
            if not page_token:
                return Success(tuple(vms))
        return Failure(BadReply(f"the listing has more than {_MAX_PAGES} pages"))

    async def start_maintenance(
        self, command: MaintenanceCommand, *, timeout_ms: float
    ) -> MaintenanceOutcome:
        """Start the maintenance of a VM, which ends all runs on it at once."""
        result = await self._pool.exchange(
            "POST",
            f"{BASE_PATH}/machine-upkeep",
            headers=self._headers,
            body=orjson.dumps({"machine": command.vm_id, "wave": command.wave}),
            timeout_ms=timeout_ms,
        )
        if isinstance(result, Failure):
            is_unsent = isinstance(result.failure(), NotSent)
            return MaintenanceOutcome.REFUSED if is_unsent else MaintenanceOutcome.UNKNOWN
        reply = result.unwrap()
        if reply.status == 200:
            return MaintenanceOutcome.BEGUN
        if reply.status == 409:
            return _OUTCOME_BY_REASON.get(read_reason(reply), MaintenanceOutcome.REFUSED)
        if reply.status == 400:
            # There is no such VM.
            return MaintenanceOutcome.FOREIGN
        return (
            MaintenanceOutcome.REFUSED if reply.status in (429, 503) else MaintenanceOutcome.UNKNOWN
        )

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()


def _decode_page(reply: Reply) -> Result[tuple[list[WorkerVm], str], CallError]:
    """Return the VMs of a page and the token of the next page, empty after the last page."""
    if reply.status != 200:
        return Failure(BadReply(f"unexpected status {reply.status}", reply.status))
    value = load_object(reply)
    try:
        vms = [_decode_vm(row) for row in read_list(value, "machines")]
        # The last page has no token, or null.
        has_next = value.get("next_token") is not None
        next_token = read_text(value, "next_token", max_bytes=_MAX_TOKEN_BYTES) if has_next else ""
        return Success((vms, next_token))
    except InvalidFieldError as error:
        return Failure(BadReply(f"malformed listing of worker VMs: {error}", reply.status))


def _decode_vm(value: Any) -> WorkerVm:
    fields = require_object("a VM", value)
    state = _STATES.get(read_text(fields, "state"))
    if state is None:
        raise InvalidFieldError(f"state is {describe(fields['state'])}")
    # The platform's `id` identifies the runner, not the VM; a VM that is switched off has none.
    has_runner = fields.get("id") is not None
    return WorkerVm(
        id=read_text(fields, "machine"),
        state=state,
        runner_id=read_text(fields, "id") if has_runner else "",
    )
