"""Claims of non-idempotent requests."""
