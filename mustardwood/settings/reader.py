"""Reader of settings files."""

import pathlib
import re

import msgspec
import pyjson5

from mustardwood import configuration
from mustardwood import errors
from mustardwood.settings import checks
from mustardwood.settings import settings as settings_module

_KEY_PATH = re.compile(r" - at `([^`]+)`")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")


def read_settings(path: pathlib.Path) -> settings_module.Settings:
    """Reads and validates a settings file in JSON with comments.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        SettingsError: If the file can't be read, is malformed or has an invalid
            value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"settings file {path} can't be read: {error}.",
            "Give the path of a UTF-8 file that this user may read.",
        ) from error
    parsed = _parse(path, text)
    for problem in checks.list_problems(parsed):
        raise _make_error(path, text, problem.key, problem.message,
                          problem.remedy)
    return parsed


def _parse(path: pathlib.Path, text: str) -> settings_module.Settings:
    try:
        decoded = pyjson5.decode(text)
        return msgspec.convert(decoded, settings_module.Settings)
    except (pyjson5.Json5Exception, RecursionError) as error:
        line = configuration.find_syntax_line(text, str(error))
        raise errors.SettingsError(
            f"{path}:{line or 1}: this is no JSON: {error}.",
            "Correct the syntax near that line.",
            line=line,
        ) from error
    except msgspec.ValidationError as error:
        raise _make_type_error(path, text, error) from error


def _make_type_error(path: pathlib.Path, text: str,
                     error: msgspec.ValidationError) -> errors.SettingsError:
    path_match = _KEY_PATH.search(str(error))
    key = path_match.group(1) if path_match else "$"
    unknown_match = _UNKNOWN_FIELD.search(str(error))
    if unknown_match:
        key = f"{key}.{unknown_match.group(1)}"
    return _make_error(path, text, key, _KEY_PATH.sub("", str(error)),
                       "Correct that key; docs/OPERATIONS.md lists all keys.")


def _make_error(path: pathlib.Path, text: str, key: str, message: str,
                remedy: str) -> errors.SettingsError:
    line = configuration.find_line(text, key)
    return errors.SettingsError(f"{path}:{line or 1}: {key}: {message}.",
                                remedy,
                                line=line,
                                key=key)
