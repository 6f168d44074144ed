"""Expected durations of tasks, from callers' declarations and measured runs.

Declared durations of batch tasks are off by a factor of 2.5 either way, while the real ones differ
only by a factor of 1.6. Without a correction, the wrong jobs would go first, jobs in time would
count as late, and jobs that would end in time would be rejected.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

# Decay factor of the sums per new run; the last 200 runs count most.
_DECAY = 0.995
# Prior that declarations are accurate: its weight in runs, and the distance of its two points from
# the first declaration, in logarithms. The weight is small, so that a few runs suffice to show how
# accurate declarations are.
_PRIOR_WEIGHT = 3.0
_PRIOR_SPREAD = 1.0
# Lower bound of declared and measured durations.
_MIN_DURATION_MS = 1.0


@attrs.define
class DurationModel:
    """Regression of the logarithm of real durations on that of declared ones, for one queue.

    Examples
    --------
    >>> model = DurationModel()
    >>> model.predict(1_000.0)
    1000.0
    >>> for declared in (100.0, 1_000.0, 10_000.0) * 20:
    ...     model.update(1_000.0, declared)
    >>> 700.0 < model.predict(10_000.0) < 1_500.0
    True
    """

    # Weighted sums over the runs: weights, logarithms of declared durations, logarithms of real
    # durations, squares of the declared logarithms, and products of both logarithms.
    _weight: float = 0.0
    _declared: float = 0.0
    _real: float = 0.0
    _declared_square: float = 0.0
    _product: float = 0.0

    @classmethod
    def restore(cls, sums: Sequence[float]) -> DurationModel | None:
        """Build a model from the result of `export`; None when the sums are not valid."""
        if len(sums) != len(attrs.fields(cls)) or not all(map(math.isfinite, sums)):
            return None
        return cls(*sums) if sums[0] > 0 else None

    def export(self) -> tuple[float, ...]:
        """Return the sums from which the next owner restores the model."""
        return attrs.astuple(self)

    def update(self, real_ms: float, declared_ms: float) -> None:
        """Update the model with the duration of a completed run."""
        declared = math.log(max(_MIN_DURATION_MS, declared_ms))
        real = math.log(max(_MIN_DURATION_MS, real_ms))
        if not self._weight:
            for offset in (-_PRIOR_SPREAD, _PRIOR_SPREAD):
                self._add(declared + offset, declared + offset, _PRIOR_WEIGHT / 2)
        for name in ("_weight", "_declared", "_real", "_declared_square", "_product"):
            setattr(self, name, getattr(self, name) * _DECAY)
        self._add(declared, real, 1.0)

    def _add(self, declared: float, real: float, weight: float) -> None:
        self._weight += weight
        self._declared += weight * declared
        self._real += weight * real
        self._declared_square += weight * declared * declared
        self._product += weight * declared * real

    def predict(self, declared_ms: float) -> float:
        """Return the expected duration of a task in ms."""
        if not self._weight:
            return declared_ms
        mean_declared = self._declared / self._weight
        mean_real = self._real / self._weight
        variance = self._declared_square / self._weight - mean_declared**2
        covariance = self._product / self._weight - mean_declared * mean_real
        # A longer declaration never implies a shorter task.
        slope = min(1.0, max(0.0, covariance / variance)) if variance > 1e-9 else 1.0
        declared = math.log(max(_MIN_DURATION_MS, declared_ms))
        return math.exp(mean_real + slope * (declared - mean_declared))
