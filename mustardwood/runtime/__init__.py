"""Code that all processes share.

It covers starting and stopping, logs, metrics and the HTTP interface for
operators.
"""

from mustardwood.runtime.daemon import Daemon
from mustardwood.runtime.exit_code import ExitCode
from mustardwood.runtime.launcher import run_command
from mustardwood.runtime.listener import listen_http
from mustardwood.runtime.logs import configure_logging
from mustardwood.runtime.logs import make_logger
from mustardwood.runtime.logs import PartLogger
from mustardwood.runtime.metrics import make_registry
from mustardwood.runtime.operators_site import OperatorsSite

__all__ = [
    "Daemon",
    "ExitCode",
    "OperatorsSite",
    "PartLogger",
    "configure_logging",
    "listen_http",
    "make_logger",
    "make_registry",
    "run_command",
]
