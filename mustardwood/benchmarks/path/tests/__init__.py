"""Tests of the streaming path benchmark."""
