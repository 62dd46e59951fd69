"""Options that let a connection to a silent peer fail."""

import socket
import typing

_PROBE_SECONDS = 1
"""Idle time before a keep-alive probe, and the time between probes."""
_PROBES = 2
"""Unanswered probes after which the connection is dead."""
_UNACKNOWLEDGED_MS = 2500
"""Time after which unacknowledged bytes end the connection.

It is shorter than the time for which the platform counts a VM as out of touch.
"""


def watch_peer(transport: typing.Any) -> None:
    """Sets keep-alive probes and a bound on unacknowledged bytes."""
    handle = transport.getHandle()
    transport.setTcpNoDelay(True)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                      _UNACKNOWLEDGED_MS)
