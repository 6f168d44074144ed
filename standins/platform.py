"""Stand-in for the platform: key-value store, leases, watches and the list of VMs.

The store implements the protocol of the users' platform, as does the service for worker VMs
(`standins.vms`) at the same address. The list of VMs (``GET /v1/vms``) has no counterpart there; it
is an interface of this project.

Faults are set with ``POST /faults``: ``outage`` (calls are rejected), ``silent`` (calls get no
response), ``delay_ms``, ``lose_answers`` (writes take effect, but the connection is closed without
a response), ``rubbish`` (responses that aren't JSON), and ``mute_watches`` (watches end without
events, as if nothing had changed).

``POST /remove`` removes keys without ending their leases. ``GET /renewal`` returns as soon as a
lease is renewed, just before the response to the renewal is sent.
"""

from __future__ import annotations

import bisect
import sys
from collections import Counter
from typing import Any
from urllib.parse import parse_qs, unquote

import anyio
import attrs
import orjson
from absl import app, flags

from coltsfootpier.clock import Clock, MonotonicClock
from coltsfootpier.transport import (
    BodyError,
    HttpResponse,
    Scope,
    Server,
    read_body,
    send_response,
)
from standins.vms import WorkerVms

_MAX_VALUE_CHARS = 1_000_000
# Maximum number of items per page of a range.
_PAGE_SIZE = 500
# Maximum number of expected revisions, writes and deletions of one transaction together.
_MAX_TRANSACTION_ENTRIES = 32
_LEASE_PREFIX = "lease-"
# Changes kept for watches; a watch that is further behind must list again.
_MAX_HISTORY_LENGTH = 10_000

# Time between the renewal of a lease that a test awaits and its response.
_AWAITED_RENEWAL_MS = 50.0


@attrs.define
class _Entry:
    value: Any
    version: int
    lease: str


@attrs.define
class Faults:
    """Injected faults; defaults mean none."""

    outage: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    rubbish: bool = False
    mute_watches: bool = False


class Store:
    """State of the key-value service.

    Parameters
    ----------
    clock : Clock
        Time source.

    Attributes
    ----------
    revision : int
        Revision of the store, which increases with each change.
    changed : anyio.Event
        Set at the next change of a key, and then replaced by a new event.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        # Time to live and end of each lease in ms.
        self._leases: dict[str, tuple[float, float]] = {}
        # Revision and key of each change, oldest first.
        self._history: list[tuple[int, str]] = []
        self.revision = 0
        self.changed = anyio.Event()

    def get(self, key: str) -> dict[str, Any]:
        """Return the item of a key; version 0 if there is none."""
        entry = self._entries.get(key)
        if entry is None:
            return {"key": key, "value": None, "version": 0}
        return {"key": key, "value": entry.value, "version": entry.version}

    def put(self, key: str, value: Any, expected: int, lease: str) -> bool:
        """Write a key if its version is the expected one and its lease, if any, exists."""
        if self.get(key)["version"] != expected or (lease and lease not in self._leases):
            return False
        self._record_change(key)
        self._entries[key] = _Entry(value, self.revision, lease)
        return True

    def write_batch(self, puts: dict[str, tuple[Any, str]], remove: list[str]) -> None:
        """Write and delete keys at one revision; each value is paired with its lease."""
        self.revision += 1
        for key, (value, lease) in puts.items():
            self._entries[key] = _Entry(value, self.revision, lease)
        for key in remove:
            self._entries.pop(key, None)
        self._publish([*puts, *remove])

    def delete(self, key: str, expected: int) -> bool:
        """Delete a key if its version is the expected one."""
        if key not in self._entries or self._entries[key].version != expected:
            return False
        del self._entries[key]
        self._record_change(key)
        return True

    def list(self, prefix: str) -> list[dict[str, Any]]:
        """Return all items whose key has a prefix."""
        return [self.get(key) for key in sorted(self._entries) if key.startswith(prefix)]

    def list_changes(self, prefix: str, after_revision: int) -> list[dict[str, Any]] | None:
        """Return the items under a prefix that changed after a revision.

        Returns None if the history no longer contains all changes since then.
        """
        if self._history and after_revision < self._history[0][0] - 1:
            return None
        # The history is sorted by revision.
        first = bisect.bisect_right(self._history, after_revision, key=lambda change: change[0])
        keys = {key for _, key in self._history[first:]}
        return [self.get(key) for key in sorted(keys) if key.startswith(prefix)]

    def grant(self, ttl_ms: float) -> str:
        """Grant a lease with a time to live of `ttl_ms` and return its name."""
        self.revision += 1
        lease = f"lease-{self.revision}"
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return lease

    def renew(self, lease: str) -> bool:
        """Renew a lease for its time to live; return False if it doesn't exist."""
        if lease not in self._leases:
            return False
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return True

    def read_ttl(self, lease: str) -> float | None:
        """Return the time to live of a lease in ms, or None if it doesn't exist."""
        found = self._leases.get(lease)
        return found[0] if found is not None else None

    def revoke(self, lease: str) -> bool:
        """Revoke a lease and delete its keys; return False if it doesn't exist."""
        if self._leases.pop(lease, None) is None:
            return False
        for key in [key for key, entry in self._entries.items() if entry.lease == lease]:
            del self._entries[key]
            self._record_change(key)
        return True

    def expire_leases(self) -> None:
        """Revoke all expired leases."""
        now_ms = self._clock.now_ms()
        for lease in [name for name, (_, end_ms) in self._leases.items() if end_ms <= now_ms]:
            self.revoke(lease)

    def _record_change(self, key: str) -> None:
        self.revision += 1
        self._publish([key])

    def _publish(self, keys: list[str]) -> None:
        self._history += [(self.revision, key) for key in keys]
        del self._history[:-_MAX_HISTORY_LENGTH]
        self.changed.set()
        self.changed = anyio.Event()


class PlatformApplication:
    """ASGI application of the stand-in for the platform.

    Parameters
    ----------
    clock : Clock
        Time source.
    vms_lag_ms : float
        Delay in ms until changes of VMs appear in the list.
    """

    def __init__(self, *, clock: Clock, vms_lag_ms: float) -> None:
        self.store = Store(clock=clock)
        self.worker_vms = WorkerVms(clock=clock)
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self._clock = clock
        self._is_renewal_awaited = False
        # Set at the next renewal of a lease that is awaited, and then replaced by a new event.
        self._renewed = anyio.Event()
        self._vms_lag_ms = vms_lag_ms
        self._vms: dict[str, dict[str, Any]] = {}
        # Changes that don't appear in the list of VMs yet, with the times at which they do.
        self._pending_vm_changes: list[tuple[float, dict[str, Any]]] = []

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await anyio.sleep(0.05)
            self.store.expire_leases()

    async def __call__(self, scope: Scope, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        try:
            body = await read_body(scope, receive, max_body_bytes=4 * _MAX_VALUE_CHARS)
        except BodyError as error:
            await send_response(send, error.response)
            return
        path = unquote(scope["path"])
        if path == "/faults":
            self.faults = Faults(**orjson.loads(body))
            await send_response(send, HttpResponse.from_message(attrs.asdict(self.faults)))
        elif path == "/remove":
            self.store.write_batch({}, orjson.loads(body)["keys"])
            await send_response(send, HttpResponse.from_message({}))
        elif path == "/renewal":
            self._is_renewal_awaited = True
            await self._renewed.wait()
            await send_response(send, HttpResponse.from_message({}))
        elif path == "/counts":
            await send_response(send, HttpResponse.from_message(dict(self.counts)))
        elif path == "/worker":
            self.worker_vms.update_worker(orjson.loads(body))
            await send_response(send, HttpResponse.from_message({}))
        elif path == "/upkeeps":
            await send_response(send, HttpResponse.from_message(self.worker_vms.maintenance_runs))
        elif path == "/vms":
            self._schedule_vm_change(orjson.loads(body))
            await send_response(send, HttpResponse.from_message({}))
        else:
            await self._process_request(scope, path, body, receive, send)

    async def _process_request(
        self, scope: Scope, path: str, body: bytes, receive: Any, send: Any
    ) -> None:
        faults = self.faults
        if faults.silent:
            while (await receive())["type"] != "http.disconnect":
                pass
            return
        await anyio.sleep(faults.delay_ms / 1000)
        if faults.outage:
            await send_response(send, HttpResponse.problem(503, "outage", "the store is down"))
            return
        if faults.rubbish:
            await send_response(send, HttpResponse(body=b"<html>"))
            return
        query = {
            name: values[0] for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        if path.startswith("/coltsfootpier/machine"):
            response = await self._handle_worker_vms(path, query, body, dict(scope["headers"]))
        else:
            response = await self._handle_store(scope["method"], path, query, body)
        if faults.lose_answers > 0 and scope["method"] != "GET":
            # The write has taken effect; only its response is lost.
            faults.lose_answers -= 1
            raise ConnectionAbortedError("response dropped by an injected fault")
        await send_response(send, response)

    async def _handle_store(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> HttpResponse:
        _, _, operation, *rest = path.split("/", 3)
        self.counts[f"{method} {operation}"] += 1
        if operation == "kv-key":
            item = self._describe_item(query["key"])
            return HttpResponse.from_message(item, 404 if item["revision"] == 0 else 200)
        if operation == "kv-range":
            return self._handle_range(query)
        if operation == "kv-watch":
            return await self._handle_watch(query)
        if operation == "kv-txn":
            return self._handle_transaction(orjson.loads(body))
        if operation == "kv-lease":
            ttl_ms = orjson.loads(body)["ttl_ms"]
            lease = int(self.store.grant(ttl_ms).removeprefix(_LEASE_PREFIX))
            return HttpResponse.from_message({"lease": lease, "ttl_ms": ttl_ms})
        if operation == "kv-keep" and rest:
            exists = self.store.renew(_LEASE_PREFIX + rest[0])
            if exists and self._is_renewal_awaited:
                self._is_renewal_awaited = False
                self._renewed.set()
                self._renewed = anyio.Event()
                await anyio.sleep(_AWAITED_RENEWAL_MS / 1000)
            return HttpResponse.from_message(
                {"ttl_ms": self.store.read_ttl(_LEASE_PREFIX + rest[0])} if exists else {},
                200 if exists else 404,
            )
        if operation == "kv-lease-end" and rest:
            exists = self.store.revoke(_LEASE_PREFIX + rest[0])
            return HttpResponse.from_message({}, 200 if exists else 404)
        if operation == "vms":
            return HttpResponse.from_message({"vms": self._list_vms()})
        return HttpResponse.problem(404, "unknown_path", path)

    async def _handle_worker_vms(
        self, path: str, query: dict[str, str], body: bytes, headers: dict[bytes, bytes]
    ) -> HttpResponse:
        if path == "/coltsfootpier/machines":
            return self.worker_vms.list(query.get("page_token", ""))
        if path == "/coltsfootpier/machine-upkeep":
            return await self.worker_vms.start_maintenance(orjson.loads(body), headers)
        return HttpResponse.problem(404, "unknown_path", path)

    def _describe_item(self, key: str) -> dict[str, Any]:
        item = self.store.get(key)
        return {
            "key": key,
            "value": item["value"],
            "revision": item["version"],
            "store_revision": self.store.revision,
        }

    def _handle_range(self, query: dict[str, str]) -> HttpResponse:
        keys = [
            item["key"]
            for item in self.store.list(query["prefix"])
            if item["key"] > query.get("after", "")
        ]
        return HttpResponse.from_message(
            {
                "items": [self._describe_item(key) for key in keys[:_PAGE_SIZE]],
                "has_more": len(keys) > _PAGE_SIZE,
                "store_revision": self.store.revision,
            }
        )

    def _handle_transaction(self, change: dict[str, Any]) -> HttpResponse:
        entries = sum(len(change[name]) for name in ("expect", "puts", "remove"))
        values = [put["value"] for put in change["puts"]]
        if entries > _MAX_TRANSACTION_ENTRIES or any(
            len(value) > _MAX_VALUE_CHARS for value in values
        ):
            return HttpResponse.problem(400, "too_large", f"{entries} entries")
        leases = {put.get("lease", 0) for put in change["puts"]} - {0}
        if not all(self.store.read_ttl(f"{_LEASE_PREFIX}{lease}") for lease in leases):
            return HttpResponse.problem(404, "no_such_lease", str(leases))
        current = [self._describe_item(row["key"]) for row in change["expect"]]
        expected_revisions = [row["revision"] for row in change["expect"]]
        if [item["revision"] for item in current] != expected_revisions:
            return HttpResponse.from_message({"items": current}, 412)
        puts = {
            put["key"]: (put["value"], f"{_LEASE_PREFIX}{put['lease']}" if put.get("lease") else "")
            for put in change["puts"]
        }
        self.store.write_batch(puts, change["remove"])
        return HttpResponse.from_message({"revision": self.store.revision})

    async def _handle_watch(self, query: dict[str, str]) -> HttpResponse:
        after_revision = int(query["after"])
        end_ms = self._clock.now_ms() + float(query["wait_ms"])
        while True:
            event, revision = self.store.changed, self.store.revision
            items = self.store.list_changes(query["prefix"], after_revision)
            if items is None:
                return HttpResponse.problem(410, "history_lost", f"after {after_revision}")
            remaining_ms = end_ms - self._clock.now_ms()
            if self.faults.mute_watches:
                items, revision = [], after_revision
            if items or remaining_ms <= 0:
                events = [self._describe_watch_event(item["key"]) for item in items]
                return HttpResponse.from_message({"events": events, "store_revision": revision})
            with anyio.move_on_after(remaining_ms / 1000):
                await event.wait()

    def _describe_watch_event(self, key: str) -> dict[str, Any]:
        item = self._describe_item(key)
        if item["revision"]:
            return item
        return {"key": key, "revision": item["store_revision"], "deleted": True}

    def _schedule_vm_change(self, vm: dict[str, Any]) -> None:
        self._pending_vm_changes.append((self._clock.now_ms() + self._vms_lag_ms, vm))

    def _list_vms(self) -> list[dict[str, Any]]:
        now_ms = self._clock.now_ms()
        for due_ms, vm in list(self._pending_vm_changes):
            if due_ms <= now_ms:
                self._pending_vm_changes.remove((due_ms, vm))
                self._vms[vm["name"]] = {**self._vms.get(vm["name"], {}), **vm}
        return list(self._vms.values())


async def serve(host: str, port: int, vms_lag_ms: float) -> None:
    """Serve the stand-in until cancelled, and print the port."""
    application = PlatformApplication(clock=MonotonicClock(), vms_lag_ms=vms_lag_ms)
    server = Server(app=application, host=host, port=port)
    async with anyio.create_task_group() as group:
        group.start_soon(application.run)
        bound_port = await group.start(server.run)
        print(f"port={bound_port}", flush=True)


def _run(_: list[str]) -> int:
    options = flags.FLAGS
    anyio.run(
        serve,
        options.host,
        options.port,
        options.vms_lag_ms,
        backend_options={"use_uvloop": True},
    )
    return 0


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
    flags.DEFINE_integer("port", 0, "TCP port; 0 selects a free one.")
    flags.DEFINE_float("vms_lag_ms", 500.0, "Delay of changes in the list of VMs in milliseconds.")
    sys.exit(app.run(_run))
