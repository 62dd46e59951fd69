"""Tests of the partition into cells and of their ownership."""
