"""The adapter that runs mustardwood on the users' platform.

Only this package knows the platform's wire format: its store's calls and keys,
its HTTP headers and its settings. See docs/design/platform.md.
"""
