"""Links, which carry messages between the processes of the fleet."""

from mustardwood.links.link import Handler
from mustardwood.links.link import Link

__all__ = ["Handler", "Link"]
