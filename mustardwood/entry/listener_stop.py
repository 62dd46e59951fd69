"""Closes a listener without losing connections that callers have opened."""

import ctypes
import socket
import struct
import sys
import typing

from twisted.internet import defer
from twisted.internet import task

_SO_ATTACH_FILTER = 26
"""Linux socket option that attaches a classic BPF packet filter."""

_HANDSHAKE_SECONDS = 0.2
"""Time for open TCP handshakes to complete and be accepted."""

_TCP_FLAGS_OFFSET = 13
_SYN = 0x02
_ACCEPT_WHOLE_PACKET = 0xFFFFFFFF
_DROP_SYN_FILTER = (
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),  # load the byte with the TCP flags
    (0x54, 0, 0, _SYN),  # mask the SYN flag
    (0x15, 0, 1, 0),  # unless it is 0, skip one instruction
    (0x06, 0, 0, _ACCEPT_WHOLE_PACKET),  # accept the packet
    (0x06, 0, 0, 0),  # drop the packet
)
"""BPF program that drops the SYN packet of each new connection [1]_.

References:
    .. [1] S. McCanne and V. Jacobson, "The BSD packet filter: a new
       architecture for user-level packet capture", USENIX Winter 1993.
"""


async def stop_listening(listener: typing.Any, reactor: typing.Any) -> None:
    """Stops listening after all established connections are accepted.

    When a listener is closed, the operating system resets the connections that
    wait for `accept`, and callers lose requests. Therefore SYN packets are
    dropped first, so that no new connection is established. The callers'
    systems resend them and are refused after the close.

    Args:
        listener: The listening port.
        reactor: Twisted's reactor.
    """
    if _drop_new_connections(getattr(listener, "socket", None)):
        await task.deferLater(reactor, _HANDSHAKE_SECONDS)
    await defer.maybeDeferred(listener.stopListening)


def _drop_new_connections(listening_socket: socket.socket | None) -> bool:
    """Attaches the filter; returns whether new connections are dropped.

    It needs Linux; elsewhere, connections that wait for `accept` may be lost.
    """
    if listening_socket is None or not sys.platform.startswith("linux"):
        return False
    instructions = b"".join(
        struct.pack("HBBI", *each) for each in _DROP_SYN_FILTER)
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("HP", len(_DROP_SYN_FILTER), ctypes.addressof(buffer))
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER,
                                    program)
    except OSError:
        return False
    return True
