"""The error of a malformed message."""

from mustardwood.errors import mustardwood_error


class LinkError(mustardwood_error.MustardwoodError):
    """A message between processes is malformed."""

    code = "bad_message"
