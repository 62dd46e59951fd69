"""The agreement on the configuration's version."""
