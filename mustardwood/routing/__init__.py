"""The decisions of an entry about one request."""
