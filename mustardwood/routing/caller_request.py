"""A validated request of a caller."""

import dataclasses
import datetime
import typing

from mustardwood import configuration
from mustardwood.routing import request_kind


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A validated request, as the router receives it.

    Attributes:
        request_id: Unique id of the request.
        kind: Interface that the request came through.
        model_or_service: Name of the requested model or service.
        request_class: Class, which sets the tier, the targets and the deadline.
        organisation: Name of the caller's organisation.
        arrived_at: Monotonic time of arrival.
        idempotent: Whether the request may run on endpoints more than once.
        fingerprint: Hash of the organisation and the content, by which equal
            requests are recognised.
        fields: Fields of a completion's body, as the caller sent them.
        stream: Whether a completion is returned as server-sent events.
        include_usage: Whether a streamed completion ends with a usage event.
        prompt_tokens: Estimated length of the prompt, in tokens.
        max_tokens: Maximum length of the completion, in tokens.
        prefix_hash: Hash of the start of the prompt; 0 for none.
        method: HTTP method of a service call.
        path: Path and query of a service call, relative to the endpoint's URL.
        headers: Headers of a service call, without hop-by-hop headers.
        body: Body of a service call.
        idempotency_key: Idempotency key sent by the caller; empty for none.
    """

    request_id: str
    kind: request_kind.RequestKind
    model_or_service: str
    request_class: configuration.RequestClass
    organisation: str
    arrived_at: datetime.timedelta
    idempotent: bool
    fingerprint: str
    fields: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    stream: bool = False
    include_usage: bool = False
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hash: int = 0
    method: str = "POST"
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotency_key: str = ""

    @property
    def deadline(self) -> datetime.timedelta:
        """The monotonic time at which the request fails if it has not ended."""
        return self.arrived_at + self.request_class.deadline
