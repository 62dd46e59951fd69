"""The interface of the link that the agent uses."""

import typing

from mustardwood import links


class AgentLink(links.Link, typing.Protocol):
    """A link that can be opened and closed and that counts its traffic.

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
        """Starts to listen for messages."""

    def close(self) -> None:
        """Closes all sockets."""

    def close_idle_connections(self) -> None:
        """Closes sockets that have been unused for the idle timeout."""
