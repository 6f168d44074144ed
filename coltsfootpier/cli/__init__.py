"""Command-line tool ``coltsfootpier``."""

from coltsfootpier.cli._main import main

__all__ = ["main"]
