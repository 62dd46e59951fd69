"""Answer to a probe."""

import msgspec

from mustardwood.messages import member


class PingAck(msgspec.Struct, frozen=True, tag="ping_ack"):
    """Shows that an agent is alive.

    Attributes:
        probe: Number of the probe that is answered.
        vm: Name of the VM that is alive.
        version: Configuration version in force there.
        news: Members whose state changed recently.
    """

    probe: int
    vm: str
    version: int
    news: tuple[member.Member, ...] = ()
