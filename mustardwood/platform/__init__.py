"""The adapter between mustardwood and the users' platform.

The names on the wire are known here only; see docs/design/platform.md.
"""
