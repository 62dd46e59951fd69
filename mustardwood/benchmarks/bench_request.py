"""A request of a measured workload."""

import dataclasses

from mustardwood import configuration


@dataclasses.dataclass(frozen=True)
class BenchRequest:
    """A caller's request, with the length of its answer known beforehand.

    Attributes:
        request_id: Unique id.
        arrival: Time of arrival at the entry, in seconds.
        request_class: Its class.
        organisation: Its organisation.
        vm: Entry VM that gets it.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the whole answer.
        max_tokens: Bound that the caller sends.
        prefix: Hash of the prompt's start; 0 for none.
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
    """Returns the request as it arrives at another VM."""
    return dataclasses.replace(request, vm=vm)
