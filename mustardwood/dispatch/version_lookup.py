"""Lookup of the software version that began a resumed stream."""

import collections.abc
import datetime

from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request
from mustardwood.dispatch import stream_version_table

_LOOKUP_INTERVAL = datetime.timedelta(milliseconds=10)
"""Interval at which the stream is looked up while peers are asked."""
_MAX_LOOKUP_TIME = datetime.timedelta(milliseconds=300)
"""Time within which peers reply.

A question waits for up to 20 ms before it is sent, and peers reply at once.
"""


class VersionLookup:
    """Finds out which software version began a stream that a caller resumes.

    It is known to this VM or a peer, or the service has had no other version.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext,
                 on_end: collections.abc.Callable[[str | None], None]) -> None:
        """Creates a lookup; `start` starts it.

        Args:
            request: The request that resumes the stream.
            context: Objects that all requests share.
            on_end: Called once with the version; None if it is unknown.
        """
        self._request = request
        self._context = context
        self._on_end = on_end
        self._key = stream_version_table.find_key(request.service,
                                                  request.stream_id)
        self._ends_at = context.clock.monotonic()
        self._timer: forwarding_context.Timer | None = None

    def start(self) -> None:
        """Looks the stream up, and asks peers if this VM does not know it."""
        if self._request.stream_id:
            if self._context.streams.find(self._key) is None:
                self._context.streams.ask_peers(self._key)
            self._ends_at += _MAX_LOOKUP_TIME
        self._look_up()

    def cancel(self) -> None:
        """Ends the lookup without a result."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look_up(self) -> None:
        context = self._context
        self._timer = None
        version = None
        if self._request.stream_id:
            version = context.streams.find(self._key)
        if version is None and context.clock.monotonic() < self._ends_at:
            self._timer = context.scheduler.call_later(_LOOKUP_INTERVAL,
                                                       self._look_up)
        else:
            self._on_end(version or self._find_only_version())

    def _find_only_version(self) -> str | None:
        """Returns the only version that may have begun the stream, if known.

        The requests by which a caller reads a stream share one deadline, so the
        stream is not older than the route's time limit. A VM that hears of no
        peer may be cut off from the store, too.
        """
        context = self._context
        if not context.loads.count_peers():
            return None
        service, period = self._request.service, self._request.time_limit
        return (context.directory.find_only_version(service, period) or
                context.version_record.find_only_version(service, period))
