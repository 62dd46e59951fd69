"""Start of the stand-ins' programs."""

import collections.abc
import importlib
import logging
import sys
import typing

Start = collections.abc.Callable[[typing.Any], object]
"""Starts a stand-in on the given reactor."""


def run_program(start: Start) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    Args:
        start: Called once the reactor runs.
    """
    logging.basicConfig(stream=sys.stderr,
                        level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(message)s")
    reactor: typing.Any = importlib.import_module("twisted.internet.reactor")
    reactor.callWhenRunning(start, reactor)
    reactor.run()
