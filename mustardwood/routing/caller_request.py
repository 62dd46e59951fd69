"""A caller's request after its checks."""

import dataclasses
import datetime
import typing

from mustardwood import configuration
from mustardwood.routing import request_kind


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """What the entry knows of a request before it routes it.

    Attributes:
        request_id: Unique id.
        kind: Interface that it came through.
        model_or_service: Name of the model or service.
        request_class: Its class.
        organisation: Name of the caller's organisation.
        arrived_at: Monotonic time of arrival.
        idempotent: Whether it may be sent to endpoints more than once.
        fingerprint: Hash of organisation and body.
        fields: Body of a completion, as the caller sent it.
        stream: Whether a completion is answered as server-sent events.
        include_usage: Whether a streamed answer ends with the usage.
        prompt_tokens: Estimate of the prompt's length.
        max_tokens: Bound on the answer's length.
        prefix_hash: Hash of the start of the prompt; 0 for none.
        method: HTTP method of a service call.
        path: Path and query of a service call below the endpoint's URL.
        headers: Headers of a service call, without hop-by-hop headers.
        body: Body of a service call.
        idempotency_key: Key sent by the caller; empty for none.
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
        """The monotonic time at which the request is given up."""
        return self.arrived_at + self.request_class.deadline
