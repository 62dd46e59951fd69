"""Benchmarks of the scheduling policies, in simulated time."""
