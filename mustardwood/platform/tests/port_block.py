"""Ports that the VMs of one test process have to themselves."""

import functools
import itertools
import socket

_FIRST_PORT = 12_000
"""Lowest port of VMs; services of the system use lower ones."""
_PORTS_PER_BLOCK = 500


class PortBlock:
    """Ports that no other test process of this machine gives to a VM.

    They lie below the ephemeral ports, so that no outgoing connection takes
    one between two starts of a VM. The block is reserved by a Unix socket in
    the abstract namespace, which the system closes with the process.
    """

    def __init__(self):
        """Reserves the first block that no process has.

        Raises:
            RuntimeError: All blocks are reserved.
        """
        for first in range(_FIRST_PORT,
                           _find_first_ephemeral_port() - _PORTS_PER_BLOCK + 1,
                           _PORTS_PER_BLOCK):
            reservation = socket.socket(socket.AF_UNIX)
            try:
                reservation.bind(f"\0mustardwood-ports-{first}")
            except OSError:
                reservation.close()
                continue
            self._reservation = reservation
            self._ports = itertools.cycle(range(first,
                                                first + _PORTS_PER_BLOCK))
            return
        raise RuntimeError("all blocks of ports are reserved by other tests")

    def take(self, count: int) -> list[int]:
        """Returns free ports, each of which was not returned for a long time.

        Args:
            count: Number of ports.

        Raises:
            RuntimeError: Fewer ports of the block are free.
        """
        free = filter(_is_free, itertools.islice(self._ports, _PORTS_PER_BLOCK))
        ports = list(itertools.islice(free, count))
        if len(ports) < count:
            raise RuntimeError(
                f"fewer than {count} ports of the block are free")
        return ports

    def close(self):
        """Lets other processes reserve the block."""
        self._reservation.close()


@functools.cache
def _get_block():
    return PortBlock()


def find_free_ports(count: int) -> list[int]:
    """Returns ports of the block of this process; see `PortBlock.take`."""
    return _get_block().take(count)


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def _find_first_ephemeral_port():
    with open("/proc/sys/net/ipv4/ip_local_port_range",
              encoding="utf-8") as range_file:
        return int(range_file.read().split()[0])
