"""Progress of a run over time, from the percentages in reports."""

from __future__ import annotations

import attrs

# Time over which a speed is measured; in a shorter one the resolution of the percentage dominates.
_MIN_WINDOW_MS = 150.0
# Time and change in percent after which the window moves on, so that it shows the present speed.
_WINDOW_MS, _WINDOW_PERCENT = 300.0, 5.0
# Time after which it moves on in any case.
_MAX_WINDOW_MS = 2_000.0
# Resolution of a reported percentage.
_RESOLUTION_PERCENT = 1.0


@attrs.define
class Progress:
    """Progress of a run in a window of at least `_WINDOW_MS` up to its latest report.

    Parameters
    ----------
    time_ms, percent : float
        Local time and percentage of the first sample.

    Examples
    --------
    >>> progress = Progress(0.0, 0.0)
    >>> progress.add(400.0, 39.0)
    >>> round(progress.estimate_duration_ms())
    1000
    >>> round(progress.estimate_end_ms())
    1010
    """

    time_ms: float
    percent: float
    # End of the first part of the window.
    _middle: tuple[float, float] = attrs.field(init=False)
    _last: tuple[float, float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._middle = self._last = (self.time_ms, self.percent)

    def add(self, time_ms: float, percent: float) -> None:
        """Add the percentage of a report."""
        elapsed_ms, change = time_ms - self._middle[0], percent - self._middle[1]
        if elapsed_ms >= _MAX_WINDOW_MS or (elapsed_ms >= _WINDOW_MS and change >= _WINDOW_PERCENT):
            (self.time_ms, self.percent), self._middle = self._middle, (time_ms, percent)
        self._last = (time_ms, percent)

    def estimate_duration_ms(self) -> float | None:
        """Return the duration in ms of a whole run at the present speed; None while unknown.

        The speed counts as high as the resolution of the percentages allows.
        """
        elapsed_ms = self._last[0] - self.time_ms
        if elapsed_ms < _MIN_WINDOW_MS:
            return None
        # A runner may report less than before.
        change = max(0.0, self._last[1] - self.percent)
        return elapsed_ms * 100.0 / (change + _RESOLUTION_PERCENT)

    def estimate_end_ms(self) -> float | None:
        """Return the local time at which the run ends at the present speed; None while unknown."""
        duration_ms = self.estimate_duration_ms()
        if duration_ms is None:
            return None
        return self._last[0] + duration_ms * max(0.0, 100.0 - self._last[1]) / 100.0
