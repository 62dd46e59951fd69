"""Measurement of the slopes that the capacity page is worked out from."""
