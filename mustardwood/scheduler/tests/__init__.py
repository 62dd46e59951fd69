"""Tests of the scheduler process."""
