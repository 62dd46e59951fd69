"""Where a stand-in engine sends an answer."""

import typing


class ResponseSink(typing.Protocol):
    """Takes the events of one attempt."""

    def send_token(self, event_id: str, text: str) -> None:
        """Sends one token under an attempt's id."""

    def finish(self, finish_reason: str, prompt_tokens: int,
               completion_tokens: int) -> None:
        """Ends the answer as a whole one."""

    def cut(self) -> None:
        """Ends the answer without an end mark."""

    def reset(self) -> None:
        """Resets the connection."""
