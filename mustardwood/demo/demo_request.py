"""A request of the demo."""

import msgspec


class DemoRequest(msgspec.Struct, frozen=True):
    """A request, with the data needed to check its answer.

    Attributes:
        request_class: Request class that the router should assign to it.
        names_class: Whether it names its class in a header; otherwise the
            rules of the configuration assign it.
        api_key: API key of its organisation.
        serves: Name of the model or plain service that it asks for.
        text: Prompt of a completion, or body of a service call.
        max_tokens: Limit on the answer's length in tokens; None for none.
        is_chat: Whether it is a chat completion.
        is_streamed: Whether the answer is streamed.
        idempotency_key: Idempotency key of a service call; empty for a
            completion.
    """

    request_class: str
    names_class: bool
    api_key: str
    serves: str
    text: str
    max_tokens: int | None = None
    is_chat: bool = True
    is_streamed: bool = True
    idempotency_key: str = ""

    @property
    def is_service_call(self) -> bool:
        """Whether it is a call of a plain service."""
        return bool(self.idempotency_key)
