"""Selects the agent that receives the counts of an entry that shuts down."""

import collections.abc

from mustardwood import messages
from mustardwood import reports


def choose_handover_agent(vm: str,
                          members: collections.abc.Iterable[messages.Member],
                          minute: int) -> messages.Peer | None:
    """Returns the agent that receives the service-level counts of an entry.

    It is the agent that ranks first for collecting the current minute.

    Args:
        vm: Name of the entry's own VM, which is excluded.
        members: The members of the fleet.
        minute: Number of the current minute.

    Returns:
        The agent; None if no other VM is alive.
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
