"""Client of the store with JSON values and of the list of VMs, for `coltsfootpier.daemon`."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.platform._messages import (
    ConditionFailed,
    Conflict,
    HistoryLost,
    Item,
    Listing,
    PlatformError,
    StoreUnavailable,
    StoreUnknown,
    Vm,
    WatchResult,
    Write,
)
from coltsfootpier.platform._store import StoreClient
from coltsfootpier.transport import HttptoolsPool, MalformedMessageError, NotSent, decode


@attrs.frozen
class _VmList:
    vms: tuple[Vm, ...]


class PlatformClient:
    """Client of the store, for changes of a single key, and of the list of VMs.

    Parameters
    ----------
    host : str
        IP address of the platform.
    port : int
        TCP port.
    clock : Clock
        Time source.
    timeout_ms : float
        Time allowed for one call.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._store = StoreClient(host=host, port=port, clock=clock, timeout_ms=timeout_ms)
        self._vm_pool = HttptoolsPool(host=host, port=port, clock=clock, connections=1)

    @property
    def call_count(self) -> int:
        """Number of calls to the store so far."""
        return self._store.counts.calls

    async def get(self, key: str) -> Result[Item, PlatformError]:
        """Read one key; a missing key has version 0."""
        return (
            (await self._store.get(key))
            .bind(_decode_value)
            .bind(lambda item: _require_key(key, item))
        )

    async def put(
        self, key: str, value: Any, *, expected_version: int, lease: str = ""
    ) -> Result[Item, PlatformError]:
        """Write one key if its version is `expected_version` (0: it must not exist).

        Returns
        -------
        Result of Item or PlatformError
            `Conflict` holds the current item; `StoreUnknown` means that the write may have taken
            effect.
        """
        write = Write(key, orjson.dumps(value), int(lease or 0))
        result = await self._store.commit(expect={key: expected_version}, puts=[write])
        return _convert_commit_result(key, result, value)

    async def delete(self, key: str, *, expected_version: int) -> Result[Item, PlatformError]:
        """Delete one key if its version is `expected_version`."""
        result = await self._store.commit(expect={key: expected_version}, remove=[key])
        return _convert_commit_result(key, result.map(lambda _: 0), None)

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Read all items under a prefix, page by page."""
        items: list[Item] = []
        first_revision = 0
        has_more = True
        while has_more:
            result = await self._store.list_page(prefix, after=items[-1].key if items else "")
            if isinstance(result, Failure):
                return result
            page = result.unwrap()
            first_revision = first_revision or page.store_revision
            items.extend(page.items)
            has_more = page.has_more and bool(page.items)
        return _decode_values(items).map(lambda decoded: Listing(decoded, first_revision))

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int
    ) -> Result[WatchResult, PlatformError]:
        """Wait at most `wait_ms` for changes under a prefix after the store revision `after`."""
        result = await self._store.watch(prefix, after=after, wait_ms=wait_ms)
        if isinstance(result, Failure):
            if isinstance(result.failure(), HistoryLost):
                return Success(WatchResult((), after, is_history_lost=True))
            return result
        events = result.unwrap()
        return _decode_values(events.items).map(
            lambda items: WatchResult(items, events.store_revision)
        )

    async def grant_lease(self, *, ttl_ms: float) -> Result[str, PlatformError]:
        """Obtain a lease and return its identifier."""
        return (await self._store.grant_lease(ttl_ms=ttl_ms)).map(lambda lease: str(lease.id))

    async def renew_lease(self, lease: str) -> Result[str, PlatformError]:
        """Renew a lease and return its identifier; `LeaseLost` when it has already ended."""
        return (await self._store.renew_lease(int(lease))).map(lambda _: lease)

    async def revoke_lease(self, lease: str) -> Result[str, PlatformError]:
        """End a lease and delete its keys; return its identifier."""
        return (await self._store.revoke_lease(int(lease))).map(lambda _: lease)

    async def list_vms(self) -> Result[tuple[Vm, ...], PlatformError]:
        """Read the list of VMs, which may be out of date."""
        result = await self._vm_pool.exchange("GET", "/v1/vms", timeout_ms=self._timeout_ms)
        if isinstance(result, Failure):
            error = result.failure()
            error_type = StoreUnavailable if isinstance(error, NotSent) else StoreUnknown
            return Failure(error_type(error.reason))
        reply = result.unwrap()
        if reply.status != 200:
            return Failure(StoreUnavailable(f"unexpected status {reply.status}"))
        try:
            return Success(decode(reply.body, _VmList).vms)
        except MalformedMessageError as error:
            return Failure(StoreUnknown(str(error)))


def _decode_value(item: Item) -> Result[Item, PlatformError]:
    if item.value is None:
        return Success(item)
    try:
        return Success(attrs.evolve(item, value=orjson.loads(item.value)))
    except ValueError as error:
        return Failure(StoreUnknown(f"{item.key}: value is not valid JSON: {error}"))


def _decode_values(items: Any) -> Result[tuple[Item, ...], PlatformError]:
    decoded: list[Item] = []
    for item in items:
        result = _decode_value(item)
        if isinstance(result, Failure):
            return result
        decoded.append(result.unwrap())
    return Success(tuple(decoded))


def _require_key(key: str, item: Item) -> Result[Item, PlatformError]:
    if item.key != key:
        return Failure(StoreUnknown(f"the response is for key {item.key!r}, not {key!r}"))
    return Success(item)


def _convert_commit_result(
    key: str, result: Result[int, PlatformError], value: Any
) -> Result[Item, PlatformError]:
    if not isinstance(result, Failure):
        revision = result.unwrap()
        return Success(Item(key, value, revision, revision))
    error = result.failure()
    if not isinstance(error, ConditionFailed):
        return result
    current = next((item for item in error.items if item.key == key), Item(key))
    return _decode_value(current).bind(lambda item: Failure(Conflict(item)))
