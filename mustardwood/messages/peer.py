"""The address of a process."""

import msgspec

from mustardwood.messages import role


class Peer(msgspec.Struct, frozen=True):
    """Names one process of one VM.

    Attributes:
        ip: IP address of the VM.
        role: Which of its processes.
    """

    ip: str
    role: role.Role
