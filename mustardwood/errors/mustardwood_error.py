"""The base class of all errors of mustardwood."""


class MustardwoodError(Exception):
    """An error with a stable code and a remedy.

    Attributes:
        code: Stable identifier of the kind of error, for programs.
        message: What is wrong, as a sentence.
        remedy: What the reader of the message can do about it, as a sentence.
    """

    code = "error"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message} {remedy}")
        self.message = message
        self.remedy = remedy
