"""The fleet's membership."""
