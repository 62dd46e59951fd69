"""The error of a failed operators' command."""

from mustardwood import errors
from mustardwood import runtime


class CommandError(errors.MustardwoodError):
    """A command failed.

    Attributes:
        exit_code: Exit code of the program, which classifies the failure.
    """

    code = "command_failed"

    def __init__(
        self,
        message: str,
        remedy: str,
        exit_code: runtime.ExitCode = runtime.ExitCode.FAILED,
    ) -> None:
        super().__init__(message, remedy)
        self.exit_code = exit_code
