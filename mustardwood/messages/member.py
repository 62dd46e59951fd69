"""A VM of the fleet."""

import msgspec

from mustardwood.messages import member_state


class Member(msgspec.Struct, frozen=True):
    """An entry VM and its state.

    Attributes:
        vm: Name of the VM.
        ip: IP address.
        zone: Availability zone.
        region: Region.
        state: State of the VM according to the sender.
        incarnation: Start time of its agent, in nanoseconds since 1970, plus
            one for each suspicion that it refuted.
        version: Last known version of the configuration in force there.
    """

    vm: str
    ip: str
    zone: str
    region: str
    state: member_state.MemberState
    incarnation: int = 0
    version: int = 0
