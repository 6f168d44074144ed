"""Shared parts of the review cases; each case starts real daemons and stand-ins on loopback."""
