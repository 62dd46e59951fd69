"""An unusable settings file."""

from mustardwood.errors import mustardwood_error


class SettingsError(mustardwood_error.MustardwoodError):
    """A process's settings file can't be read or holds a wrong value."""

    code = "bad_settings"
