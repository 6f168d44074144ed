"""Straight lines fitted to measurements at several sizes."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class LinearFit:
    """Least-squares line through measurements of one quantity at several sizes.

    Parameters
    ----------
    name : str
        Measured quantity.
    unit : str
        Unit of the measured values.
    per : str
        Item whose number is the size, for example ``worker``.
    points : tuple of (float, float)
        Size and measured value of each measurement.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]

    @property
    def coefficients(self) -> tuple[float, float]:
        """Slope and intercept of the line."""
        sizes, values = zip(*self.points, strict=True)
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def evaluate(self, size: float) -> float:
        """Return the value of the line at a size."""
        slope, intercept = self.coefficients
        return slope * size + intercept

    def format_row(self) -> str:
        """Return the measurements and the line as a row of a Markdown table."""
        slope, intercept = self.coefficients
        points = ", ".join(f"{size:g}: {value:.3g}" for size, value in self.points)
        return (
            f"| {self.name} | {points} | {intercept:.3g} + {slope:.3g} a {self.per} | {self.unit} |"
        )


def format_fits(fits: Sequence[LinearFit]) -> str:
    """Return a Markdown table with a row for each fit."""
    header = "| what | measured (size: value) | line | unit |\n|---|---|---|---|"
    return "\n".join([header, *(fit.format_row() for fit in fits)])
