"""Protocol for the response to one attempt."""

import typing


class ResponseSink(typing.Protocol):
    """Receives the tokens of one attempt and writes the HTTP response."""

    def send_token(self, event_id: str, text: str) -> None:
        """Sends one token in an event with the id `event_id`.

        The id is that of the attempt, unless a fault replaces it.
        """

    def finish(self, finish_reason: str, prompt_tokens: int,
               completion_tokens: int) -> None:
        """Completes the response with its finish reason and usage."""

    def truncate(self) -> None:
        """Ends the response early, without finish reason and end mark."""

    def reset(self) -> None:
        """Resets the connection."""
