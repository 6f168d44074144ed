"""Load of a serving step and its trend, from reports that are half a second old.

The users of a serving step swing by half of their mean within ten seconds, which changes its
utilisation by up to 0.15 per second. A report covers the last half second and the next one comes
half a second later, so an estimate without a trend lags by as much as the whole headroom below the
target.
"""

from __future__ import annotations

import math

import attrs

# Time that a report covers; its value applies to the middle of that time.
REPORT_SPAN_MS = 500.0
# Time until a decision based on one report is replaced by one based on the next: reports come every
# 500 ms, and a pace takes effect after 100 ms.
_HORIZON_MS = 600.0
# Load and trend (1/s) before the first report, with their variances.
_PRIOR = (0.5, 0.0)
_PRIOR_VARIANCE = (0.03, 0.02)
# Growth of the trend's variance per second, for loads that swing within 10 s: 0.005 follows them
# too late, and 0.08 follows the noise of the reports.
_TREND_NOISE = 0.02
# Time constant with which a trend that no report confirms decays: a quarter of such a swing.
_TREND_DECAY_S = 4.0
# Longest time that is extrapolated at once; a trend has decayed by then.
_MAX_GAP_S = 5.0


@attrs.define
class LoadFilter:
    """Kalman filter of a load and its trend.

    Parameters
    ----------
    updated_ms : float
        Local time that the estimate applies to.

    Examples
    --------
    >>> load_filter = LoadFilter(updated_ms=0.0)
    >>> for number in range(1, 9):
    ...     load_filter.observe(0.3 + 0.02 * number, 0.0004, now_ms=500.0 * number)
    >>> load_filter.predict_upper(4_000.0) > 0.46
    True
    """

    updated_ms: float
    mean: float = _PRIOR[0]
    trend: float = _PRIOR[1]
    # Variances of mean and trend, and their covariance.
    variance: float = _PRIOR_VARIANCE[0]
    covariance: float = 0.0
    trend_variance: float = _PRIOR_VARIANCE[1]

    def advance(self, now_ms: float) -> None:
        """Advance the estimate to the time that a report applies to.

        Parameters
        ----------
        now_ms : float
            Local time at which the report arrived. Reports of several runners may arrive in
            another order than they were measured in; an older one is applied without advancing.
        """
        gap_s = min(_MAX_GAP_S, (now_ms - REPORT_SPAN_MS / 2 - self.updated_ms) / 1000)
        if gap_s <= 0:
            return
        self.updated_ms = now_ms - REPORT_SPAN_MS / 2
        decay = math.exp(-gap_s / _TREND_DECAY_S)
        # Time in which a constant trend would change the load as much as the decaying one does.
        effective_s = _TREND_DECAY_S * (1.0 - decay)
        self.mean = _clip(self.mean + self.trend * effective_s)
        self.trend *= decay
        self.variance += (
            2 * effective_s * self.covariance
            + effective_s * effective_s * self.trend_variance
            + _TREND_NOISE * gap_s**3 / 3
        )
        self.covariance = (
            self.covariance + effective_s * self.trend_variance
        ) * decay + _TREND_NOISE * gap_s**2 / 2
        self.trend_variance = self.trend_variance * decay * decay + _TREND_NOISE * gap_s

    def correct(self, error: float, total_variance: float) -> None:
        """Correct the estimate by the difference between a report and the prediction.

        Parameters
        ----------
        error : float
            Reported utilisation less predicted utilisation.
        total_variance : float
            Variance of `error`: that of the load, of the report and of all other predicted terms.
        """
        gain = self.variance / total_variance
        trend_gain = self.covariance / total_variance
        self.mean = _clip(self.mean + gain * error)
        self.trend += trend_gain * error
        self.trend_variance -= trend_gain * self.covariance
        self.covariance *= 1.0 - gain
        self.variance *= 1.0 - gain

    def observe(self, load: float, variance: float, *, now_ms: float) -> None:
        """Apply a report that shows the load alone."""
        self.advance(now_ms)
        self.correct(load - self.mean, self.variance + variance)

    def predict_upper(self, now_ms: float) -> float:
        """Return the highest load that is expected until the next decision."""
        gap_s = min(_MAX_GAP_S, max(0.0, now_ms - self.updated_ms) / 1000)
        if self.trend > 0:
            gap_s += _HORIZON_MS / 1000
        effective_s = _TREND_DECAY_S * (1.0 - math.exp(-gap_s / _TREND_DECAY_S))
        return _clip(self.mean + self.trend * effective_s)


def _clip(load: float) -> float:
    return min(1.0, max(0.0, load))
