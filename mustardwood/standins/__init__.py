"""Fakes of the platform, engines and services, for tests and the demo.

Each stand-in is a small HTTP server. Tests make it fail in a chosen way by
posting the fields of its `Faults` to ``/switch``.
"""
