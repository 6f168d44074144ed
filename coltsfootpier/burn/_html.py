"""Rendering of the burn report as a self-contained HTML page."""

from __future__ import annotations

from html import escape

from coltsfootpier.burn._report import BurnReport, ServiceBurn

_CHART_WIDTH_PX = 600
_CHART_HEIGHT_PX = 80
# Burn rate at the top edge of a chart; higher rates are clipped.
_MAX_BURN_RATE = 20.0
_STYLE = (
    "body{font:14px sans-serif;margin:2em}td,th{padding:.2em 1em .2em 0;text-align:left}"
    ".page{color:#b00}.ticket{color:#a60}svg{background:#f6f6f6}"
)


def render_html(report: BurnReport) -> str:
    """Render the report as HTML with a chart of the last hour for each service."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title>",
        f"<style>{_STYLE}</style><h1>Service-level burn</h1>",
        f"<p>From {escape(', '.join(report.entry_vms))}.</p>",
    ]
    if report.missing:
        missing = escape(", ".join(report.missing))
        parts.append(f"<p class=page>Not included, no answer: {missing}.</p>")
    parts += [_render_service(service_burn) for service_burn in report.services]
    return "\n".join(parts) + "\n"


def _render_service(service_burn: ServiceBurn) -> str:
    burn_cells = "".join(f"<td>{service_burn.burn[window]:.2f}" for window in ("5m", "60m", "360m"))
    causes = (
        ", ".join(f"{count} {cause}" for cause, count in service_burn.causes.items()) or "nothing"
    )
    points = " ".join(
        f"{index * _CHART_WIDTH_PX / max(1, len(service_burn.by_minute) - 1):.0f},"
        f"{_CHART_HEIGHT_PX * (1 - min(burn_rate, _MAX_BURN_RATE) / _MAX_BURN_RATE):.0f}"
        for index, burn_rate in enumerate(service_burn.by_minute)
    )
    return (
        f"<h2 class={service_burn.alarm or 'calm'}>"
        f"{escape(service_burn.service)} {service_burn.alarm}</h2>"
        f"<table><tr><th>objective<th>requests<th>p99<th>budget left<th>5 min<th>1 h<th>6 h"
        f"<tr><td>{service_burn.objective:.3%} under {service_burn.latency_ms:g} ms"
        f"<td>{service_burn.finished}"
        f"<td>{service_burn.p99_ms:g} ms<td>{service_burn.budget_left:.0%}{burn_cells}</table>"
        f"<p>Budget spent by {escape(causes)}. "
        f"Burn rate of the last hour, 0 to {_MAX_BURN_RATE:g}:</p>"
        f"<svg width={_CHART_WIDTH_PX} height={_CHART_HEIGHT_PX}>"
        f"<polyline fill=none stroke=#06c points='{points}'/></svg>"
    )
