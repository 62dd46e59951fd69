"""Requests to a service, independent of the interface they came through."""

import dataclasses
import datetime

from mustardwood.dispatch import prompt as prompt_module
from mustardwood.dispatch import retry_policy as retry_policy_module


@dataclasses.dataclass(frozen=True, eq=False)
class ServiceRequest:
    """A caller's request that has been decoded and validated.

    Attributes:
        request_id: Unique id chosen by the caller.
        route: Name of the route.
        service: Name of the service whose endpoints may run the request.
        organisation: Name of the caller's organisation; empty for none.
        api_key: The caller's API key; empty on routes without keys.
        tier: Rank by the priorities of organisation and route; 0 is the most
            urgent.
        tier_count: Number of tiers in the configuration.
        route_tier: Priority of the route, for the log.
        organisation_tier: Priority of the organisation, for the log; None if
            it has none.
        first_byte_target: Latency target for the first byte of the response.
        inter_event_target: Latency target between two events of a stream.
        arrived_at: Monotonic time of arrival.
        expires_at: Deadline as monotonic time.
        time_limit: Maximum time from a request to the end of its response, set
            by its route.
        retry_policy: Whether the request may run more than once.
        is_stream: Whether the response is a stream of server-sent events.
        max_runs: Maximum number of endpoints on which it may run.
        prompt: Sizes of the prompt; empty for plain services.
        method: HTTP method.
        target: Path and query.
        headers: Headers to forward, without those set for each attempt.
        body: The whole body; it may be cleared when the response has ended.
        last_event_id: Id of the last event of a stream that the caller
            resumes; None for a new stream.
        resumed_request_id: Id of the request that brought the first event of
            that stream; empty if the caller named none.
        past_services: Other services to which recent versions of the
            configuration led such a request, where a stream that the caller
            resumes may have begun.
    """

    request_id: str
    route: str
    service: str
    organisation: str
    api_key: str
    tier: int
    first_byte_target: datetime.timedelta
    inter_event_target: datetime.timedelta
    arrived_at: datetime.timedelta
    expires_at: datetime.timedelta
    retry_policy: retry_policy_module.RetryPolicy
    is_stream: bool = False
    max_runs: int = 1
    prompt: prompt_module.Prompt = prompt_module.Prompt()
    method: str = "GET"
    target: str = "/"
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes | bytearray = b""
    last_event_id: int | None = None
    tier_count: int = 1
    route_tier: int = 0
    organisation_tier: int | None = None
    time_limit: datetime.timedelta = datetime.timedelta(minutes=1)
    resumed_request_id: str = ""
    past_services: frozenset[str] = frozenset()

    @property
    def is_resumption(self) -> bool:
        """Whether the caller resumes a stream that it has received in part."""
        return (self.last_event_id is not None and
                self.retry_policy is retry_policy_module.RetryPolicy.RESUMABLE)

    @property
    def stream_id(self) -> str:
        """Id of the request that brought or brings the stream's first event.

        It is empty if the caller resumes a stream and does not name it.
        """
        return (self.resumed_request_id
                if self.is_resumption else self.request_id)

    @property
    def urgency(self) -> float:
        """Position of the tier: 1 for the most urgent, 0 for the least."""
        if self.tier_count < 2:
            return 1.0
        return 1.0 - min(self.tier / (self.tier_count - 1), 1.0)
