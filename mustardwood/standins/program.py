"""Runs the main loop of the stand-ins' programs."""

import collections.abc
import importlib
import logging
import sys
import typing

StartFunction = collections.abc.Callable[[typing.Any], object]
"""Function that starts a stand-in on the given reactor."""


def run_program(start: StartFunction) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    Args:
        start: Function to call with the reactor once it is running.
    """
    logging.basicConfig(stream=sys.stderr,
                        level=logging.INFO,
                        format="%(asctime)s %(levelname)s %(message)s")
    reactor: typing.Any = importlib.import_module("twisted.internet.reactor")
    reactor.callWhenRunning(start, reactor)
    reactor.run()
