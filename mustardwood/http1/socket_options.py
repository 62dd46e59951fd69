"""Socket options that detect unreachable peers of a TCP connection."""

import socket
import typing

_KEEPALIVE_INTERVAL_SECONDS = 1
"""Idle time before the first TCP keep-alive probe, and between probes."""
_MAX_KEEPALIVE_PROBES = 2
"""Number of unanswered probes after which the connection is closed."""
_USER_TIMEOUT_MS = 2500
"""Time after which unacknowledged data closes the connection.

It is shorter than the time after which the platform considers a VM unreachable.
"""


def configure_socket(transport: typing.Any) -> None:
    """Sets TCP_NODELAY, the keep-alive probes and the TCP user timeout."""
    handle = transport.getHandle()
    transport.setTcpNoDelay(True)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE,
                      _KEEPALIVE_INTERVAL_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL,
                      _KEEPALIVE_INTERVAL_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT,
                      _MAX_KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT,
                      _USER_TIMEOUT_MS)
