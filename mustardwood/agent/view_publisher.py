"""What the processes of this VM are told."""

import dataclasses
import datetime

import msgspec

from mustardwood import messages

REPEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Time between repeats of a view that did not change."""

RECEIVER_ROLES = (messages.Role.SCHEDULER, messages.Role.ENTRY)
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
        self._receivers = {role: _Receiver() for role in RECEIVER_ROLES}

    def get_versions(self) -> dict[messages.Role, int]:
        """Returns the configuration version in force at each receiver."""
        return {role: each.version for role, each in self._receivers.items()}

    def publish(self, content: messages.View,
                now: datetime.timedelta) -> tuple[messages.Addressed, ...]:
        """Returns what to send.

        Args:
            content: The view as it is now; its sequence is ignored.
            now: Present time.
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

    def handle_ack(self, sender: messages.Peer, incarnation: int,
                   ack: messages.ViewAck) -> tuple[messages.Addressed, ...]:
        """Takes an acknowledgement; returns the whole view if it is needed."""
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
                      content: messages.View) -> messages.Addressed:
        view = msgspec.structs.replace(content, sequence=self._sequence)
        if self._receivers[role].version >= content.version:
            view = msgspec.structs.replace(view, configuration=None)
        return messages.Addressed(messages.Peer(self._ip, role), view)
