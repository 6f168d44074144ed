"""Benchmarks of scheduling policies, of capacity and of processor and memory cost."""
