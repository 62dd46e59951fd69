"""Tests of the scheduling of a cell."""
