"""A message that can't be read."""

from mustardwood.errors import mustardwood_error


class LinkError(mustardwood_error.MustardwoodError):
    """A message between processes is malformed."""

    code = "bad_message"
