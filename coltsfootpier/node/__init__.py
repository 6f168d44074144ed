"""Daemon that runs on each entry VM of the platform: settings, configuration and wiring."""

from coltsfootpier.node._messages import CallerLimits, Configuration, NodeSettings, Route

__all__ = ["CallerLimits", "Configuration", "NodeSettings", "Route"]
