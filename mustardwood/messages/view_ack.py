"""A process's answer to a view."""

import msgspec


class ViewAck(msgspec.Struct, frozen=True, tag="view_ack"):
    """Tells the agent what the sending process has put in force.

    Attributes:
        sequence: Sequence number of the view.
        version: Configuration version in force in the process.
    """

    sequence: int
    version: int
