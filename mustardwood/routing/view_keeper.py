"""The configuration and the fleet as the agent told them."""

import msgspec

from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import classifier

_USABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT,
           messages.MemberState.LEAVING)


class ViewKeeper:
    """Keeps the newest view; the configuration never goes back.

    Attributes:
        version: Version of the configuration in force; 0 before the first.
        classifier: Look-up in that configuration; None before the first.
        members: The VMs.
    """

    def __init__(self) -> None:
        self.version = 0
        self.classifier: classifier.Classifier | None = None
        self.members: tuple[messages.Member, ...] = ()

    def take_view(self, view: messages.View) -> bool:
        """Takes a view over.

        Returns:
            Whether the configuration changed.
        """
        self.members = view.members
        held = view.configuration
        if held is None or held.version <= self.version:
            return False
        document = msgspec.json.decode(held.text, type=configuration.Document)
        self.classifier = classifier.Classifier(document)
        self.version = held.version
        return True

    def list_agents(self) -> tuple[messages.Peer, ...]:
        """Returns the agents of all VMs that are not dead."""
        return tuple(
            messages.Peer(each.ip, messages.Role.AGENT)
            for each in self.members
            if each.state in _USABLE)
