"""Prometheus metrics, computed from plain counters at each scrape."""

from __future__ import annotations

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text

from coltsfootpier.burn import RequestStats


def render_metrics(*, stats: RequestStats, gauges: Mapping[str, float]) -> bytes:
    """Return metrics in the Prometheus text format.

    Parameters
    ----------
    stats : RequestStats
        Counters of request outcomes.
    gauges : Mapping of str to float
        Gauge values by name, without the prefix ``coltsfootpier_``.

    Returns
    -------
    bytes
    """
    registry = Registry()
    outcomes = Counter("coltsfootpier_requests_total", "Requests by outcome.", registry=registry)
    for (service, outcome, reason), count in stats.outcomes.items():
        outcomes.set({"service": service, "outcome": outcome, "reason": reason}, count)
    for name, value in gauges.items():
        gauge = Gauge(f"coltsfootpier_{name}", name.replace("_", " "), registry=registry)
        gauge.set({}, value)
    return text.TextFormatter().marshall(registry)
