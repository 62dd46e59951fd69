"""The process that owns cells."""
