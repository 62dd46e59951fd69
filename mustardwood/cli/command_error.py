"""The failure of an operator's command."""

from mustardwood import errors
from mustardwood import runtime


class CommandError(errors.MustardwoodError):
    """A command failed, with an exit code that tells why.

    Attributes:
        exit_code: Exit code of the program.
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
