"""Delay before a daemon claims a cell without an owner, and time to live of the owner's lease."""

from __future__ import annotations

from coltsfootpier.node import _timing
from coltsfootpier.node._settings import NodeSettings

# Claim delay of a daemon with one core; the delay is inversely proportional to the number of cores.
# Between VMs of 2.15 and 0.52 cores the delays differ by 59 ms, which is the time that a claim and
# its notification to the other daemons through the watch take.
_SINGLE_CORE_DELAY_MS = 40.0
# Maximum random addition to the delay. It separates the claims of daemons with equal cores, so that
# most of them see the owner's key of the first one before they claim.
_MAX_JITTER_MS = 20.0


def choose_claim_delay(cores: float, jitter_fraction: float) -> float:
    """Return how long a daemon waits before it claims the cell, in ms.

    The owner of a cell needs up to 0.9 cores in large deployments. A small VM that becomes the
    owner is overloaded and makes callers wait until their deadlines.

    Parameters
    ----------
    cores : float
        Number of cores of the VM; may be a fraction.
    jitter_fraction : float
        Random number from 0 to 1.

    Examples
    --------
    >>> choose_claim_delay(2.0, 1.0) < choose_claim_delay(0.5, 0.0)
    True
    """
    return _SINGLE_CORE_DELAY_MS / cores + _MAX_JITTER_MS * jitter_fraction


def choose_lease_ttl(settings: NodeSettings) -> float:
    """Return the time to live of the owner's lease in ms; at least the minimum of the store."""
    return max(settings.min_lease_ms, _timing.OWNER_LEASE_MS)
