"""A request as the decisions see it, whichever interface it came through."""

import dataclasses
import datetime

from mustardwood.dispatch import prompt as prompt_module
from mustardwood.dispatch import retry_policy as retry_policy_module


@dataclasses.dataclass(frozen=True, eq=False)
class ServiceRequest:
    """One caller's request after its checks.

    Attributes:
        request_id: Unique id chosen by the caller.
        route: Name of the route.
        service: Service whose endpoints may run it.
        organisation: Name of the caller's organisation; empty for none.
        api_key: The caller's key; empty on routes without keys.
        tier: Rank; 0 is the most urgent.
        first_byte_aim: Longest time to the first byte that is on time.
        piece_aim: Longest pause between pieces that is on time.
        arrived: Monotonic time of arrival.
        expires: Monotonic time from which no answer is of use.
        retry_policy: What may be repeated.
        is_stream: Whether the answer is a stream of events.
        most_runs: Number of endpoints on which it may run.
        prompt: Sizes of the prompt; empty for plain services.
        method: HTTP method.
        target: Path and query.
        headers: Headers to pass on, without those set for each attempt.
        body: The whole body.
        last_event: Id after which the caller resumes; None for a new stream.
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
    body: bytes = b""
    last_event_id: int | None = None
