"""The entry's view of the configuration and the fleet."""

import msgspec

from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import classifier

_REACHABLE_STATES = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT,
                     messages.MemberState.LEAVING)


class FleetView:
    """Holds the configuration and the members from the agent's last view.

    The configuration is only ever replaced by a newer version.

    Attributes:
        version: Version of the current configuration; 0 before the first.
        classifier: Look-up in the current configuration; None before the first.
        members: VMs of the fleet.
    """

    def __init__(self) -> None:
        self.version = 0
        self.classifier: classifier.Classifier | None = None
        self.members: tuple[messages.Member, ...] = ()

    def apply_view(self, view: messages.View) -> bool:
        """Applies a view received from the agent.

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
