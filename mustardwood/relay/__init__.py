"""Connections to endpoints through other VMs.

A VM that is cut from all endpoints, while other VMs reach them, opens its
connections through one of these. Everything above the connection stays with
the VM that has the request: attempts, budgets, limits, statements of endpoints
and deadlines.
"""

from mustardwood.relay.path_monitor import PathMonitor
from mustardwood.relay.relayed_path import RelayedPath
from mustardwood.relay.tunnel_server import TunnelServer

__all__ = [
    "PathMonitor",
    "RelayedPath",
    "TunnelServer",
]
