"""The passing of an answer to the callers that wait for it."""

import collections.abc
import dataclasses

import msgspec

from mustardwood import claims
from mustardwood import errors
from mustardwood.routing import answer_text
from mustardwood.routing import commands
from mustardwood.routing import merging
from mustardwood.routing import routing_context

_JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True)
class Recipient:
    """A caller that waits for an answer.

    Attributes:
        caller: Id of the caller.
        stream: Whether it gets server-sent events.
        include_usage: Whether its stream ends with the usage.
        joined: Whether it came later with the same idempotency key.
    """

    caller: str
    stream: bool
    include_usage: bool
    joined: bool = False


class Delivery:
    """Passes one answer to all of its recipients.

    Attributes:
        recipients: The callers, by id.
        streamed: Whether a part of the answer was passed on.
    """

    def __init__(self, context: routing_context.RoutingContext) -> None:
        self._context = context
        self.recipients: dict[str, Recipient] = {}
        self.streamed = False

    def add(self, recipient: Recipient, lines: list[bytes]) -> None:
        """Adds a caller, and passes it what the others have already."""
        self.recipients[recipient.caller] = recipient
        if recipient.stream and lines:
            data = b"".join(answer_text.encode_sse(each) for each in lines)
            self.streamed = True
            self._context.emit(commands.SendStreamData(recipient.caller, data))

    def remove(self, caller: str) -> None:
        """Forgets a caller that went away."""
        self.recipients.pop(caller, None)

    def pass_data(self, data: bytes) -> None:
        """Passes a part of a streamed answer."""
        for each in self.recipients.values():
            if each.stream:
                self.streamed = True
                self._context.emit(commands.SendStreamData(each.caller, data))

    def pass_completion(
        self, answer: answer_text.AnswerText, model: str,
        make_whole: collections.abc.Callable[[],
                                             claims.StoredResponse]) -> None:
        """Passes the end of a completion, or the whole of it.

        Args:
            answer: The answer.
            model: Name of the model.
            make_whole: Makes the answer as one object; called only when a
                recipient gets it so.
        """
        tail = [answer_text.encode_sse(each) for each in answer.tail]
        usage = answer_text.encode_sse(answer.encode_usage(model))
        done = answer_text.encode_sse(answer_text.DONE)
        for each in self.recipients.values():
            if not each.stream:
                self._pass_stored(each, make_whole())
                continue
            last = tail + ([usage] if each.include_usage else []) + [done]
            self._context.emit(
                commands.SendStreamData(each.caller, b"".join(last)))
            self._context.emit(commands.EndStream(each.caller))

    def pass_answer(self, whole: claims.StoredResponse) -> None:
        """Passes a whole answer."""
        for each in self.recipients.values():
            self._pass_stored(each, whole)

    def pass_error(self, error: errors.RequestError) -> None:
        """Passes the final error."""
        for each in self.recipients.values():
            self._context.emit(commands.SendError(each.caller, error))

    def replay(self, whole: claims.StoredResponse) -> None:
        """Passes the stored answer of an earlier request."""
        for each in list(self.recipients.values()):
            joined = dataclasses.replace(each, joined=True)
            if each.stream and whole.content_type.startswith(_JSON_TYPE):
                self._replay_stream(joined, whole)
            else:
                self._pass_stored(joined, whole)

    def _replay_stream(self, recipient: Recipient,
                       whole: claims.StoredResponse) -> None:
        event, usage = merging.split_answer(msgspec.json.decode(whole.body))
        parts = [event, usage] if recipient.include_usage else [event]
        lines = [msgspec.json.encode(each) for each in parts]
        lines.append(answer_text.DONE)
        data = b"".join(answer_text.encode_sse(each) for each in lines)
        self._context.emit(
            commands.SendStreamData(recipient.caller, data, replay=True))
        self._context.emit(commands.EndStream(recipient.caller))

    def _pass_stored(self, recipient: Recipient,
                     whole: claims.StoredResponse) -> None:
        headers = whole.headers
        if whole.content_type:
            headers += (("content-type", whole.content_type),)
        if recipient.joined:
            headers += (("x-idempotent-replay", "1"),)
        self._context.emit(
            commands.SendResponse(recipient.caller, whole.status, headers,
                                  whole.body))
