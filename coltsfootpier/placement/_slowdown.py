"""Estimates of the slowdown that services and jobs cause each other on a shared worker."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping

import attrs

# Excess slowdown per neighbour for a pair without measurements, and its standard deviation.
_PRIOR_MEAN = 0.05
_PRIOR_DEVIATION = 0.1
# Minimum weight of a new measurement, so that estimates follow changing loads.
_MIN_LEARNING_RATE = 0.05


@attrs.define
class _PairEstimate:
    mean: float = _PRIOR_MEAN
    variance: float = _PRIOR_DEVIATION**2
    count: int = 0


class SlowdownTable:
    """Excess slowdown that a task of one service or job causes to a task of another.

    A measurement covers all neighbours together. Its prediction error is distributed over the
    pairs in proportion to their contribution (normalised least mean squares).

    Parameters
    ----------
    max_pairs : int, default=4096
        Maximum number of pairs; the least recently measured pair is dropped.

    Examples
    --------
    >>> table = SlowdownTable()
    >>> for _ in range(50):
    ...     table.observe("web", {"sort": 2}, 1.8)
    >>> round(table.estimate("web", "sort")[0], 2)
    0.4
    """

    def __init__(self, *, max_pairs: int = 4_096) -> None:
        self._max_pairs = max_pairs
        self._pairs: OrderedDict[tuple[str, str], _PairEstimate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pairs)

    def observe(self, declared: str, neighbours: Mapping[str, float], slowdown: float) -> None:
        """Update the estimates with one measurement.

        Parameters
        ----------
        declared : str
            Name of the service or job of the measured task.
        neighbours : mapping of str to float
            Number of neighbouring tasks of each service or job, each weighted with its CPU share.
        slowdown : float
            Run time relative to the run time without neighbours.
        """
        pairs = {name: self._get_or_create_pair(declared, name) for name in neighbours}
        squared_norm = sum(weight * weight for weight in neighbours.values())
        if not squared_norm:
            return
        predicted = sum(pairs[name].mean * weight for name, weight in neighbours.items())
        error = max(slowdown - 1.0, 0.0) - predicted
        for name, weight in neighbours.items():
            pair = pairs[name]
            pair.count += 1
            learning_rate = max(1.0 / (pair.count + 1), _MIN_LEARNING_RATE)
            pair.mean = max(pair.mean + learning_rate * error * weight / squared_norm, 0.0)
            pair.variance += learning_rate * (error * error / squared_norm - pair.variance)

    def has_measurements(self, declared: str, neighbour: str) -> bool:
        """Return whether the table holds measurements of the pair."""
        return (declared, neighbour) in self._pairs

    def estimate(self, declared: str, neighbour: str) -> tuple[float, float]:
        """Return the excess slowdown per neighbour and the standard deviation of the estimate."""
        pair = self._pairs.get((declared, neighbour))
        if pair is None:
            return _PRIOR_MEAN, _PRIOR_DEVIATION
        # At the minimum learning rate of 1/20, only about the last 20 measurements still count.
        return pair.mean, math.sqrt(pair.variance / (1 + min(pair.count, 20)))

    def _get_or_create_pair(self, declared: str, neighbour: str) -> _PairEstimate:
        key = (declared, neighbour)
        pair = self._pairs.setdefault(key, _PairEstimate())
        self._pairs.move_to_end(key)
        while len(self._pairs) > self._max_pairs:
            self._pairs.popitem(last=False)
        return pair
