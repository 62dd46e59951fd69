"""Tests of the HTTP client for endpoints."""
