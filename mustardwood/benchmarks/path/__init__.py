"""Benchmark of a streamed response through real processes."""
