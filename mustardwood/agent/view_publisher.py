"""Publication of views to the processes of this VM."""

import dataclasses
import datetime

import msgspec

from mustardwood import messages

REPEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Interval at which an unchanged view is sent again."""

RECEIVER_ROLES = (messages.Role.SCHEDULER, messages.Role.ENTRY)
"""Roles of the processes that receive views."""


@dataclasses.dataclass
class _Receiver:
    """State of a receiver, from its acknowledgements.

    Attributes:
        incarnation: Start time of the process, in nanoseconds since 1970;
            0 before the first acknowledgement.
        version: Configuration version in force there; 0 for none.
    """

    incarnation: int = 0
    version: int = 0


class ViewPublisher:
    """Publishes views on each change and every `REPEAT_INTERVAL`.

    A view includes the configuration until the receiver has acknowledged its
    version. A restarted process acknowledges a lower version and then receives
    the configuration again.

    Args:
        ip: IP address of this VM.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._sequence = 0
        self._content: messages.View | None = None
        self._sent_at: datetime.timedelta | None = None
        self._receivers = {role: _Receiver() for role in RECEIVER_ROLES}

    def get_versions(self) -> dict[messages.Role, int]:
        """Returns the configuration version in force at each receiver."""
        return {role: each.version for role, each in self._receivers.items()}

    def publish(
            self, content: messages.View,
            now: datetime.timedelta) -> tuple[messages.AddressedMessage, ...]:
        """Returns the messages to send.

        Args:
            content: The current view; its sequence number is ignored.
            now: Current monotonic time.
        """
        content_without_sequence = msgspec.structs.replace(content, sequence=0)
        is_changed = content_without_sequence != self._content
        is_due = (self._sent_at is None or
                  now - self._sent_at >= REPEAT_INTERVAL)
        if not is_changed and not is_due:
            return ()
        if is_changed:
            self._sequence += 1
            self._content = content_without_sequence
        self._sent_at = now
        return tuple(
            self._make_message(role, content_without_sequence)
            for role in RECEIVER_ROLES)

    def handle_ack(
            self, sender: messages.Peer, incarnation: int,
            ack: messages.ViewAck) -> tuple[messages.AddressedMessage, ...]:
        """Processes an acknowledgement.

        Args:
            sender: Process that acknowledges.
            incarnation: Its start time; an acknowledgement of a process that
                was restarted since is ignored.
            ack: The acknowledgement.

        Returns:
            The current view if the process was restarted and lacks the
            configuration, else nothing.
        """
        receiver = self._receivers.get(sender.role)
        if receiver is None or sender.ip != self._ip:
            return ()
        if incarnation < receiver.incarnation:
            return ()
        has_restarted = incarnation > receiver.incarnation
        receiver.incarnation = incarnation
        receiver.version = ack.version
        if not has_restarted or self._content is None:
            return ()
        if ack.version >= self._content.version:
            return ()
        return (self._make_message(sender.role, self._content),)

    def _make_message(self, role: messages.Role,
                      content: messages.View) -> messages.AddressedMessage:
        view = msgspec.structs.replace(content, sequence=self._sequence)
        if self._receivers[role].version >= content.version:
            view = msgspec.structs.replace(view, configuration=None)
        return messages.AddressedMessage(messages.Peer(self._ip, role), view)
