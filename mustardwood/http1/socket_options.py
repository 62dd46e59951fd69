"""Socket options that detect unreachable peers of a TCP connection."""

import contextlib
import datetime
import socket
import typing

_KEEPALIVE_INTERVAL_SECONDS = 1
"""Idle time before the first TCP keep-alive probe, and between probes."""
_MAX_KEEPALIVE_PROBES = 2
"""Number of unanswered probes after which the connection is closed."""
UNREACHABLE_TIMEOUT = datetime.timedelta(milliseconds=2500)
"""Time after which unacknowledged data closes a connection.

It is shorter than the time after which the platform considers a VM unreachable.
"""
SLOW_READER_TIMEOUT = datetime.timedelta(seconds=30)
"""The same for a peer that may read more slowly than data arrives.

The system resets a connection whose receive window stays too small like one
whose peer is lost.
"""
_ESTABLISHED = 1
"""State of a TCP connection that neither side has closed."""
_MILLISECOND = datetime.timedelta(milliseconds=1)


def configure_socket(transport: typing.Any,
                     send_timeout: datetime.timedelta) -> None:
    """Sets TCP_NODELAY, the keep-alive probes and the TCP user timeout.

    Args:
        transport: Twisted's transport.
        send_timeout: See `set_send_timeout`.
    """
    handle = transport.getHandle()
    transport.setTcpNoDelay(True)
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE,
                      _KEEPALIVE_INTERVAL_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL,
                      _KEEPALIVE_INTERVAL_SECONDS)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT,
                      _MAX_KEEPALIVE_PROBES)
    set_send_timeout(transport, send_timeout)


def limit_receive_buffer(transport: typing.Any, max_bytes: int) -> None:
    """Bounds the received bytes that the system holds until they are read.

    Args:
        transport: Twisted's transport.
        max_bytes: Number of bytes; the system may hold twice as many.
    """
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                     max_bytes)


def is_closed_by_peer(transport: typing.Any) -> bool:
    """Returns whether the peer has closed or reset the connection.

    It is known before the received bytes are read; False if it can't be told.

    Args:
        transport: Twisted's transport.
    """
    try:
        information = transport.getHandle().getsockopt(socket.IPPROTO_TCP,
                                                       socket.TCP_INFO, 1)
    except OSError:
        return False
    return information[0] != _ESTABLISHED


def close_at_once(transport: typing.Any) -> None:
    """Closes a connection before this call returns, and resets it after that.

    Twisted closes the socket in a later turn of the event loop. The process may
    stand still before that, while the peer works on.

    Args:
        transport: Twisted's transport.
    """
    # The peer may have closed the connection, or the system has reset it.
    with contextlib.suppress(OSError):
        transport.getHandle().shutdown(socket.SHUT_RDWR)
    transport.abortConnection()


def end_sending(transport: typing.Any) -> None:
    """Closes the sending direction before this call returns.

    Args:
        transport: Twisted's transport.
    """
    with contextlib.suppress(OSError):
        transport.getHandle().shutdown(socket.SHUT_WR)


def set_send_timeout(transport: typing.Any,
                     send_timeout: datetime.timedelta) -> None:
    """Sets the TCP user timeout [1]_.

    Args:
        transport: Twisted's transport.
        send_timeout: Time for which data may be queued or unacknowledged before
            the connection is reset.

    References:
        .. [1] L. Eggert and F. Gont, "TCP User Timeout Option", RFC 5482, 2009.
    """
    transport.getHandle().setsockopt(socket.IPPROTO_TCP,
                                     socket.TCP_USER_TIMEOUT,
                                     send_timeout // _MILLISECOND)
