"""The acknowledgement of a probe."""

import msgspec

from mustardwood.messages import member


class PingAck(msgspec.Struct, frozen=True, tag="ping_ack"):
    """Confirms that an agent is alive, and carries membership updates.

    Attributes:
        probe: Number of the acknowledged probe.
        vm: Name of the VM that is alive.
        version: Version of the configuration in force there.
        news: Members whose state changed recently.
    """

    probe: int
    vm: str
    version: int
    news: tuple[member.Member, ...] = ()
