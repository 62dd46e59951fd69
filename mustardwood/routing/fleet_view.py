"""The configuration and the fleet as the agent told them."""

import msgspec

from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import classifier

_REACHABLE_STATES = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT,
                     messages.MemberState.LEAVING)


class FleetView:
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

    def apply_view(self, view: messages.View) -> bool:
        """Takes a view over.

        Returns:
            Whether the configuration changed.
        """
        self.members = view.members
        versioned = view.configuration
        if versioned is None or versioned.version <= self.version:
            return False
        document = msgspec.json.decode(versioned.text,
                                       type=configuration.Document)
        self.classifier = classifier.Classifier(document)
        self.version = versioned.version
        return True

    def list_agents(self) -> tuple[messages.Peer, ...]:
        """Returns the agents of all VMs that are not dead."""
        return tuple(
            messages.Peer(each.ip, messages.Role.AGENT)
            for each in self.members
            if each.state in _REACHABLE_STATES)
