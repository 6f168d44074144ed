"""Dispatch of tasks to shards: ledger, dependencies, quotas and fair shares."""

from coltsfootpier.dispatch._dispatcher import Dispatcher
from coltsfootpier.dispatch._ledger import Entry, Ledger
from coltsfootpier.dispatch._link import ShardLink

__all__ = ["Dispatcher", "Entry", "Ledger", "ShardLink"]
