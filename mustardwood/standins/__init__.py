"""Small stand-ins of outside systems, for tests and the demo."""
