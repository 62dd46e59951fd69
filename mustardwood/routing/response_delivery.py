"""Delivery of a response to the callers that wait for it."""

import collections.abc
import dataclasses

import msgspec

from mustardwood import claims
from mustardwood import errors
from mustardwood.routing import commands
from mustardwood.routing import completion_buffer
from mustardwood.routing import response_conversion
from mustardwood.routing import routing_context

_JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True)
class Recipient:
    """A caller that waits for a response.

    Attributes:
        caller: Id of the caller.
        stream: Whether the caller gets server-sent events.
        include_usage: Whether the caller's stream ends with a usage event.
        joined: Whether the caller gets the response of an earlier request with
            the same idempotency key.
    """

    caller: str
    stream: bool
    include_usage: bool
    joined: bool = False


class ResponseDelivery:
    """Sends one response to all of its recipients.

    Attributes:
        recipients: Recipients by id of the caller.
        has_streamed: Whether a part of the response has been streamed to a
            caller.
    """

    def __init__(self, context: routing_context.RoutingContext) -> None:
        self._context = context
        self.recipients: dict[str, Recipient] = {}
        self.has_streamed = False

    def add_recipient(self, recipient: Recipient, events: list[bytes]) -> None:
        """Adds a recipient.

        Args:
            recipient: The recipient.
            events: Data of the events that the other recipients got already.
        """
        self.recipients[recipient.caller] = recipient
        if recipient.stream and events:
            data = b"".join(
                completion_buffer.encode_sse(each) for each in events)
            self.has_streamed = True
            self._context.emit(commands.SendStreamData(recipient.caller, data))

    def remove_recipient(self, caller: str) -> None:
        """Removes a caller that disconnected."""
        self.recipients.pop(caller, None)

    def send_stream_data(self, data: bytes) -> None:
        """Sends encoded server-sent events to the recipients that stream."""
        for each in self.recipients.values():
            if each.stream:
                self.has_streamed = True
                self._context.emit(commands.SendStreamData(each.caller, data))

    def send_completion(
        self, buffer: completion_buffer.CompletionBuffer, model: str,
        make_stored_response: collections.abc.Callable[[],
                                                       claims.StoredResponse]
    ) -> None:
        """Sends the rest of a completion, or all of it where not streamed.

        Args:
            buffer: The buffer with the completion.
            model: Name of the model.
            make_stored_response: Returns the completion as one object; it is
                called only for recipients that don't stream.
        """
        held_back = [
            completion_buffer.encode_sse(each)
            for each in buffer.held_back_events
        ]
        usage = completion_buffer.encode_sse(buffer.encode_usage_event(model))
        done = completion_buffer.encode_sse(completion_buffer.END_MARKER)
        for each in self.recipients.values():
            if not each.stream:
                self._send_stored(each, make_stored_response())
                continue
            last = held_back + ([usage] if each.include_usage else []) + [done]
            self._context.emit(
                commands.SendStreamData(each.caller, b"".join(last)))
            self._context.emit(commands.EndStream(each.caller))

    def send_response(self, response: claims.StoredResponse) -> None:
        """Sends a complete response."""
        for each in self.recipients.values():
            self._send_stored(each, response)

    def send_error(self, error: errors.RequestError) -> None:
        """Sends the final error of the request."""
        for each in self.recipients.values():
            self._context.emit(commands.SendError(each.caller, error))

    def replay(self, response: claims.StoredResponse) -> None:
        """Sends the stored response of an earlier request."""
        for each in list(self.recipients.values()):
            joined = dataclasses.replace(each, joined=True)
            if each.stream and response.content_type.startswith(_JSON_TYPE):
                self._replay_stream(joined, response)
            else:
                self._send_stored(joined, response)

    def _replay_stream(self, recipient: Recipient,
                       response: claims.StoredResponse) -> None:
        event, usage = response_conversion.split_response(
            msgspec.json.decode(response.body))
        parts = [event, usage] if recipient.include_usage else [event]
        events = [msgspec.json.encode(each) for each in parts]
        events.append(completion_buffer.END_MARKER)
        data = b"".join(completion_buffer.encode_sse(each) for each in events)
        self._context.emit(
            commands.SendStreamData(recipient.caller, data, replay=True))
        self._context.emit(commands.EndStream(recipient.caller))

    def _send_stored(self, recipient: Recipient,
                     response: claims.StoredResponse) -> None:
        headers = response.headers
        if response.content_type:
            headers += (("content-type", response.content_type),)
        if recipient.joined:
            headers += (("x-idempotent-replay", "1"),)
        self._context.emit(
            commands.SendResponse(recipient.caller, response.status, headers,
                                  response.body))
