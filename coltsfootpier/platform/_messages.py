"""Values and failures of the platform's interfaces."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Item:
    """A value in the store.

    Parameters
    ----------
    key : str
        Key of the value.
    value : bytes or JSON value
        Content, as bytes from `StoreClient` and decoded from `PlatformClient`; None when the key
        doesn't exist.
    version : int
        Version of the key; 0 when it doesn't exist.
    changed : int
        Store revision of the last change, including a deletion.
    """

    key: str
    value: Any = None
    version: int = 0
    changed: int = 0


@attrs.frozen
class Listing:
    """Items under a prefix; a watch after `revision` reports every change that they may lack."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class WatchResult:
    """Items that changed after a store revision; if `is_history_lost`, list all items anew."""

    items: tuple[Item, ...]
    revision: int
    is_history_lost: bool = False


@attrs.frozen
class Vm:
    """One entry of the list of VMs; the list may be out of date.

    Parameters
    ----------
    name : str
        Name of the VM.
    state : str
        ``live``, ``leaving`` or ``gone``.
    address : str
        ``IP:PORT`` of its worker interface; empty for VMs that aren't workers.
    """

    name: str
    state: str
    role: str = "worker"
    availability_zone: str = ""
    rack: str = ""
    address: str = ""


@attrs.frozen
class Conflict:
    """The key has another version than a write expects; `current` is the item in the store."""

    current: Item


@attrs.frozen
class LeaseLost:
    """The lease has ended or never existed in the store."""

    lease: str


@attrs.frozen
class StoreUnavailable:
    """The store rejected the call or was not reached; the call had no effect."""

    reason: str


@attrs.frozen
class StoreUnknown:
    """The response was lost; the call may have taken effect or may still do so."""

    reason: str


@attrs.frozen
class Page:
    """One page of the items under a prefix."""

    items: tuple[Item, ...]
    has_more: bool
    store_revision: int


@attrs.frozen
class Events:
    """Changes under a prefix, in order; a removed key has version 0."""

    items: tuple[Item, ...]
    store_revision: int


@attrs.frozen
class Write:
    """A key to write; with `lease` 0 it exists until it is removed."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class StoreLease:
    """A lease; it ends `ttl_ms` after its grant has arrived unless it is renewed."""

    id: int
    ttl_ms: float


@attrs.frozen
class ConditionFailed:
    """A condition of a change doesn't hold; `items` are the current items of the expected keys."""

    items: tuple[Item, ...]


@attrs.frozen
class HistoryLost:
    """The changes after the store revision `after` are no longer available."""

    after: int


PlatformError = (
    ConditionFailed | Conflict | HistoryLost | LeaseLost | StoreUnavailable | StoreUnknown
)
