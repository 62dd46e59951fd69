"""The choice of a cell's owner."""

import collections.abc
import hashlib

from mustardwood import messages

_USABLE = (messages.MemberState.ALIVE, messages.MemberState.SUSPECT)
_DIGEST_BYTES = 8


def rank_owners(
    cell_name: str, region: str,
    members: collections.abc.Iterable[messages.Member]
) -> tuple[messages.Member, ...]:
    """Orders the VMs that may own a cell, first choice first.

    Uses rendezvous hashing [1]_, so that the loss of a VM moves only the cells
    that it owned. VMs of the cell's region come first; suspected VMs stay in
    the order, since only the evidence of whoever asks decides.

    Args:
        cell_name: Name of the cell.
        region: Region of the cell.
        members: The VMs.

    Returns:
        The members that are alive or suspected, in order of preference.

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
