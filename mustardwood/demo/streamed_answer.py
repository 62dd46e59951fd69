"""Reads an answer that is streamed as server-sent events."""

import datetime
import json
import typing

from mustardwood import timing

_DATA_PREFIX = b"data: "
_END_MARK = b"[DONE]"


class StreamedAnswer:
    """Collects the text of a streamed answer.

    Args:
        clock: The clock.

    Attributes:
        text: The text received so far.
        first_token_at: Monotonic time when the first token was received; None
            before that.

    Examples:
        >>> answer = StreamedAnswer(timing.ManualClock())
        >>> answer.receive(b'data: {"choices": [{"text": "a", ')
        >>> answer.receive(b'"finish_reason": "stop"}]}\\n\\n')
        >>> answer.receive(b'data: [DONE]\\n\\n')
        >>> answer.text, answer.is_complete
        ('a', True)
    """

    def __init__(self, clock: timing.Clock) -> None:
        self.text = ""
        self.first_token_at: datetime.timedelta | None = None
        self._clock = clock
        self._buffer = b""
        self._has_finish_reason = False
        self._has_end_mark = False

    @property
    def is_complete(self) -> bool:
        """Whether the finish reason and the end mark ``[DONE]`` were received.
        """
        return self._has_finish_reason and self._has_end_mark

    def receive(self, data: bytes) -> None:
        """Parses the next bytes of the response body."""
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                self._receive_event(line.removeprefix(_DATA_PREFIX).strip())

    def _receive_event(self, payload: bytes) -> None:
        if payload == _END_MARK:
            self._has_end_mark = True
            return
        for choice in json.loads(payload).get("choices", []):
            self._receive_choice(choice)

    def _receive_choice(self, choice: dict[str, typing.Any]) -> None:
        text = choice.get("text") or choice.get("delta", {}).get("content")
        if text and self.first_token_at is None:
            self.first_token_at = self._clock.monotonic()
        self.text += text or ""
        if choice.get("finish_reason"):
            self._has_finish_reason = True
