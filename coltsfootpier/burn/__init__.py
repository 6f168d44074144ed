"""Counters and latency histograms of requests, and the error-budget burn report."""

from coltsfootpier.burn._html import render_html
from coltsfootpier.burn._report import (
    BurnReport,
    ServiceBurn,
    build_report,
    format_report,
)
from coltsfootpier.burn._stats import BOUNDS_MS, Cause, RequestStats, ServiceSeries, StatsSnapshot

__all__ = [
    "BOUNDS_MS",
    "BurnReport",
    "Cause",
    "RequestStats",
    "ServiceBurn",
    "ServiceSeries",
    "StatsSnapshot",
    "build_report",
    "format_report",
    "render_html",
]
