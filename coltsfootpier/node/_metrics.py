"""Counters and latency histograms of a daemon, rendered on each scrape."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Mapping

from aioprometheus import Counter as CounterMetric
from aioprometheus import Gauge, Registry
from aioprometheus.formats import text

# Upper bounds of the histogram buckets, doubling from one to the next. The range covers jobs, which
# become durable after 20 ms at the earliest and end after a minute at the latest.
BUCKET_BOUNDS_MS = (5, 10, 20, 40, 80, 160, 320, 640, 1_280, 2_560, 5_120, 10_240, 20_480, 40_960)


class Metrics:
    """Counters and histograms in plain dictionaries.

    The Prometheus library is used only to render a scrape, because its calls are too expensive to
    make for each event.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count("requests", method="POST", status="200")
    >>> metrics.observe("durable_ms", 12.0)
    >>> b"coltsfootpier_durable_ms_count 1" in metrics.render({})
    True
    """

    def __init__(self) -> None:
        self._counters: dict[str, Counter[tuple[tuple[str, str], ...]]] = {}
        self._buckets: dict[str, list[int]] = {}
        self._sums: dict[str, float] = {}

    def count(self, name: str, **labels: str) -> None:
        """Count one event.

        Parameters
        ----------
        name : str
            Name of the counter without the prefix and ``_total``.
        **labels : str
            Label values, each from a small fixed set.
        """
        self._counters.setdefault(name, Counter())[tuple(sorted(labels.items()))] += 1

    def observe(self, name: str, value_ms: float) -> None:
        """Add a latency in ms to a histogram."""
        buckets = self._buckets.setdefault(name, [0] * (len(BUCKET_BOUNDS_MS) + 1))
        buckets[bisect.bisect_left(BUCKET_BOUNDS_MS, value_ms)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + value_ms

    def render(
        self, gauges: Mapping[str, float], decision_counts: Mapping[str, int] | None = None
    ) -> bytes:
        """Return all metrics in the Prometheus text format.

        Parameters
        ----------
        gauges : Mapping of str to float
            Current gauge values by name.
        decision_counts : Mapping of str to int, optional
            Numbers of the cell's scheduling decisions by name.
        """
        registry = Registry()
        for name, values in self._counters.items():
            metric = CounterMetric(f"coltsfootpier_{name}_total", name, registry=registry)
            for labels, count in values.items():
                metric.set(dict(labels), count)
        if decision_counts:
            metric = CounterMetric("coltsfootpier_decisions_total", "decisions", registry=registry)
            for name, count in decision_counts.items():
                metric.set({"decision": name}, count)
        for name, value in gauges.items():
            gauge = Gauge(f"coltsfootpier_{name}", name.replace("_", " "), registry=registry)
            gauge.set({}, value)
        rendered = text.TextFormatter().marshall(registry)
        return rendered + b"".join(self._render_histogram(name) for name in self._buckets)

    def _render_histogram(self, name: str) -> bytes:
        metric = f"coltsfootpier_{name}"
        lines = [f"# TYPE {metric} histogram"]
        cumulative_count = 0
        for bound, count in zip((*BUCKET_BOUNDS_MS, "+Inf"), self._buckets[name], strict=True):
            cumulative_count += count
            lines.append(f'{metric}_bucket{{le="{bound}"}} {cumulative_count}')
        lines += [f"{metric}_sum {self._sums[name]:.3f}", f"{metric}_count {cumulative_count}", ""]
        return "\n".join(lines).encode()
