"""Settings that change while a daemon runs."""

from __future__ import annotations

import attrs

from coltsfootpier.node._messages import NodeSettings

# Settings that sockets, clients and names were made from when the daemon started.
_FIXED = (
    "name",
    "availability_zone",
    "ip",
    "callers",
    "readiness",
    "peer_port",
    "metrics_port",
    "store",
)


@attrs.frozen(kw_only=True)
class Reload:
    """What a new version of the settings changes.

    Parameters
    ----------
    settings : NodeSettings
        Settings in force from now on.
    applied : tuple of str
        Names of those that changed.
    ignored : tuple of str
        Names of those whose change takes a restart.
    """

    settings: NodeSettings
    applied: tuple[str, ...]
    ignored: tuple[str, ...]


def merge_settings(current: NodeSettings, found: NodeSettings) -> Reload:
    """Return what is in force after the settings file has changed.

    Parameters
    ----------
    current : NodeSettings
        Settings in force.
    found : NodeSettings
        Settings as the file has them now.
    """
    changed = [
        field.name
        for field in attrs.fields(NodeSettings)
        if getattr(current, field.name) != getattr(found, field.name)
    ]
    ignored = tuple(name for name in changed if name in _FIXED)
    kept = {name: getattr(current, name) for name in ignored}
    return Reload(
        settings=attrs.evolve(found, **kept),
        applied=tuple(name for name in changed if name not in _FIXED),
        ignored=ignored,
    )
