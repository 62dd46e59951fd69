"""Interface of modelled endpoints."""

import typing

from mustardwood.benchmarks.streams import run as run_module
from mustardwood.dispatch import service_request


class ModelledEndpoint(typing.Protocol):
    """An endpoint to which modelled VMs send requests.

    Attributes:
        version: Version of its software.
        busy_seconds: Time in which it ran requests, in seconds.
    """

    version: str
    busy_seconds: float

    def count_output_tokens(self,
                            request: service_request.ServiceRequest) -> int:
        """Returns the length of the complete response in tokens."""

    def submit(self, run: run_module.Run) -> bool:
        """Queues a request; returns False if the queue is full."""

    def cancel(self, run: run_module.Run) -> None:
        """Ends a request whose connection was closed by the router."""

    def slow_down(self, factor: float) -> None:
        """Multiplies the time of all that it begins by a factor."""

    def stall(self, seconds: float) -> None:
        """Sends nothing until a time in seconds from now."""
