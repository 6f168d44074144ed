"""Estimates of the slowdown between kinds of tasks that share a worker."""

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
    """Excess slowdown that one task of a kind causes to a task of another kind.

    A measurement covers all neighbours together. Its prediction error is distributed over the
    pairs in proportion to their contribution (normalised least mean squares).

    Parameters
    ----------
    bound : int, default=4096
        Maximum number of pairs; the least recently measured pair is dropped.

    Examples
    --------
    >>> table = SlowdownTable()
    >>> for _ in range(50):
    ...     table.observe("web", {"sort": 2}, 1.8)
    >>> round(table.estimate("web", "sort")[0], 2)
    0.4
    """

    def __init__(self, *, bound: int = 4_096) -> None:
        self._bound = bound
        self._pairs: OrderedDict[tuple[str, str], _PairEstimate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pairs)

    def observe(self, kind: str, neighbours: Mapping[str, float], slowdown: float) -> None:
        """Update the estimates with one measurement.

        Parameters
        ----------
        kind : str
            Declared name of the measured task.
        neighbours : mapping of str to float
            Number of neighbouring tasks of each kind, each weighted with its CPU share.
        slowdown : float
            Run time relative to the run time without neighbours.
        """
        pairs = {name: self._get_or_create_pair(kind, name) for name in neighbours}
        norm = sum(count * count for count in neighbours.values())
        if not norm:
            return
        predicted = sum(pairs[name].mean * count for name, count in neighbours.items())
        error = max(slowdown - 1.0, 0.0) - predicted
        for name, count in neighbours.items():
            pair = pairs[name]
            pair.count += 1
            rate = max(1.0 / (pair.count + 1), _MIN_LEARNING_RATE)
            pair.mean = max(pair.mean + rate * error * count / norm, 0.0)
            pair.variance += rate * (error * error / norm - pair.variance)

    def has_measurements(self, kind: str, neighbour: str) -> bool:
        """Return whether the table holds measurements of the pair."""
        return (kind, neighbour) in self._pairs

    def estimate(self, kind: str, neighbour: str) -> tuple[float, float]:
        """Return the excess slowdown per neighbour and the standard deviation of the estimate."""
        pair = self._pairs.get((kind, neighbour))
        if pair is None:
            return _PRIOR_MEAN, _PRIOR_DEVIATION
        return pair.mean, math.sqrt(pair.variance / (1 + min(pair.count, 20)))

    def _get_or_create_pair(self, kind: str, neighbour: str) -> _PairEstimate:
        key = (kind, neighbour)
        pair = self._pairs.setdefault(key, _PairEstimate())
        self._pairs.move_to_end(key)
        while len(self._pairs) > self._bound:
            self._pairs.popitem(last=False)
        return pair
