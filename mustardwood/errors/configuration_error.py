"""The error of an invalid configuration document."""

from mustardwood.errors import mustardwood_error


class ConfigurationError(mustardwood_error.MustardwoodError):
    """A configuration document is malformed or inconsistent.

    Attributes:
        line: Line of the invalid value, from 1; None if unknown.
        key: Path of the invalid value, as in ``$.endpoints[3].zone``.
    """

    code = "bad_configuration"

    def __init__(self,
                 message: str,
                 remedy: str,
                 *,
                 line: int | None = None,
                 key: str = "$") -> None:
        super().__init__(message, remedy)
        self.line = line
        self.key = key
