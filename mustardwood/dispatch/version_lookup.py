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
_READ_DELAY = datetime.timedelta(milliseconds=100)
"""Time for peers to reply before the registrations are read, which is billed.
"""
_MAX_READ_TIME = datetime.timedelta(seconds=1)
"""Time within which the store shows the registrations."""
_MAX_ASKED_SERVICES = 8
"""Number of further services under which peers are asked for a stream."""


class VersionLookup:
    """Finds out which software version began a stream that a caller resumes.

    It is known to this VM or a peer, or the service has had no other version.

    Failure: the route of the request was moved to another service after the
    stream had begun, so it can't go on at any endpoint of the present one. A
    stream is therefore looked up under all services. One that no VM knows is of
    an unknown version while it may have begun at a past service of its route.

    Failure: this VM was suspended or cut off while endpoints of another version
    joined. Other VMs have begun streams there, and their replies do not arrive
    either. Silence is therefore no evidence: that the service has had no other
    version must be shown by registrations that were read after the request
    arrived, and so after its stream began.
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
        others = (request.past_services |
                  context.directory.list_versions().keys()) - {request.service}
        self._other_keys = [
            stream_version_table.find_key(each, request.stream_id)
            for each in others
        ]
        self._started_at = context.clock.monotonic()
        self._timer: forwarding_context.Timer | None = None

    def start(self) -> None:
        """Looks the stream up, and asks peers if this VM does not know it."""
        self._started_at = self._context.clock.monotonic()
        streams = self._context.streams
        if self._request.stream_id and not self._is_known():
            for each in (self._key, *self._other_keys[:_MAX_ASKED_SERVICES]):
                streams.ask_peers(each)
        self._look_up()

    def cancel(self) -> None:
        """Ends the lookup without a result."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look_up(self) -> None:
        context, has_id = self._context, bool(self._request.stream_id)
        self._timer = None
        version = context.streams.find(self._key) if has_id else None
        if version is not None or has_id and self._is_of_other_service():
            self._on_end(version)
            return
        waited = context.clock.monotonic() - self._started_at
        if not has_id or waited >= _READ_DELAY:
            self._request_read()
        if has_id and waited < _MAX_LOOKUP_TIME or (
                not self._is_list_current() and waited < _MAX_READ_TIME):
            self._timer = context.scheduler.call_later(_LOOKUP_INTERVAL,
                                                       self._look_up)
        else:
            self._on_end(self._find_only_version())

    def _is_known(self) -> bool:
        return (self._context.streams.find(self._key) is not None or
                self._is_of_other_service())

    def _is_of_other_service(self) -> bool:
        return any(map(self._context.streams.has, self._other_keys))

    def _request_read(self) -> None:
        if not self._is_list_current():
            self._context.registrations.request_read()

    def _is_list_current(self) -> bool:
        """Returns whether the registrations were read since the start."""
        return self._context.directory.is_listed_since(self._started_at)

    def _find_only_version(self) -> str | None:
        """Returns the only version that may have begun the stream, if known.

        The requests by which a caller reads a stream share one deadline, so the
        stream is not older than the route's time limit. A VM that hears of no
        peer may be cut off from the store, too.
        """
        context = self._context
        if (self._request.past_services or not self._is_list_current() or
                not context.loads.count_peers()):
            return None
        service, period = self._request.service, self._request.time_limit
        return (context.directory.find_only_version(service, period) or
                context.version_record.find_only_version(service, period))
