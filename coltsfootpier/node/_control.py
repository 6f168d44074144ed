"""What operators request in the store and who owns the cell, as each daemon watches it."""

from __future__ import annotations

from collections.abc import Iterable

import anyio
from returns.result import Failure

from coltsfootpier.journal import OwnerInfo, decode_owner
from coltsfootpier.logs import log_event
from coltsfootpier.maintenance import Wave
from coltsfootpier.node import _timing
from coltsfootpier.node._settings import Configuration
from coltsfootpier.node.keys import CONTROL_PREFIX, OWNER_KEY
from coltsfootpier.platform import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    WAVES_PREFIX,
    HistoryLost,
    Item,
    StoreClient,
    decode_configuration,
    decode_evacuated_zone,
    decode_wave,
)


class ControlState:
    """Latest requests of operators and owner of the cell, kept current by a store watch.

    Parameters
    ----------
    store : StoreClient
        The store.
    """

    def __init__(self, *, store: StoreClient) -> None:
        self._store = store
        self.configuration: Configuration | None = None
        # Maintenance waves by store key.
        self.waves: dict[str, Wave] = {}
        # Availability zones whose evacuation is requested.
        self.evacuated_zones: frozenset[str] = frozenset()
        self.owner: OwnerInfo | None = None
        self.owner_revision = 0
        # Whether the state has been read from the store at least once.
        self.is_synchronised = False
        self._changed = anyio.Event()
        self._is_store_reachable = True

    async def wait_change(self, timeout_ms: float) -> None:
        """Wait until a request of operators or the owner changes, at most `timeout_ms`."""
        changed = self._changed
        with anyio.move_on_after(timeout_ms / 1000):
            await changed.wait()

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            listed = await self._store.list_all(CONTROL_PREFIX)
            if isinstance(listed, Failure):
                self._record_failure(listed.failure())
                await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
                continue
            self._record_success()
            self.apply_listing(listed.unwrap())
            await self._watch(max((item.changed for item in listed.unwrap()), default=0))

    def apply_listing(self, listing: Iterable[Item]) -> None:
        """Apply all items under the prefix that the watch covers."""
        items = {item.key: item for item in listing}
        self._apply_item(items.get(CONFIG_KEY, Item(CONFIG_KEY)))
        self._apply_item(items.get(OWNER_KEY, Item(OWNER_KEY)))
        waves = {key: item for key, item in items.items() if key.startswith(WAVES_PREFIX)}
        for key in [*waves, *(set(self.waves) - set(waves))]:
            self._apply_wave(waves.get(key, Item(key)))
        self.evacuated_zones = frozenset()
        for key, item in items.items():
            if key.startswith(EVACUATIONS_PREFIX):
                self._apply_evacuation(item)
        self.is_synchronised = True
        self._notify()

    async def _watch(self, after: int) -> None:
        """Apply changes after a revision until the watch loses its history or the store fails."""
        while True:
            result = await self._store.watch(
                CONTROL_PREFIX, after=after, wait_ms=_timing.WATCH_WAIT_MS
            )
            if isinstance(result, Failure):
                error = result.failure()
                if isinstance(error, HistoryLost):
                    log_event("watch history lost", after=after)
                    return
                self._record_failure(error)
                await anyio.sleep(_timing.STORE_BACKOFF_MS / 1000)
                return
            self._record_success()
            events = result.unwrap()
            for item in events.items:
                self._apply_item(item)
            after = max(after, events.store_revision)
            if events.items:
                self._notify()

    def update_owner(self, owner: OwnerInfo, revision: int) -> None:
        """Set an owner that is known before the watch reports it; older revisions are ignored."""
        if revision > self.owner_revision:
            self.owner, self.owner_revision = owner, revision
            self._notify()

    def _apply_item(self, item: Item) -> None:
        if item.key == CONFIG_KEY and item.value is not None:
            self._apply_configuration(item)
        elif item.key.startswith(WAVES_PREFIX):
            self._apply_wave(item)
        elif item.key.startswith(EVACUATIONS_PREFIX):
            self._apply_evacuation(item)
        elif item.key == OWNER_KEY and (item.changed >= self.owner_revision or not item.changed):
            owner = decode_owner(item.value)
            if owner != self.owner:
                log_event(
                    "owner changed",
                    holder=owner.holder if owner else "",
                    generation=owner.generation if owner else 0,
                    revision=item.changed,
                )
            self.owner = owner
            self.owner_revision = max(self.owner_revision, item.changed)

    def _apply_configuration(self, item: Item) -> None:
        decoded = decode_configuration(item.value)
        if isinstance(decoded, Failure):
            log_event(
                "cannot decode configuration", revision=item.changed, reason=decoded.failure()
            )
            return
        configuration = decoded.unwrap()
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        log_event(
            "configuration applied",
            version=configuration.version,
            routes=len(configuration.routes),
            revision=item.changed,
        )

    def _apply_wave(self, item: Item) -> None:
        if item.value is None:
            self.waves.pop(item.key, None)
            return
        decoded = decode_wave(item.value)
        if isinstance(decoded, Failure):
            log_event(
                "cannot decode wave", key=item.key, revision=item.changed, reason=decoded.failure()
            )
            return
        self.waves[item.key] = decoded.unwrap()

    def _apply_evacuation(self, item: Item) -> None:
        decoded = decode_evacuated_zone(item.key)
        if isinstance(decoded, Failure):
            log_event(
                "cannot decode evacuation",
                key=item.key,
                revision=item.changed,
                reason=decoded.failure(),
            )
            return
        zone = {decoded.unwrap()}
        self.evacuated_zones = (
            self.evacuated_zones - zone if item.value is None else self.evacuated_zones | zone
        )

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _record_failure(self, error: object) -> None:
        if self._is_store_reachable:
            log_event("store unreachable", reason=repr(error))
        self._is_store_reachable = False

    def _record_success(self) -> None:
        if not self._is_store_reachable:
            log_event("store reachable again")
        self._is_store_reachable = True
