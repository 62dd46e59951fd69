"""Failure detection and the table of fleet members, without I/O."""

from mustardwood.membership.failure_detector import FailureDetector
from mustardwood.membership.fanout import choose_peers
from mustardwood.membership.fanout import SMALL_FLEET_MAX_VMS
from mustardwood.membership.member_table import MemberTable

__all__ = [
    "FailureDetector",
    "MemberTable",
    "SMALL_FLEET_MAX_VMS",
    "choose_peers",
]
