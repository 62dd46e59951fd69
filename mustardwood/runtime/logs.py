"""Logs of the processes."""

import collections.abc
import json
import logging
import sys
import typing

from mustardwood import settings as settings_module

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class PartLogger(logging.LoggerAdapter):
    """Puts the name of a part before each message."""

    def process(
        self, msg: typing.Any,
        kwargs: collections.abc.MutableMapping[str, typing.Any]
    ) -> tuple[typing.Any, collections.abc.MutableMapping[str, typing.Any]]:
        """Returns the message with its prefix."""
        part = self.extra["part"] if self.extra else ""
        return f"{part}: {msg}", kwargs


class _JsonFormatter(logging.Formatter):
    """Formats records as JSON objects, one a line."""

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
    """Returns the logger of a part, as in ``scheduler: cell queue is full``."""
    return PartLogger(logging.getLogger(f"mustardwood.{part}"), {"part": part})


def configure_logging(settings: settings_module.Settings) -> None:
    """Sends the logs of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = (_JsonFormatter()
                 if settings.log_json else logging.Formatter(_TEXT_FORMAT))
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.log_level)
