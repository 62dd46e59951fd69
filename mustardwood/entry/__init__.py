"""The entry: the process that serves callers over HTTP."""
