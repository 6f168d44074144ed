"""Error-budget burn report, merged over all entry VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence

import attrs

from coltsfootpier.burn._stats import BOUNDS_MS, ServiceSeries, StatsSnapshot
from coltsfootpier.declaration import Declaration

# Alarm, short and long window in minutes, and threshold of the burn rate. The rate must exceed the
# threshold in both windows, so that neither a single bad minute nor a fault that is already fixed
# raises an alarm. At a rate of 14.4 a 30-day budget is spent in about two days, at 6 in five.
_ALARM_RULES = (("page", 5, 60, 14.4), ("ticket", 30, 360, 6.0))
_WINDOWS_MINUTES = (5, 30, 60, 360)


@attrs.frozen(kw_only=True)
class ServiceBurn:
    """Error-budget burn of one service.

    The error budget is the share of requests that may miss the objective. The burn rate is the
    share that missed it, divided by the error budget; at a constant rate of 1 the budget is spent
    exactly.

    Parameters
    ----------
    service : str
        Name of the service.
    latency_ms : float
        Latency objective of a request.
    objective : float
        Share of requests that must meet the latency objective, between 0 and 1.
    finished : int
        Number of requests of the last six hours that count towards the objective.
    burn : dict of str to float
        Burn rate by window; ``"5m"`` is the window of the last five minutes.
    budget_left : float
        Remaining share of the error budget of the last six hours; negative when overspent.
    causes : dict of str to int
        Number of requests of the last six hours that spent the budget, by cause.
    alarm : str
        ``page``, ``ticket`` or empty.
    p50_ms, p99_ms : float
        Percentiles of the latency since the daemons started, rounded up to a bound of the
        histogram; infinite above its highest bound, 0 without requests.
    by_minute : tuple of float, shape (n_minutes,)
        Burn rate in each minute of the last hour, oldest first.
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
    """Error-budget burn of all declared services, as counted by the entry VMs.

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
        error_budget = 1.0 - service.objective
        bad_counts = [sum(counts) for counts in zip(*merged.bad.values(), strict=True)]
        bad_counts = bad_counts or [0] * len(merged.finished)
        burn = {
            f"{window}m": _compute_burn_rate(
                bad_counts[-window:], merged.finished[-window:], error_budget
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
                budget_left=1.0 - _compute_burn_rate(bad_counts, merged.finished, error_budget),
                causes={cause: sum(counts) for cause, counts in merged.bad.items()},
                alarm=_select_alarm(burn),
                p50_ms=_compute_percentile(merged.latencies, 0.5),
                p99_ms=_compute_percentile(merged.latencies, 0.99),
                by_minute=tuple(
                    _compute_burn_rate([bad], [finished], error_budget)
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
    rows = [header, *(_format_row(service_burn) for service_burn in report.services)]
    widths = [max(len(row[index]) for row in rows) for index in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    for service_burn in report.services:
        if service_burn.causes:
            counts_by_cause = Counter(service_burn.causes).most_common()
            causes = ", ".join(f"{count} {cause}" for cause, count in counts_by_cause)
            lines.append(f"{service_burn.service}: budget spent by {causes}")
    lines.append(f"from {len(report.entry_vms)} entry VMs: {', '.join(report.entry_vms)}")
    if report.missing:
        lines.append(f"NOT INCLUDED, no answer: {', '.join(report.missing)}")
    return "\n".join(lines)


def _format_row(service_burn: ServiceBurn) -> tuple[str, ...]:
    return (
        service_burn.service,
        f"{service_burn.objective:.3%} < {service_burn.latency_ms:g} ms",
        str(service_burn.finished),
        f"{service_burn.p99_ms:g} ms",
        f"{service_burn.budget_left:.0%}",
        *(f"{service_burn.burn[window]:.2f}" for window in ("5m", "60m", "360m")),
        service_burn.alarm or "-",
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
    bad_counts: Sequence[int], finished_counts: Sequence[int], error_budget: float
) -> float:
    finished = sum(finished_counts)
    return sum(bad_counts) / finished / error_budget if finished else 0.0


def _select_alarm(burn: Mapping[str, float]) -> str:
    for alarm, short_minutes, long_minutes, threshold in _ALARM_RULES:
        if burn[f"{short_minutes}m"] > threshold and burn[f"{long_minutes}m"] > threshold:
            return alarm
    return ""


def _compute_percentile(histogram: Sequence[int], share: float) -> float:
    """Return the upper bound in ms of the bucket that contains a percentile.

    Returns 0 if the histogram is empty.
    """
    total = sum(histogram)
    cumulative = 0
    for bound_ms, count in zip((*BOUNDS_MS, float("inf")), histogram, strict=False):
        cumulative += count
        if total and cumulative >= share * total:
            return float(bound_ms)
    return 0.0
