"""Benchmarks of resource costs by fleet size, for capacity planning."""
