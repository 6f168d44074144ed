"""Policies that choose among the runners with a free slot."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from coltsfootpier.routing._messages import Runner

# Increase of the expected response time at full occupancy, relative to the usual response time.
_OCCUPANCY_WEIGHT = 0.5


@attrs.frozen(kw_only=True)
class Candidate:
    """Runner with a free slot, and its measurements.

    Parameters
    ----------
    runner : Runner
        The runner.
    outstanding : int
        Number of this daemon's grants for the runner that have not been released yet.
    slots : int
        Number of the runner's slots that this daemon owns.
    slowness : float
        Response time relative to the average of the request kind; 1 if not measured.
    response_ms : float
        Average response time of the request kind in milliseconds, or else of its service; 0 if
        neither is measured.
    is_near : bool
        Whether the runner is in the daemon's availability zone.
    zone_delay_ms : float
        Additional round-trip time to the runner's availability zone in milliseconds.
    rejection_rate : float
        Fraction of recent requests that the runner rejected before starting them.
    """

    runner: Runner
    outstanding: int
    slots: int
    slowness: float = 1.0
    response_ms: float = 0.0
    is_near: bool = True
    zone_delay_ms: float = 0.0
    rejection_rate: float = 0.0


class RunnerPolicy(Protocol):
    """Policy that chooses the runner for a request."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates; the sequence is not empty."""
        ...


class RandomPolicy:
    """Uniformly random choice among the free slots (baseline).

    Parameters
    ----------
    seed : int, default=0
        Seed of the random number generator.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random candidate, weighted by the number of free slots."""
        weights = [candidate.slots - candidate.outstanding for candidate in candidates]
        return self._random.choices(candidates, weights)[0]


class FirstFitPolicy:
    """Choice of the runner with the lowest identifier (baseline)."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate whose identifier sorts first."""
        return min(candidates, key=lambda candidate: candidate.runner.id)


class NearestFirstPolicy:
    """Choice of the runner with the most free slots among the nearest ones (baseline).

    The nearest runners are those in the daemon's availability zone, if any of them is a candidate.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the most free slots among the nearest ones."""
        return max(
            candidates,
            key=lambda candidate: (candidate.is_near, candidate.slots - candidate.outstanding),
        )


class LeastOutstandingPolicy:
    """Choice of the runner with the most free slots in any availability zone (baseline)."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the most free slots; ties go to the nearest one."""
        return max(
            candidates,
            key=lambda candidate: (candidate.slots - candidate.outstanding, candidate.is_near),
        )


class MeasuredDelayPolicy:
    """Choice of the runner with the shortest expected response time (default).

    The expected time is the measured response time, increased with the runner's occupancy and
    rejection rate, plus the delay to its availability zone. Runners of the daemon's
    availability zone are therefore preferred until others are expected to respond sooner.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the shortest expected response time."""
        return min(candidates, key=_estimate_response_ms)


def _estimate_response_ms(candidate: Candidate) -> float:
    occupancy = candidate.outstanding / candidate.slots
    base_ms = max(candidate.response_ms, 1.0) * candidate.slowness
    expected_ms = base_ms * (1 + _OCCUPANCY_WEIGHT * occupancy) + candidate.zone_delay_ms
    # Each rejection costs another attempt, so the time is divided by the acceptance rate.
    return expected_ms / max(0.1, 1 - candidate.rejection_rate)
