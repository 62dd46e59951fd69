"""The state of a VM as the fleet sees it."""

import enum


class MemberState(enum.StrEnum):
    """The states of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
