"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable, Sequence
from typing import Any
from urllib.parse import quote

import attrs
import orjson
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.platform._messages import (
    ConditionFailed,
    Events,
    HistoryLost,
    Item,
    LeaseLost,
    Page,
    PlatformError,
    StoreLease,
    StoreUnavailable,
    StoreUnknown,
    Write,
)
from coltsfootpier.platform._wire import BASE_PATH
from coltsfootpier.transport import HttptoolsPool, NotSent, Reply

# Maximum number of conditions, writes and removals of one transaction, set by the platform.
MAX_ENTRIES = 32
# Connections for each kind of call. A call whose response is lost keeps its connection until its
# timeout, so attempts of a change, renewals of a lease and probes have pools of their own, each as
# large as the number of such calls in flight.
_GENERAL_CONNECTIONS = 4
_COMMIT_CONNECTIONS = 6
_RENEWAL_CONNECTIONS = 6
_PROBE_CONNECTIONS = 6
# Slowest transfer of a request, in bytes per ms: 4 Mbit/s. A fleet record of 1,500 runners has 260
# kB in base64.
_MIN_BYTES_PER_MS = 500.0
# Concurrent watches.
_WATCH_CONNECTIONS = 4


@attrs.define
class _CallCounts:
    """Number of calls, of calls without effect, and of calls with an unknown outcome."""

    calls: int = 0
    unavailable: int = 0
    unknown: int = 0


class StoreClient:
    """Client of the store, with values as bytes.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Time source.
    timeout_ms : float
        Time allowed for one call, apart from the transfer of a long request, and for the time
        between two parts of a response.
    """

    def __init__(self, *, host: str, port: int, clock: Clock, timeout_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._general_pool = HttptoolsPool(
            host=host, port=port, clock=clock, connections=_GENERAL_CONNECTIONS
        )
        self._commit_pool = HttptoolsPool(
            host=host, port=port, clock=clock, connections=_COMMIT_CONNECTIONS
        )
        self._renewal_pool = HttptoolsPool(
            host=host, port=port, clock=clock, connections=_RENEWAL_CONNECTIONS
        )
        self._probe_pool = HttptoolsPool(
            host=host, port=port, clock=clock, connections=_PROBE_CONNECTIONS
        )
        self._watch_pool = HttptoolsPool(
            host=host, port=port, clock=clock, connections=_WATCH_CONNECTIONS
        )
        self.counts = _CallCounts()

    async def get(
        self, key: str, *, timeout_ms: float | None = None
    ) -> Result[Item, PlatformError]:
        """Read one key; a missing key has version 0."""
        return await self._get(key, self._general_pool, timeout_ms)

    async def probe(self, key: str, *, timeout_ms: float) -> Result[Item, PlatformError]:
        """Read one key on a connection that other calls never occupy."""
        return await self._get(key, self._probe_pool, timeout_ms)

    async def _get(
        self, key: str, pool: HttptoolsPool, timeout_ms: float | None
    ) -> Result[Item, PlatformError]:
        target = f"/kv-key?key={quote(key, safe='/')}"
        result = await self._call("GET", target, pool=pool, timeout_ms=timeout_ms)
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status == 404:
            return Success(Item(key))
        return _decode_success(reply, _decode_item)

    async def list_page(
        self, prefix: str, *, after: str = "", allow_stale: bool = False
    ) -> Result[Page, PlatformError]:
        """Read one page of the items under a prefix.

        Parameters
        ----------
        prefix : str
            Common prefix of the keys.
        after : str
            Key of the last item of the previous page.
        allow_stale : bool
            Whether the response may be seconds old; it costs a tenth of a current one.
        """
        target = f"/kv-range?prefix={quote(prefix, safe='/')}"
        if after:
            target += f"&after={quote(after, safe='/')}"
        if allow_stale:
            target += "&allow_stale=1"
        result = await self._call("GET", target)
        return result.bind(lambda reply: _decode_success(reply, _decode_page))

    async def list_all(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Result[list[Item], PlatformError]:
        """Read all items under a prefix; the pages are not one snapshot."""
        items: list[Item] = []
        while True:
            result = await self.list_page(
                prefix, after=items[-1].key if items else "", allow_stale=allow_stale
            )
            if isinstance(result, Failure):
                return result
            page = result.unwrap()
            items.extend(page.items)
            if not page.has_more or not page.items:
                return Success(items)

    async def watch(
        self, prefix: str, *, after: int, wait_ms: int
    ) -> Result[Events, PlatformError]:
        """Wait at most `wait_ms` for changes under a prefix after the store revision `after`.

        Returns
        -------
        Result of Events or PlatformError
            `HistoryLost` when the changes are no longer available and a listing is required.
        """
        target = f"/kv-watch?prefix={quote(prefix, safe='/')}&after={after}&wait_ms={wait_ms}"
        result = await self._call(
            "GET", target, pool=self._watch_pool, timeout_ms=wait_ms + self._timeout_ms
        )
        if isinstance(result, Success) and result.unwrap().status == 410:
            return Failure(HistoryLost(after))
        return result.bind(lambda reply: _decode_success(reply, _decode_events))

    async def commit(
        self,
        *,
        expect: dict[str, int],
        puts: Iterable[Write] = (),
        remove: Sequence[str] = (),
    ) -> Result[int, PlatformError]:
        """Change several keys in one transaction if all conditions of `expect` hold.

        Parameters
        ----------
        expect : dict of str to int
            Revision that each key must have; 0 when it must not exist.
        puts : iterable of Write
            Keys to write.
        remove : sequence of str
            Keys to remove.

        Returns
        -------
        Result of int or PlatformError
            The revision of the change. `ConditionFailed` holds the current items;
            `StoreUnknown` means that the change may have taken effect or may do so later.
        """
        body = {
            "expect": [{"key": key, "revision": revision} for key, revision in expect.items()],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(remove),
        }
        result = await self._call("POST", "/kv-txn", body=body, pool=self._commit_pool)
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.status == 412:
            return _decode_status(reply, 412, _decode_page).bind(
                lambda page: Failure(ConditionFailed(page.items))
            )
        if reply.status == 404:
            return Failure(LeaseLost(""))
        return _decode_success(reply, lambda value: int(value["revision"]))

    async def grant_lease(self, *, ttl_ms: float) -> Result[StoreLease, PlatformError]:
        """Obtain a lease."""
        result = await self._call("POST", "/kv-lease", body={"ttl_ms": int(ttl_ms)})
        return result.bind(
            lambda reply: _decode_success(
                reply, lambda value: StoreLease(int(value["lease"]), float(value["ttl_ms"]))
            )
        )

    async def renew_lease(self, lease: int) -> Result[float, PlatformError]:
        """Renew a lease; return its time to live in ms, or `LeaseLost` if it has ended."""
        result = await self._call("POST", f"/kv-keep/{lease}", body={}, pool=self._renewal_pool)
        if isinstance(result, Success) and result.unwrap().status == 404:
            return Failure(LeaseLost(str(lease)))
        return result.bind(
            lambda reply: _decode_success(reply, lambda value: float(value["ttl_ms"]))
        )

    async def revoke_lease(self, lease: int) -> Result[None, PlatformError]:
        """End a lease and remove its keys."""
        result = await self._call("DELETE", f"/kv-lease-end/{lease}")
        return result.bind(
            lambda reply: (
                Success(None)
                if reply.status in (200, 204, 404)
                else _build_status_failure(reply.status)
            )
        )

    def close(self) -> None:
        """Close the idle connections."""
        for pool in (
            self._general_pool,
            self._commit_pool,
            self._renewal_pool,
            self._probe_pool,
            self._watch_pool,
        ):
            pool.close()

    async def _call(
        self,
        method: str,
        target: str,
        *,
        body: object = None,
        pool: HttptoolsPool | None = None,
        timeout_ms: float | None = None,
    ) -> Result[Reply, PlatformError]:
        self.counts.calls += 1
        content = b"" if body is None else orjson.dumps(body)
        result = await (pool or self._general_pool).exchange(
            method,
            BASE_PATH + target,
            body=content,
            timeout_ms=(timeout_ms or self._timeout_ms) + len(content) / _MIN_BYTES_PER_MS,
            is_extended=method == "GET",
        )
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, NotSent):
                self.counts.unavailable += 1
                return Failure(StoreUnavailable(error.reason))
            self.counts.unknown += 1
            return Failure(StoreUnknown(error.reason))
        reply = result.unwrap()
        if reply.status in (429, 503):
            self.counts.unavailable += 1
            return Failure(
                StoreUnavailable(f"the store rejected the call with status {reply.status}")
            )
        return Success(reply)


def _build_status_failure(status: int) -> Failure[StoreUnknown]:
    return Failure(StoreUnknown(f"unexpected status {status}"))


def _decode_success(reply: Reply, decode: Any) -> Result[Any, PlatformError]:
    return _decode_status(reply, 200, decode)


def _decode_status(reply: Reply, status: int, decode: Any) -> Result[Any, PlatformError]:
    if reply.status != status:
        return _build_status_failure(reply.status)
    try:
        return Success(decode(orjson.loads(reply.body)))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        # A malformed body doesn't show whether a write took effect.
        return Failure(StoreUnknown(f"malformed response of the store: {error!r}"))


def _decode_item(value: dict[str, Any]) -> Item:
    if value.get("deleted"):
        return Item(value["key"], None, 0, value["revision"])
    revision = int(value.get("revision", 0))
    encoded = value.get("value")
    if revision == 0 or encoded is None:
        return Item(value["key"])
    try:
        content = base64.b64decode(encoded, validate=True)
    except (binascii.Error, TypeError, ValueError):
        # Another writer stored a value that isn't base64. The raw text is returned, so that the
        # reader of the key reports that it can't decode the value.
        content = str(encoded).encode("utf-8", "replace")
    return Item(value["key"], content, revision, revision)


def _decode_page(value: dict[str, Any]) -> Page:
    return Page(
        items=tuple(_decode_item(item) for item in value["items"]),
        has_more=bool(value.get("has_more", False)),
        store_revision=int(value.get("store_revision", 0)),
    )


def _decode_events(value: dict[str, Any]) -> Events:
    return Events(
        items=tuple(_decode_item(event) for event in value["events"]),
        store_revision=int(value["store_revision"]),
    )
