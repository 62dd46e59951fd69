"""The state of a VM according to failure detection."""

import enum


class MemberState(enum.StrEnum):
    """The states of a member.

    `ALIVE` is a VM that responds to probes, `SUSPECT` one that stopped
    responding and may still refute it, `LEAVING` one that is shutting down or
    that the platform lists as leaving, and `DEAD` one that did not refute a
    suspicion in time.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
