"""Probe of a VM's agent."""

import msgspec

from mustardwood.messages import member


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Asks an agent whether it is alive, and passes news on.

    Attributes:
        probe: Number of the probe, unique for the sender.
        version: Configuration version in force at the sender.
        news: Members whose state changed recently.
        target: Name of the VM to probe for the sender; empty for a direct
            probe.
    """

    probe: int
    version: int
    news: tuple[member.Member, ...] = ()
    target: str = ""
