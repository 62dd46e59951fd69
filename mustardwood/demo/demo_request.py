"""A request of the demo."""

import msgspec


class DemoRequest(msgspec.Struct, frozen=True):
    """A request, with all that is needed to check its answer.

    Attributes:
        request_class: Class that the configuration gives it.
        names_class: Whether it names its class in a header.
        api_key: API key of its organisation.
        serves: Model or plain service.
        text: Prompt, or body of a call of a service.
        max_tokens: Bound on the answer's length in tokens; None for none.
        is_chat: Whether it is a chat completion.
        is_streamed: Whether the answer is streamed.
        idempotency_key: Key of a call of a service; empty for a completion.
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
        """Whether it goes to a plain service."""
        return bool(self.idempotency_key)
