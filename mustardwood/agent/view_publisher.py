"""What the processes of this VM are told."""

import dataclasses
import datetime

import msgspec

from mustardwood import messages

REPEAT_PERIOD = datetime.timedelta(seconds=1)
"""Time between repeats of a view that did not change."""

RECEIVERS = (messages.Role.SCHEDULER, messages.Role.ENTRY)
"""The processes that get views."""


@dataclasses.dataclass
class _Receiver:
    """What is known of a receiver.

    Attributes:
        incarnation: Start time of the process that acknowledged last.
        version: Configuration version in force there.
    """

    incarnation: int = 0
    version: int = 0


class ViewPublisher:
    """Sends views on each change and each `REPEAT_PERIOD`.

    A view holds the configuration until the receiving process has
    acknowledged its version; a process that restarted acknowledges a lower one
    and gets the whole again.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._sequence = 0
        self._content: messages.View | None = None
        self._sent_at: datetime.timedelta | None = None
        self._receivers = {role: _Receiver() for role in RECEIVERS}

    def versions(self) -> dict[messages.Role, int]:
        """Returns the configuration version in force at each receiver."""
        return {role: each.version for role, each in self._receivers.items()}

    def publish(
            self, content: messages.View,
            now: datetime.timedelta) -> tuple[messages.AddressedMessage, ...]:
        """Returns what to send.

        Args:
            content: The view as it is now; its sequence is ignored.
            now: Present time.
        """
        bare = msgspec.structs.replace(content, sequence=0)
        changed = bare != self._content
        due = (self._sent_at is None or now - self._sent_at >= REPEAT_PERIOD)
        if not changed and not due:
            return ()
        if changed:
            self._sequence += 1
            self._content = bare
        self._sent_at = now
        return tuple(self._address(role, bare) for role in RECEIVERS)

    def accept_ack(
            self, sender: messages.Peer, incarnation: int,
            ack: messages.ViewAck) -> tuple[messages.AddressedMessage, ...]:
        """Takes an acknowledgement; returns the whole view if it is needed."""
        receiver = self._receivers.get(sender.role)
        if receiver is None or sender.ip != self._ip:
            return ()
        if incarnation < receiver.incarnation:
            return ()
        restarted = incarnation > receiver.incarnation
        receiver.incarnation = incarnation
        receiver.version = ack.version
        if not restarted or self._content is None:
            return ()
        if ack.version >= self._content.version:
            return ()
        return (self._address(sender.role, self._content),)

    def _address(self, role: messages.Role,
                 content: messages.View) -> messages.AddressedMessage:
        view = msgspec.structs.replace(content, sequence=self._sequence)
        if self._receivers[role].version >= content.version:
            view = msgspec.structs.replace(view, configuration=None)
        return messages.AddressedMessage(messages.Peer(self._ip, role), view)
