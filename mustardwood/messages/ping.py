"""A probe of the agent of a VM."""

import msgspec

from mustardwood.messages import member


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Checks whether an agent is alive, and carries membership updates.

    Attributes:
        probe: Number of the probe, unique per sender.
        version: Version of the configuration in force at the sender.
        news: Members whose state changed recently.
        target: Name of the VM that the receiver shall probe for the sender;
            empty if the receiver itself is probed.
    """

    probe: int
    version: int
    news: tuple[member.Member, ...] = ()
    target: str = ""
