"""The acknowledgement of a view."""

import msgspec


class ViewAck(msgspec.Struct, frozen=True, tag="view_ack"):
    """Reports to the agent which configuration a process has in force.

    Attributes:
        sequence: Sequence number of the view.
        version: Version of the configuration in force in the process.
    """

    sequence: int
    version: int
