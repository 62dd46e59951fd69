"""The interface of the calls that carry out duties."""

import collections.abc
import typing

from mustardwood.leadership import call_result
from mustardwood.leadership import endpoint_order
from mustardwood.leadership import term as term_module


class DutyCalls(typing.Protocol):
    """Sends the calls that only the holder of a term may send.

    Each call carries the term's token. `done` is called exactly once, later
    than the method returns.
    """

    def report_usage(
            self, term: term_module.Term, window: int,
            counts: collections.abc.Mapping[str, int],
            done: collections.abc.Callable[[call_result.CallResult],
                                           None]) -> None:
        """Reports the usage of a window.

        Args:
            term: The term of this VM.
            window: Number of the window.
            counts: Number of requests by organisation.
            done: Is called with the result.
        """

    def order_endpoints(
            self, term: term_module.Term, order: endpoint_order.EndpointOrder,
            done: collections.abc.Callable[[call_result.CallResult],
                                           None]) -> None:
        """Orders endpoints.

        Args:
            term: The term of this VM.
            order: The order.
            done: Is called with the result.
        """
