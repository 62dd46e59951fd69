"""The end of a listener without the loss of accepted connections."""

import ctypes
import socket
import struct
import sys
import typing

from twisted.internet import defer
from twisted.internet import task

_SO_ATTACH_FILTER = 26
"""Socket option of Linux."""

_HANDSHAKE_SECONDS = 0.2
"""Time in which handshakes under way end and are accepted."""

_TCP_FLAGS_OFFSET = 13
_SYN = 0x02
_ACCEPT_WHOLE_PACKET = 0xFFFFFFFF
_DROP_SYN_FILTER = (
    (0x30, 0, 0, _TCP_FLAGS_OFFSET),  # load the byte of the TCP flags
    (0x54, 0, 0, _SYN),  # and SYN
    (0x15, 0, 1, 0),  # skip one instruction unless it is zero
    (0x06, 0, 0, _ACCEPT_WHOLE_PACKET),  # accept
    (0x06, 0, 0, 0),  # drop
)
"""Packet filter that drops the first packet of each new connection [1]_.

References:
    .. [1] S. McCanne and V. Jacobson, "The BSD packet filter: a new
       architecture for user-level packet capture", USENIX Winter 1993.
"""


async def stop_listening(listener: typing.Any, reactor: typing.Any) -> None:
    """Stops to listen, and accepts first what has connected.

    The system resets connections that wait for `accept` when their listener is
    closed, so that callers lose requests. Here new connections are held off
    before: their callers try again, and are refused after the close.

    Args:
        listener: The listening port.
        reactor: The reactor.
    """
    if _drop_new_connections(getattr(listener, "socket", None)):
        await task.deferLater(reactor, _HANDSHAKE_SECONDS)
    await defer.maybeDeferred(listener.stopListening)


def _drop_new_connections(listening_socket: socket.socket | None) -> bool:
    """Returns whether new connections are held off."""
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
