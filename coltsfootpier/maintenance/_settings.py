"""Durations used to schedule maintenance."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class MaintenanceSettings:
    """Settings of the maintenance schedule; times in ms.

    Parameters
    ----------
    maintenance_ms : float
        Duration of the maintenance of a VM; an upper bound given by the platform.
    idle_wait_ms : float
        Longest time that a cordoned VM waits to become idle. A typical batch task takes 800 to
        2,700 ms.
    round_margin_ms : float
        Time, in addition to the maintenance itself, until the next VM can be taken down: the
        registration of the new runner, a listing of the VMs, and the command.
    resend_delay_ms : float
        Delay before a command without a response is sent again.
    busy_retry_delay_ms : float
        Delay before the next command to a VM that was busy.
    takeover_delay_ms : float
        Time after a change of owner during which no command is sent to a VM that the previous
        owner may have sent one to: the platform's minimum time between commands of two owners
        to one VM, plus the longest duration of a call.
    """

    maintenance_ms: float = 2_000.0
    idle_wait_ms: float = 2_500.0
    round_margin_ms: float = 1_000.0
    resend_delay_ms: float = 300.0
    busy_retry_delay_ms: float = 1_000.0
    takeover_delay_ms: float = 4_000.0
