"""Client that sends requests to modelled engines."""

import collections.abc
import dataclasses
import datetime

from mustardwood import dispatch
from mustardwood.benchmarks.streams import modelled_endpoint
from mustardwood.benchmarks.streams import run as run_module
from mustardwood.benchmarks.streams import scheduler as scheduler_module


@dataclasses.dataclass(frozen=True)
class _Attempt:
    engine: modelled_endpoint.ModelledEndpoint
    run: run_module.Run

    @property
    def is_connected(self) -> bool:
        """See `dispatch.Attempt`."""
        return True

    @property
    def is_response_invalid(self) -> bool:
        """See `dispatch.Attempt`."""
        return False

    @property
    def is_close_delimited(self) -> bool:
        """See `dispatch.Attempt`."""
        return False

    @property
    def connection_number(self) -> int:
        """See `dispatch.Attempt`."""
        return 0

    @property
    def discarded_responses(self) -> int:
        """See `dispatch.Attempt`."""
        return 0

    def write(self) -> None:
        """See `dispatch.Attempt`; an engine closes its side at once."""

    def abort(self) -> None:
        """See `dispatch.Attempt`."""
        self.engine.cancel(self.run)

    def end_sending(self) -> None:
        """See `dispatch.Attempt`; an engine drops the request at once."""
        self.abort()
        self.run.listener.receive_failure(True, "connection closed")

    def close(self, on_closed: collections.abc.Callable[[bool], None]) -> None:
        """See `dispatch.Attempt`."""
        self.abort()
        on_closed(True)

    def pause(self) -> None:
        """See `dispatch.Attempt`; modelled callers read at once."""

    def resume(self) -> None:
        """See `dispatch.Attempt`."""


class EngineClient:
    """Implements `forwarding_context.EndpointClient` without a network."""

    def __init__(
        self, scheduler: scheduler_module.Scheduler,
        engines: collections.abc.Mapping[str,
                                         modelled_endpoint.ModelledEndpoint]
    ) -> None:
        self._scheduler = scheduler
        self._engines = engines

    def send(
            self, request: dispatch.ServiceRequest, endpoint: dispatch.Endpoint,
            time_left: datetime.timedelta, resume_after: int | None,
            listener: dispatch.AttemptListener,
            before_write: collections.abc.Callable[[],
                                                   bool]) -> dispatch.Attempt:
        """See `forwarding_context.EndpointClient`."""
        del time_left
        before_write()
        engine = self._engines[endpoint.name]
        last = request.last_event_id if resume_after is None else resume_after
        run = run_module.Run(request,
                             engine.count_output_tokens(request),
                             listener,
                             last_event_id=last or 0)
        if not engine.submit(run):
            self._scheduler.call_later(datetime.timedelta(),
                                       lambda: _reject(listener))
        return _Attempt(engine, run)

    def is_connected_since(self, endpoint: dispatch.Endpoint,
                           time: datetime.timedelta) -> bool:
        """See `forwarding_context.EndpointClient`; engines do not restart."""
        del endpoint, time
        return True


def _reject(listener: dispatch.AttemptListener) -> None:
    listener.receive_head(503, [], True, True)
    listener.receive_end()
