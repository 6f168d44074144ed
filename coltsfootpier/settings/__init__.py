"""Settings of the daemon, read from an INI file."""

from coltsfootpier._ini import parse_address
from coltsfootpier.settings._settings import (
    SECTIONS,
    Settings,
    format_settings,
    format_settings_page,
    parse_settings,
)

__all__ = [
    "SECTIONS",
    "Settings",
    "format_settings",
    "format_settings_page",
    "parse_address",
    "parse_settings",
]
