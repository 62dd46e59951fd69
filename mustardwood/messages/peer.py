"""The address of a process."""

import msgspec

from mustardwood.messages import role


class Peer(msgspec.Struct, frozen=True):
    """Identifies one process of one VM.

    Attributes:
        ip: IP address of the VM.
        role: Kind of the process.
    """

    ip: str
    role: role.Role
