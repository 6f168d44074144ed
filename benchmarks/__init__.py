"""Benchmarks of scheduling policies, capacity and processor cost."""
