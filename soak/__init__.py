"""Seeded soak tests of the decision logic on a virtual clock, and of real processes."""
