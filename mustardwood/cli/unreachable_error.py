"""The error that no agent answered."""

from mustardwood import errors


class UnreachableError(errors.MustardwoodError):
    """None of the agents that the operator named answered."""

    code = "unreachable"
