"""The choice of the agent that takes a stopping entry's counts."""

import collections.abc

from mustardwood import messages
from mustardwood import reports


def choose_handover_agent(vm: str,
                          members: collections.abc.Iterable[messages.Member],
                          minute: int) -> messages.Peer | None:
    """Returns the agent to hand the counts over to.

    It is the one most likely to collect the present minute.

    Args:
        vm: Name of the VM that stops.
        members: The VMs.
        minute: The present minute.

    Returns:
        The agent; None when no other VM is alive.
    """
    alive = {
        each.vm: each.ip
        for each in members
        if each.state is messages.MemberState.ALIVE and each.vm != vm
    }
    ranking = reports.rank_collectors(f"burn/{minute}", alive)
    if not ranking:
        return None
    return messages.Peer(alive[ranking[0]], messages.Role.AGENT)
