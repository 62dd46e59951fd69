"""Choice of the VM that owns a cell."""

import collections.abc
import hashlib

from mustardwood import messages

_USABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)
_DIGEST_BYTES = 8


def rank_owners(
    cell_name: str, region: str,
    members: collections.abc.Iterable[messages.Member]
) -> tuple[messages.Member, ...]:
    """Ranks the VMs that may own a cell, the preferred owner first.

    The ranking uses rendezvous hashing [1]_, so that the loss of a VM moves
    only the cells that it owned. VMs of the cell's region rank before all
    others. VMs suspected to be dead keep their rank: an entry skips an owner
    only on its own evidence that the owner doesn't answer.

    Args:
        cell_name: Name of the cell.
        region: Region of the cell.
        members: The VMs of the fleet.

    Returns:
        The members in state alive or suspect, in order of preference.

    References:
        .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to
           increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    usable = [each for each in members if each.state in _USABLE]
    return tuple(
        sorted(usable,
               key=lambda each:
               (each.region != region, _weigh(cell_name, each.vm))))


def _weigh(cell_name: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{cell_name}\0{vm}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
