"""Logging of the processes."""

import collections.abc
import json
import logging
import sys
import typing

from mustardwood import settings as settings_module

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class PartLogger(logging.LoggerAdapter):
    """Prefixes each message with the name of a part of the program."""

    def process(
        self, msg: typing.Any,
        kwargs: collections.abc.MutableMapping[str, typing.Any]
    ) -> tuple[typing.Any, collections.abc.MutableMapping[str, typing.Any]]:
        """Returns the message with its prefix."""
        part = self.extra["part"] if self.extra else ""
        return f"{part}: {msg}", kwargs


class _JsonFormatter(logging.Formatter):
    """Formats records as JSON objects, one per line."""

    def format(self, record: logging.LogRecord) -> str:
        part, _, message = record.getMessage().partition(": ")
        line = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "part": part,
            "message": message,
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


def make_logger(part: str) -> PartLogger:
    """Returns the logger of a part of the program.

    The part's name precedes its messages, as in
    ``scheduler: cell queue is full``.
    """
    return PartLogger(logging.getLogger(f"mustardwood.{part}"), {"part": part})


def configure_logging(settings: settings_module.Settings) -> None:
    """Configures this process to log to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = (_JsonFormatter()
                 if settings.log_json else logging.Formatter(_TEXT_FORMAT))
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.log_level)
