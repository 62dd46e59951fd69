"""Tests of the ports of VMs, which collided and kept VMs from starting."""

import socket
import subprocess
import sys

from mustardwood.platform.tests import port_block

_VMS = 150


def test_vms_that_are_not_started_yet_get_different_ports():
    """A port that is not bound yet looks free."""
    ports = [
        port for _ in range(_VMS) for port in port_block.find_free_ports(3)
    ]
    assert len(set(ports)) == len(ports)


def test_processes_that_test_at_the_same_time_get_different_ports():
    own = set(port_block.find_free_ports(3))
    source = ("from mustardwood.platform.tests import port_block; "
              "print(*port_block.find_free_ports(3))")
    for _ in range(2):
        # The command's first ports are those of its block.
        output = subprocess.run([sys.executable, "-c", source],
                                capture_output=True,
                                text=True,
                                check=True).stdout
        assert not own & {int(each) for each in output.split()}


def test_closed_block_can_be_reserved_again():
    block = port_block.PortBlock()
    first = block.take(1)
    block.close()
    again = port_block.PortBlock()
    assert again.take(1) == first
    again.close()


def test_port_that_is_bound_for_datagrams_is_not_free():
    block = port_block.PortBlock()
    first, second = block.take(2)
    block.close()
    with socket.socket(type=socket.SOCK_DGRAM) as bound:
        bound.bind(("127.0.0.1", first))
        again = port_block.PortBlock()
        assert again.take(1) == [second]
        again.close()
