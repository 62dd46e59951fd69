"""Tests of several processes together, and shared helpers for tests."""
