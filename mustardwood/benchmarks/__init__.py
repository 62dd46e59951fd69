"""Measurement of decisions in virtual time."""
