"""Runs the model checks."""
