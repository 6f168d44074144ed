"""Daemon ``coltsfootpierd``, which runs on each entry VM."""

from coltsfootpier.daemon._daemon import Daemon, Interfaces
from coltsfootpier.daemon._main import main

__all__ = ["Daemon", "Interfaces", "main"]
