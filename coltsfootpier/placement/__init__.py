"""Placement of tasks on the workers of a shard."""

from coltsfootpier.placement._messages import (
    Assignment,
    AttemptKey,
    AttemptState,
    ExchangeReply,
    ExchangeRequest,
    Release,
    WorkerCapacity,
)
from coltsfootpier.placement._policies import (
    ColocationFit,
    FirstFit,
    PlacementPolicy,
    SpreadFit,
    WorkerLoad,
    fits,
    subtract,
)
from coltsfootpier.placement._shard import ShardState
from coltsfootpier.placement._slowdown import SlowdownTable
from coltsfootpier.placement._views import OvercommitError, Placement, StaleExchange, WorkerView

__all__ = [
    "Assignment",
    "AttemptKey",
    "AttemptState",
    "ColocationFit",
    "ExchangeReply",
    "ExchangeRequest",
    "FirstFit",
    "OvercommitError",
    "Placement",
    "PlacementPolicy",
    "Release",
    "ShardState",
    "SlowdownTable",
    "SpreadFit",
    "StaleExchange",
    "WorkerCapacity",
    "WorkerLoad",
    "WorkerView",
    "fits",
    "subtract",
]
