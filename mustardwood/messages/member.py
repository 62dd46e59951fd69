"""A VM of the fleet."""

import msgspec

from mustardwood.messages import member_state


class Member(msgspec.Struct, frozen=True):
    """A VM with its state.

    Attributes:
        vm: Name of the VM.
        ip: IP address.
        zone: Availability zone.
        region: Region.
        state: State as the sender sees it.
        incarnation: Start time of its agent, in nanoseconds since 1970, plus
            one for each suspicion that it refuted.
        version: Configuration version in force there, as last heard.
    """

    vm: str
    ip: str
    zone: str
    region: str
    state: member_state.MemberState
    incarnation: int = 0
    version: int = 0
