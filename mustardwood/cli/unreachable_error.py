"""A fleet that does not answer."""

from mustardwood import errors


class UnreachableError(errors.MustardwoodError):
    """No agent that the operator named has answered."""

    code = "unreachable"
