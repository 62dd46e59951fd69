"""Measurement of the path of a streamed answer through real processes."""
