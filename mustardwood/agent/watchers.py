"""The choice of the agents that watch the platform."""

import collections.abc
import hashlib

from mustardwood import messages

WATCHERS_PER_ZONE = 3
"""Number of agents of an availability zone that watch the platform."""

_LIVE = (messages.MemberState.ALIVE,)


def is_watcher(me: messages.Member,
               members: collections.abc.Iterable[messages.Member]) -> bool:
    """Returns whether this agent watches the platform for its zone.

    Each agent decides alone, by rendezvous order over the live VMs of its
    zone; agents that see different members only make a few watches more.

    Args:
        me: This VM.
        members: The VMs, this one included.
    """
    zone = {
        each.vm
        for each in members
        if each.zone == me.zone and each.state in _LIVE
    }
    zone.add(me.vm)
    ordered = sorted(zone, key=lambda vm: _weigh(me.zone, vm))
    return me.vm in ordered[:WATCHERS_PER_ZONE]


def _weigh(zone: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{zone}\0{vm}".encode(), digest_size=8).digest()
