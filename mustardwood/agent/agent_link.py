"""The link as the agent uses it."""

import typing

from mustardwood import links


class AgentLink(links.Link, typing.Protocol):
    """A link that can be opened and closed and counts its bytes.

    Attributes:
        sent_bytes: Bytes sent since the start.
        received_bytes: Bytes received since the start.
    """

    sent_bytes: int
    received_bytes: int

    @property
    def incarnation(self) -> int:
        """Start time of this process, in nanoseconds since 1970."""

    def open(self) -> None:
        """Starts to listen."""

    def close(self) -> None:
        """Closes all sockets."""

    def close_idle_connections(self) -> None:
        """Closes sockets that were not used for long."""
