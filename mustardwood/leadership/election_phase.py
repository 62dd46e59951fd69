"""The phases of a leader election at one VM."""

import enum


class ElectionPhase(enum.Enum):
    """What a VM does in the election at present."""

    WAITING = "waiting"
    """Another VM holds the term, or it is not this VM's turn."""
    GRANTING = "granting"
    """A lease was requested."""
    ACQUIRING = "acquiring"
    """The key was written under the lease, with an unknown result."""
    HOLDING = "holding"
    """This VM holds the term."""
    STOPPED = "stopped"
    """The process is stopping."""
