"""Benchmark of `dispatch` with modelled engines, in simulated time."""
