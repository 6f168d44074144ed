"""Scheduler for latency-critical services and batch jobs that share worker VMs."""

__version__ = "0.1.0"
