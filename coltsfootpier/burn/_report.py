"""Error-budget burn report, merged over all entry VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

from coltsfootpier.burn._stats import BOUNDS_MS, ServiceSeries, StatsSnapshot
from coltsfootpier.declaration import Declaration

# Alarm, short and long window in minutes, and burn-rate threshold. Both windows must exceed the
# threshold, so that neither a single bad minute nor a fault that is already fixed raises an alarm.
# At a burn rate of 14.4 a 30-day budget is spent within two days, at 6 within five.
_ALARM_RULES = (("page", 5, 60, 14.4), ("ticket", 30, 360, 6.0))
_WINDOWS_MINUTES = (5, 30, 60, 360)


@attrs.frozen(kw_only=True)
class ServiceBurn:
    """Error-budget burn of one service.

    Parameters
    ----------
    objective : float
        Share of requests that must meet the latency objective.
    burn : dict of str to float
        Burn rate by window, such as ``"5m"``; at a rate of 1 the budget is spent exactly.
    budget_left : float
        Remaining share of the error budget of the last six hours; negative when overspent.
    causes : dict of str to int
        Number of requests of the last six hours that spent the budget, by cause.
    alarm : str
        ``page``, ``ticket`` or empty.
    by_minute : tuple of float, shape (n_minutes,)
        Burn rate in each minute, oldest first.
    """

    service: str
    latency_ms: float
    objective: float
    finished: int
    burn: dict[str, float]
    budget_left: float
    causes: dict[str, int]
    alarm: str
    p50_ms: float
    p99_ms: float
    by_minute: tuple[float, ...] = ()


@attrs.frozen(kw_only=True)
class BurnReport:
    """Error-budget burn of all declared services.

    Parameters
    ----------
    services : tuple of ServiceBurn
        One entry for each declared service.
    entry_vms : tuple of str
        Entry VMs whose counts are included.
    missing : tuple of str
        Entry VMs that did not respond; their requests are not included.
    """

    services: tuple[ServiceBurn, ...] = ()
    entry_vms: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


def build_report(
    *,
    declaration: Declaration,
    snapshots: Mapping[str, StatsSnapshot],
    missing: Sequence[str] = (),
) -> BurnReport:
    """Merge the counts of all entry VMs into a report.

    Parameters
    ----------
    declaration : Declaration
        Declaration with the objectives of the services.
    snapshots : Mapping of str to StatsSnapshot
        Counts by entry VM.
    missing : sequence of str
        Entry VMs that did not respond.

    Returns
    -------
    BurnReport
    """
    services = []
    for service in declaration.services.values():
        series = [
            snapshot.services[service.name]
            for snapshot in snapshots.values()
            if service.name in snapshot.services
        ]
        merged = _merge_series(series)
        budget = 1.0 - service.objective
        bad_counts = [sum(counts) for counts in zip(*merged.bad.values(), strict=True)]
        bad_counts = bad_counts or [0] * len(merged.finished)
        burn = {
            f"{window}m": _compute_burn_rate(
                bad_counts[-window:], merged.finished[-window:], budget
            )
            for window in _WINDOWS_MINUTES
        }
        services.append(
            ServiceBurn(
                service=service.name,
                latency_ms=service.latency_ms,
                objective=service.objective,
                finished=sum(merged.finished),
                burn=burn,
                budget_left=1.0 - _compute_burn_rate(bad_counts, merged.finished, budget),
                causes={cause: sum(counts) for cause, counts in merged.bad.items()},
                alarm=_select_alarm(burn),
                p50_ms=_compute_percentile(merged.latencies, 0.5),
                p99_ms=_compute_percentile(merged.latencies, 0.99),
                by_minute=tuple(
                    _compute_burn_rate([bad], [finished], budget)
                    for bad, finished in zip(bad_counts[-60:], merged.finished[-60:], strict=True)
                ),
            )
        )
    return BurnReport(
        services=tuple(services),
        entry_vms=tuple(sorted(snapshots)),
        missing=tuple(sorted(missing)),
    )


def format_report(report: BurnReport) -> str:
    """Format the report as a text table."""
    header = ("service", "objective", "requests", "p99", "left", "5m", "60m", "360m", "alarm")
    rows = [header, *(_format_row(item) for item in report.services)]
    widths = [max(len(row[index]) for row in rows) for index in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    for item in report.services:
        if item.causes:
            counts_by_cause = Counter(item.causes).most_common()
            causes = ", ".join(f"{count} {cause}" for cause, count in counts_by_cause)
            lines.append(f"{item.service}: budget spent by {causes}")
    lines.append(f"from {len(report.entry_vms)} entry VMs: {', '.join(report.entry_vms)}")
    if report.missing:
        lines.append(f"NOT INCLUDED, no answer: {', '.join(report.missing)}")
    return "\n".join(lines)


def _format_row(item: ServiceBurn) -> tuple[str, ...]:
    return (
        item.service,
        f"{item.objective:.3%} < {item.latency_ms:g} ms",
        str(item.finished),
        f"{item.p99_ms:g} ms",
        f"{item.budget_left:.0%}",
        *(f"{item.burn[window]:.2f}" for window in ("5m", "60m", "360m")),
        item.alarm or "-",
    )


def _merge_series(series: Sequence[ServiceSeries]) -> ServiceSeries:
    n_minutes = max((len(item.finished) for item in series), default=1)
    bad: dict[str, tuple[int, ...]] = {}
    for item in series:
        for cause, counts in item.bad.items():
            bad[cause] = _add_counts(bad.get(cause, ()), counts, n_minutes)
    finished: tuple[int, ...] = (0,) * n_minutes
    latencies: tuple[int, ...] = (0,) * (len(BOUNDS_MS) + 1)
    for item in series:
        finished = _add_counts(finished, item.finished, n_minutes)
        latencies = tuple(a + b for a, b in zip(latencies, item.latencies, strict=True))
    return ServiceSeries(finished=finished, bad=bad, latencies=latencies)


def _add_counts(left: tuple[int, ...], right: tuple[int, ...], length: int) -> tuple[int, ...]:
    # Each series ends with the current minute, so shorter series are padded at the front.
    padded = [(0,) * (length - len(counts)) + counts for counts in (left, right)]
    return tuple(a + b for a, b in zip(*padded, strict=True))


def _compute_burn_rate(
    bad_counts: Sequence[int], finished_counts: Sequence[int], budget: float
) -> float:
    total = sum(finished_counts)
    return sum(bad_counts) / total / budget if total else 0.0


def _select_alarm(burn: Mapping[str, float]) -> str:
    for alarm, short, long, threshold in _ALARM_RULES:
        if burn[f"{short}m"] > threshold and burn[f"{long}m"] > threshold:
            return alarm
    return ""


def _compute_percentile(latencies: Sequence[int], share: float) -> float:
    total = sum(latencies)
    cumulative = 0
    for bound, count in zip((*BOUNDS_MS, float("inf")), latencies, strict=False):
        cumulative += count
        if total and cumulative >= share * total:
            return float(bound)
    return 0.0
