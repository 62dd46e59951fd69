"""Tests of the capacity measurement."""
