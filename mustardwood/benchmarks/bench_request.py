"""A request of a benchmark workload."""

import dataclasses

from mustardwood import configuration


@dataclasses.dataclass(frozen=True)
class BenchRequest:
    """A caller's request with a predetermined output length.

    Attributes:
        request_id: Unique id.
        arrival: Time of arrival at the entry, in seconds.
        request_class: Request class.
        organisation: Organisation of the caller.
        vm: VM whose entry receives the request.
        prompt_tokens: Length of the prompt, in tokens.
        output_tokens: Length of the complete output, in tokens.
        max_tokens: Maximum output length that the caller requests.
        prefix: Hash of the shared prompt prefix; 0 for none.
    """

    request_id: str
    arrival: float
    request_class: configuration.RequestClass
    organisation: str
    vm: str
    prompt_tokens: int
    output_tokens: int
    max_tokens: int
    prefix: int


def move_request(request: BenchRequest, vm: str) -> BenchRequest:
    """Returns a copy of the request that arrives at another VM."""
    return dataclasses.replace(request, vm=vm)
