"""The root of the exception hierarchy."""


class MustardwoodError(Exception):
    """An error of a known kind.

    Attributes:
        code: Stable identifier of the kind, for programs.
        remedy: What the reader of the message can do about it.
    """

    code = "error"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy
