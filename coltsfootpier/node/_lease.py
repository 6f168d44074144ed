"""The lease of the owner's key."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import anyio
from returns.result import Failure, Result, Success

from coltsfootpier.clock import Clock
from coltsfootpier.logs import log_event
from coltsfootpier.node import _timing
from coltsfootpier.platform import LeaseLost, PlatformError, StoreLease

# Renewals under way at once: as many as are sent while one waits for its answer.
_MAX_UNDER_WAY = 1 + int(_timing.STORE_TIMEOUT_MS / _timing.OWNER_RENEW_MS)


class LeaseStore(Protocol):
    """Calls of the store about leases; `coltsfootpier.platform.StoreClient` is one."""

    async def renew_lease(self, lease: int) -> Result[float, PlatformError]:
        """Renew a lease; returns its time to live in ms."""
        ...

    async def grant_lease(self, *, ttl_ms: float) -> Result[StoreLease, PlatformError]:
        """Obtain a lease."""
        ...


class LeaseKeeper:
    """Renews the lease of the owner's key.

    The load that it answers: a store that loses or delays the answers to a third of its calls. A
    renewal is sent with each period, whether or not the one before was answered: one that waits
    for its answer until the time limit would outlast the lease.

    Parameters
    ----------
    store : LeaseStore
        The store.
    clock : Clock
        Time source.
    lease : int
        Lease as it was granted with the claim.
    ttl_ms : float
        Time to live of a new lease.
    on_granted : callable
        Takes a new lease after the one before has ended.
    """

    def __init__(
        self,
        *,
        store: LeaseStore,
        clock: Clock,
        lease: int,
        ttl_ms: float,
        on_granted: Callable[[int], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._on_granted = on_granted
        self.lease = lease
        # When the last renewal that the store confirmed was sent.
        self._renewed_ms = clock.now_ms()
        self._under_way = 0
        self._granting = False

    @property
    def is_valid(self) -> bool:
        """Whether the lease surely holds, so that no other daemon owns the cell."""
        return self._clock.now_ms() - self._renewed_ms < _timing.OWNER_LEASE_MS

    async def run(self) -> None:
        """Renew until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(_timing.OWNER_RENEW_MS / 1000)
                if self._under_way < _MAX_UNDER_WAY:
                    group.start_soon(self._renew)

    async def _renew(self) -> None:
        lease, sent_ms = self.lease, self._clock.now_ms()
        self._under_way += 1
        try:
            result = await self._store.renew_lease(lease)
        finally:
            self._under_way -= 1
        if isinstance(result, Success):
            self._renewed_ms = max(self._renewed_ms, sent_ms)
            return
        is_lost = isinstance(result.failure(), LeaseLost)
        if is_lost and lease == self.lease and not self._granting:
            await self._grant()

    async def _grant(self) -> None:
        log_event("owner's lease ended", lease=self.lease)
        self._granting = True
        try:
            granted = await self._store.grant_lease(ttl_ms=self._ttl_ms)
        finally:
            self._granting = False
        if isinstance(granted, Failure):
            log_event("no new lease", reason=repr(granted.failure()))
            return
        self.lease = granted.unwrap().id
        self._on_granted(self.lease)
