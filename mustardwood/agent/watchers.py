"""Selection of the agents that watch the platform."""

import collections.abc
import hashlib

from mustardwood import messages

WATCHERS_PER_ZONE = 3
"""Number of agents per availability zone that watch the platform."""

_LIVE_STATES = (messages.MemberState.ALIVE,)


def is_watcher(own_member: messages.Member,
               members: collections.abc.Iterable[messages.Member]) -> bool:
    """Returns whether this agent watches the platform for its zone.

    Each agent decides locally, by rendezvous hashing over the live VMs of its
    zone. If agents know different members, only a few more of them watch.

    Args:
        own_member: This VM.
        members: The known VMs, including this one.
    """
    zone_vms = {
        each.vm
        for each in members
        if each.zone == own_member.zone and each.state in _LIVE_STATES
    }
    zone_vms.add(own_member.vm)
    ranked = sorted(zone_vms, key=lambda vm: _compute_rank(own_member.zone, vm))
    return own_member.vm in ranked[:WATCHERS_PER_ZONE]


def _compute_rank(zone: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{zone}\0{vm}".encode(), digest_size=8).digest()
