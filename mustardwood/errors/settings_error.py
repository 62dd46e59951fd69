"""An unusable settings file."""

from mustardwood.errors import mustardwood_error


class SettingsError(mustardwood_error.MustardwoodError):
    """A process's settings file can't be read or holds a wrong value.

    Attributes:
        line: Line of the offending value, from 1; None when unknown.
        key: Path of the offending value, as in ``$.callers_port``.
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
