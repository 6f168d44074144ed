"""Choice of a runner among those with a free slot."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from coltsfootpier.routing._messages import Runner

# How strongly a runner's occupancy counts against it, relative to its usual answer time.
_OCCUPANCY_WEIGHT = 0.5


@attrs.frozen(kw_only=True)
class Candidate:
    """What the daemon knows of a runner that has a free slot.

    Parameters
    ----------
    runner : Runner
        The runner.
    outstanding : int
        Grants that this daemon has given out for it.
    slots : int
        Slots of the runner that this daemon owns.
    slowness : float
        Its answer time relative to the average of the request kind; 1 when not measured.
    answer_ms : float
        Average answer time of the service.
    is_near : bool
        Whether the runner is in the daemon's availability zone.
    zone_delay_ms : float
        Added round-trip time to its zone.
    refusal_rate : float
        Share of recent requests that it refused before the start.
    """

    runner: Runner
    outstanding: int
    slots: int
    slowness: float = 1.0
    response_ms: float = 0.0
    is_near: bool = True
    zone_delay_ms: float = 0.0
    refusal_rate: float = 0.0


class RunnerPolicy(Protocol):
    """Chooses the runner of a request."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates, of which there is at least one."""
        ...


class RandomPolicy:
    """Any free slot with the same probability (baseline).

    Parameters
    ----------
    seed : int, default=0
        Seed of the random numbers.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a candidate, weighted by its free slots."""
        weights = [candidate.slots - candidate.outstanding for candidate in candidates]
        return self._random.choices(candidates, weights)[0]


class FirstFitPolicy:
    """The first runner in the order of identifiers (baseline)."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate whose identifier sorts first."""
        return min(candidates, key=lambda candidate: candidate.runner.id)


class NearestFirstPolicy:
    """The runner with the most free slots, of the own zone if there is one (baseline)."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the nearest candidate with the most free slots."""
        return max(
            candidates,
            key=lambda candidate: (candidate.is_near, candidate.slots - candidate.outstanding),
        )


class LeastOutstandingPolicy:
    """The runner with the fewest own requests in flight (baseline)."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the most free slots, the nearer one on a tie."""
        return max(
            candidates,
            key=lambda candidate: (candidate.slots - candidate.outstanding, candidate.is_near),
        )


class MeasuredDelayPolicy:
    """The runner with the shortest expected answer time.

    The expectation is the measured answer time, raised with the occupancy and the refusals, plus
    the delay to the zone: the nearest zone is used while it pays.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the shortest expected answer time."""
        return min(candidates, key=_expect_ms)


def _expect_ms(candidate: Candidate) -> float:
    occupancy = candidate.outstanding / candidate.slots
    work_ms = max(candidate.response_ms, 1.0) * candidate.slowness
    expected_ms = work_ms * (1 + _OCCUPANCY_WEIGHT * occupancy) + candidate.zone_delay_ms
    # A refused request costs another offer, so the expected time grows with the refusals.
    return expected_ms / max(0.1, 1 - candidate.refusal_rate)
