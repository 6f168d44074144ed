"""Times of the decisions about upkeep."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class UpkeepSettings:
    """Settings of the decisions; times in ms.

    Parameters
    ----------
    upkeep_ms : float
        Time that an upkeep takes; a bound of the platform.
    idle_wait_ms : float
        Longest time that a VM which gets nothing new waits until it is idle. A usual batch task
        takes 800 to 2,700 ms.
    round_margin_ms : float
        Time beyond the upkeep itself until the next VM can go down: the new runner's entry, a
        listing of the VMs, and the order.
    repeat_ms : float
        Pause before an order without an answer is sent again.
    busy_ms : float
        Pause before a VM that was busy is tried again.
    takeover_ms : float
        Time after a change of owner in which a VM that the owner before may have given an order
        about gets none: the platform's bound between orders of two owners for one VM, and the
        time for which a call may last.
    """

    upkeep_ms: float = 2_000.0
    idle_wait_ms: float = 2_500.0
    round_margin_ms: float = 1_000.0
    repeat_ms: float = 300.0
    busy_ms: float = 1_000.0
    takeover_ms: float = 4_000.0
