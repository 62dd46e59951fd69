"""Reading of settings files."""

import pathlib

import msgspec
import pyjson5

from mustardwood import errors
from mustardwood.settings import settings as settings_module


def read_settings(path: pathlib.Path) -> settings_module.Settings:
    """Reads and checks a settings file of JSON with comments.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file can't be read, is malformed, or has a wrong
            value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"settings file {path} can't be read: {error}.",
            "Give the path of a UTF-8 file that this user may read.",
        ) from error
    try:
        plain = pyjson5.decode(text)
        return msgspec.convert(plain, settings_module.Settings)
    except pyjson5.Json5Exception as error:
        raise errors.SettingsError(
            f"settings file {path} is malformed: {error}.",
            "Correct the JSON at that position.",
        ) from error
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f"settings file {path} has a wrong value: {error}.",
            "Correct that key; docs/OPERATIONS.md lists all of them.",
        ) from error
