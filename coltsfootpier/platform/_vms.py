"""Worker VMs: their listing, and the order that takes one down for its upkeep."""

from __future__ import annotations

from urllib.parse import quote

import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.platform._wire import BASE_PATH, load_object
from coltsfootpier.transport import BadReply, CallError, LeanPool, NotSent, Reply
from coltsfootpier.upkeep import UpkeepOrder, UpkeepOutcome, VmState, WorkerVm

# A listing and orders for a few VMs at once.
_CONNECTIONS = 4
# Pages of one listing at most; the target's 650 workers fit into a few.
_MAX_PAGES = 100
_REASONS = {
    "fence": UpkeepOutcome.FENCED,
    "busy": UpkeepOutcome.BUSY,
    "wave": UpkeepOutcome.FOREIGN,
}


class VmClient:
    """Calls about worker VMs.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    clock : Clock
        Time source.
    holder : str
        Name of the entry VM that gives the orders.
    token : int
        Fencing token of the owner that gives the orders.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, holder: str, token: int) -> None:
        self._pool = LeanPool(host=host, port=port, clock=clock, connections=_CONNECTIONS)
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
            sent = await self._pool.exchange(
                "GET", f"{BASE_PATH}/machines{query}", timeout_ms=timeout_ms
            )
            if isinstance(sent, Failure):
                return sent
            page = _decode_page(sent.unwrap())
            if isinstance(page, Failure):
                return page
            listed, page_token = page.unwrap()
            vms += listed
            if not page_token:
                return Success(tuple(vms))
        return Failure(BadReply(f"a listing of over {_MAX_PAGES} pages"))

    async def begin_upkeep(self, order: UpkeepOrder, *, timeout_ms: float) -> UpkeepOutcome:
        """Order the upkeep of a VM, which ends everything on it at once."""
        sent = await self._pool.exchange(
            "POST",
            f"{BASE_PATH}/machine-upkeep",
            headers=self._headers,
            body=orjson.dumps({"machine": order.vm_id, "wave": order.wave}),
            timeout_ms=timeout_ms,
        )
        if isinstance(sent, Failure):
            refused = isinstance(sent.failure(), NotSent)
            return UpkeepOutcome.REFUSED if refused else UpkeepOutcome.UNKNOWN
        reply = sent.unwrap()
        if reply.status == 200:
            return UpkeepOutcome.BEGUN
        if reply.status == 409:
            return _REASONS.get(load_object(reply).get("reason"), UpkeepOutcome.REFUSED)
        if reply.status == 400:
            # There is no such VM.
            return UpkeepOutcome.FOREIGN
        return UpkeepOutcome.REFUSED if reply.status in (429, 503) else UpkeepOutcome.UNKNOWN

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()


def _decode_page(reply: Reply) -> Result[tuple[list[WorkerVm], str], CallError]:
    """Return the VMs of a page and the token of the next one; empty after the last page."""
    if reply.status != 200:
        return Failure(BadReply(f"status {reply.status}", reply.status))
    value = load_object(reply)
    try:
        vms = [
            WorkerVm(
                id=row["machine"],
                state=VmState(row["state"]),
                # The platform's `id` is that of the runner; a VM that is off has none.
                runner_id=str(row.get("id") or ""),
            )
            for row in value["machines"]
        ]
        return Success((vms, str(value.get("next_token") or "")))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Failure(BadReply(f"not a listing of worker VMs: {error!r}", reply.status))
