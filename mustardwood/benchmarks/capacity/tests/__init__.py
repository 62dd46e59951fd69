"""Tests of the capacity benchmark."""
