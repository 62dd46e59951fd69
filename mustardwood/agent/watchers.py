"""The choice of the agents that watch the platform."""

import collections.abc
import hashlib

from mustardwood import messages

WATCHERS_PER_ZONE = 3
"""Number of agents of an availability zone that watch the platform."""

_LIVE = (messages.MemberState.ALIVE,)


def is_watcher(own_member: messages.Member,
               members: collections.abc.Iterable[messages.Member]) -> bool:
    """Returns whether this agent watches the platform for its zone.

    Each agent decides alone, by rendezvous order over the live VMs of its
    zone; agents that see different members only make a few watches more.

    Args:
        me: This VM.
        members: The VMs, this one included.
    """
    zone_vms = {
        each.vm
        for each in members
        if each.zone == own_member.zone and each.state in _LIVE
    }
    zone_vms.add(own_member.vm)
    ranked = sorted(zone_vms, key=lambda vm: _compute_rank(own_member.zone, vm))
    return own_member.vm in ranked[:WATCHERS_PER_ZONE]


def _compute_rank(zone: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{zone}\0{vm}".encode(), digest_size=8).digest()
