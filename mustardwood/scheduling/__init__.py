"""The decisions inside a cell."""
