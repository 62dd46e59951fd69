"""Fake surroundings for tests of hedged requests."""

import dataclasses

from mustardwood import dispatch
from mustardwood import hedging
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms

USUAL_TIME = ms(20)
"""Time to the first byte of the requests before a test."""
DELAY = ms(50)
"""Time after which the requests of a test are hedged: the minimum delay."""


class HedgeHarness(harness_module.Harness):
    """A `Harness` with hedging, whose routes have known times."""

    def __init__(self,
                 endpoints=3,
                 share=0.1,
                 slots=64,
                 requests=100,
                 retry_burst=100.0):
        super().__init__(endpoints=endpoints,
                         slots=slots,
                         retry_burst=retry_burst)
        self.hedging = hedging.Hedging(hedging.HedgeSettings(share=share),
                                       self.clock,
                                       self.context.retry_budgets.take_hedge)
        self.context = dataclasses.replace(self.context, hedging=self.hedging)
        for _ in range(requests):
            self.hedging.record_request("engine")
            self.hedging.record_first_byte("route", USUAL_TIME)

    @property
    def endpoints(self):
        """The names of the endpoints that got requests, in order."""
        return [each.endpoint.name for each in self.client.sent]

    @property
    def request_line(self):
        """The fields of the last log line of a request."""
        return [
            fields for event, fields in self.journal.lines if event == "request"
        ][-1]

    def start_hedged(self, request=None):
        """Starts a request and waits until it is hedged.

        Returns:
            The `Forwarding`, the caller and the attempts at the two endpoints.
        """
        number = len(self.client.sent)
        forwarding, caller = self.start(request)
        self.scheduler.advance(DELAY)
        assert len(self.client.sent) == number + 2
        return (forwarding, caller, self.client.sent[number],
                self.client.sent[number + 1])

    def start_hedged_stream(self, **changes):
        """Does the same with a resumable stream."""
        request = harness_module.make_stream_request(self, **changes)
        return self.start_hedged(request)

    def set_endpoint(self, index, **changes) -> dispatch.Endpoint:
        """Replaces an endpoint, with changed fields."""
        endpoint = harness_module.make_endpoint(index, **changes)
        self.directory.set_endpoint(endpoint)
        return endpoint
