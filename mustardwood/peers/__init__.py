"""News that the VMs of a deployment send each other in datagrams."""

from mustardwood.peers.datagram_port import DatagramPort
from mustardwood.peers.news import News
from mustardwood.peers.news_exchange import NewsExchange

__all__ = ["DatagramPort", "News", "NewsExchange"]
