"""The interface of the parts of updates that concern the usage."""

import typing

from mustardwood import usage


class UsageExchange(typing.Protocol):
    """Adds this VM's clock and counts to updates and receives those of peers.
    """

    def build_report(self, receiver: str) -> usage.UsageReport | None:
        """Returns the report for a peer; None if none is due.

        Args:
            receiver: Name of the peer.
        """

    def receive_report(self, sender: str, report: usage.UsageReport) -> None:
        """Handles the report of a peer.

        Args:
            sender: Name of the peer.
            report: Its report.
        """

    def forget_peer(self, name: str) -> None:
        """Discards the state of a peer that has left."""
