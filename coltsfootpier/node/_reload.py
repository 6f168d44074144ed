"""Reload of settings while a daemon runs."""

from __future__ import annotations

import attrs

from coltsfootpier.node._settings import NodeSettings

# Settings that determine the sockets, clients and names that the daemon creates when it starts.
_RESTART_REQUIRED = (
    "name",
    "availability_zone",
    "ip",
    "callers",
    "readiness",
    "peer_port",
    "metrics_port",
    "memory_mb",
    "max_files",
    "store",
)


@attrs.frozen(kw_only=True)
class Reload:
    """Effect of changed settings on a running daemon.

    Parameters
    ----------
    settings : NodeSettings
        Settings in effect after the reload.
    applied : tuple of str
        Names of the settings whose change takes effect.
    ignored : tuple of str
        Names of the settings whose change needs a restart.
    """

    settings: NodeSettings
    applied: tuple[str, ...]
    ignored: tuple[str, ...]


def merge_settings(current: NodeSettings, new_settings: NodeSettings) -> Reload:
    """Return the settings in effect after a change of the settings file.

    Parameters
    ----------
    current : NodeSettings
        Settings in effect.
    new_settings : NodeSettings
        Settings read from the file.
    """
    changed = [
        field.name
        for field in attrs.fields(NodeSettings)
        if getattr(current, field.name) != getattr(new_settings, field.name)
    ]
    ignored = tuple(name for name in changed if name in _RESTART_REQUIRED)
    retained = {name: getattr(current, name) for name in ignored}
    return Reload(
        settings=attrs.evolve(new_settings, **retained),
        applied=tuple(name for name in changed if name not in _RESTART_REQUIRED),
        ignored=ignored,
    )
