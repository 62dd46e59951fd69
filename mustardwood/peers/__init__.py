"""State updates that the VMs of a deployment send each other over UDP."""

from mustardwood.peers.datagram_port import DatagramPort
from mustardwood.peers.peer_protocol import PeerProtocol
from mustardwood.peers.peer_update import ConfigurationPosition
from mustardwood.peers.peer_update import PeerUpdate
from mustardwood.peers.peer_update import PeerUpdateWithUsage
from mustardwood.peers.peer_update import UPDATE_FORMAT
from mustardwood.peers.usage_exchange import UsageExchange

__all__ = [
    "ConfigurationPosition", "DatagramPort", "PeerProtocol", "PeerUpdate",
    "PeerUpdateWithUsage", "UPDATE_FORMAT", "UsageExchange"
]
