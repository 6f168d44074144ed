"""Renewal of the lease of the owner's key."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio
from returns.result import Failure, Result

from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.platform import LeaseLost, PlatformError, StoreLease

# Maximum number of concurrent renewals: as many as are sent until the first reaches its time limit.
_MAX_IN_FLIGHT = 1 + int(_timing.STORE_TIMEOUT_MS / _timing.OWNER_RENEW_PERIOD_MS)


class LeaseStore(Protocol):
    """Lease calls of the store; `coltsfootpier.platform.StoreClient` implements them."""

    async def renew_lease(self, lease: int) -> Result[float, PlatformError]:
        """Renew a lease; return its time to live in ms."""
        ...

    async def grant_lease(self, *, ttl_ms: float) -> Result[StoreLease, PlatformError]:
        """Obtain a lease."""
        ...


class LeaseRenewer:
    """Renews the lease of the owner's key, and replaces it by a new one if it has expired.

    The lease only lets other daemons claim the cell soon after the owner has gone. Its renewals
    don't prove the ownership, since the owner's key may have been removed under it.

    It keeps the lease also while the store loses or delays the responses to a third of its calls. A
    renewal is sent every period, whether or not the previous one got a response, since waiting for
    a response until the time limit could take longer than the lease lasts.

    Parameters
    ----------
    store : LeaseStore
        The store.
    lease : int
        Identifier of the lease that the claim of the cell used.
    ttl_ms : float
        Time to live of a new lease, in ms.
    on_granted : callable
        Called with the identifier of a new lease that replaces an expired one.
    """

    def __init__(
        self,
        *,
        store: LeaseStore,
        lease: int,
        ttl_ms: float,
        on_granted: Callable[[int], None],
    ) -> None:
        self._store = store
        self._ttl_ms = ttl_ms
        self._on_granted = on_granted
        self.lease = lease
        self._in_flight = 0
        self._is_granting = False

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(_timing.OWNER_RENEW_PERIOD_MS / 1000)
                if self._in_flight < _MAX_IN_FLIGHT:
                    group.start_soon(self._renew)

    async def _renew(self) -> None:
        lease = self.lease
        self._in_flight += 1
        try:
            result = await self._store.renew_lease(lease)
        finally:
            self._in_flight -= 1
        is_expired = isinstance(result, Failure) and isinstance(result.failure(), LeaseLost)
        if is_expired and lease == self.lease and not self._is_granting:
            await self._grant()

    async def _grant(self) -> None:
        log_event("owner's lease expired", lease=self.lease)
        self._is_granting = True
        try:
            granted = await self._store.grant_lease(ttl_ms=self._ttl_ms)
        finally:
            self._is_granting = False
        if isinstance(granted, Failure):
            log_event("lease grant failed", reason=repr(granted.failure()))
            return
        self.lease = granted.unwrap().id
        self._on_granted(self.lease)
