"""Straight lines fitted to measurements at several sizes."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class Slope:
    """Straight line fitted to measured points.

    Parameters
    ----------
    name, unit, per : str
        Measured quantity, its unit, and the item that the size counts.
    points : sequence of (float, float)
        Size and measured value of each point.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    @property
    def fit_line(self) -> tuple[float, float]:
        """Slope and intercept of the least-squares line."""
        sizes, values = zip(*self.points, strict=True)
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def evaluate(self, size: float) -> float:
        """Return the value of the fitted line at a size."""
        slope, intercept = self.fit_line
        return slope * size + intercept

    def format_row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        slope, intercept = self.fit_line
        points = ", ".join(f"{size:g}: {value:.3g}" for size, value in self.points)
        return (
            f"| {self.name} | {points} | {intercept:.3g} + {slope:.3g} a {self.per} | {self.unit} |"
        )


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return a Markdown table of slopes."""
    head = "| what | measured (size: value) | line | unit |\n|---|---|---|---|"
    return "\n".join([head, *(slope.format_row() for slope in slopes)])
