"""Daemon that runs on each entry VM of the platform: serves callers and schedules the cell."""

from coltsfootpier.node._settings import CallerLimits, Configuration, NodeSettings, Route

__all__ = ["CallerLimits", "Configuration", "NodeSettings", "Route"]
