"""Clients of endpoints."""
