"""The error of an invalid settings file."""

from mustardwood.errors import mustardwood_error


class SettingsError(mustardwood_error.MustardwoodError):
    """The settings file of a process can't be read or has an invalid value.

    Attributes:
        line: Line of the invalid value, from 1; None if unknown.
        key: Path of the invalid value, as in ``$.callers_port``.
    """

    code = "bad_settings"

    def __init__(self,
                 message: str,
                 remedy: str,
                 *,
                 line: int | None = None,
                 key: str = "$") -> None:
        super().__init__(message, remedy)
        self.line = line
        self.key = key
