"""The choice of agents that receive an update directly."""

import collections.abc
import math
import random

from mustardwood import messages

SMALL_FLEET_MAX_VMS = 16
"""Number of VMs up to which updates are sent to all of them directly."""

_EXTRA_FANOUT = 3

_REACHABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT,
              messages.MemberState.LEAVING)


def choose_peers(members: collections.abc.Iterable[messages.Member],
                 own_vm: str, rng: random.Random) -> tuple[messages.Peer, ...]:
    """Chooses the agents that receive an update directly.

    In a fleet of up to `SMALL_FLEET_MAX_VMS` VMs these are all agents. In a
    larger one they are ``log2(n) + 3`` random agents, which forward an update
    that is new to them, so that it reaches all VMs with high probability [1]_.

    Args:
        members: VMs to choose from; dead ones are left out.
        own_vm: Name of the sending VM, which is also left out.
        rng: Source of randomness.

    Returns:
        Addresses of the chosen agents.

    References:
        .. [1] A.-M. Kermarrec, L. Massoulié and A. Ganesh, "Probabilistic
           reliable dissemination in large-scale systems", IEEE Transactions
           on Parallel and Distributed Systems 14(3), 2003.
    """
    others = [
        each for each in members
        if each.vm != own_vm and each.state in _REACHABLE
    ]
    if len(others) >= SMALL_FLEET_MAX_VMS:
        fanout = math.ceil(math.log2(len(others) + 1)) + _EXTRA_FANOUT
        others = rng.sample(others, min(fanout, len(others)))
    return tuple(messages.Peer(each.ip, messages.Role.AGENT) for each in others)
