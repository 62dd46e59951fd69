"""Tests of the measurement of the path."""
