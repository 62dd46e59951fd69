"""The error of data that can't be decoded."""

_MAX_MESSAGE_LENGTH = 200
"""Length to which a message is cut, which may quote the data."""


class DecodingError(ValueError):
    """Data does not have the expected form or type."""

    def __init__(self, reason: object) -> None:
        """Creates the error.

        Args:
            reason: What is wrong; a long text is cut.
        """
        super().__init__(str(reason)[:_MAX_MESSAGE_LENGTH])
