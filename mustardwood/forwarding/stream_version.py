"""Software version at which a stream goes on."""

import collections.abc
import datetime

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import retry_policy
from mustardwood.dispatch import service_request
from mustardwood.dispatch import stream_version_table
from mustardwood.dispatch import version_lookup

_MAX_READ_TIME = datetime.timedelta(seconds=1)
"""Time within which the store shows the registrations.

A caller whose stream is broken off then may resume it at another VM.
"""


class StreamVersion:
    """Finds the endpoints that may begin or continue the stream of a request.

    A stream goes on only at endpoints of the software version that sent its
    first event: what two versions write does not fit together.

    Failure: an endpoint restarts under its name with another version while this
    VM can't see the store. A stream therefore goes on only where the version is
    certain. Either the registrations were read after the stream broke, or a
    connection to the endpoint is open since they were read last, so that it has
    not restarted.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext) -> None:
        self._request = request
        self._context = context
        self._software: str | None = None
        self._uncertain_since = request.arrived_at
        self._lookup: version_lookup.VersionLookup | None = None

    @property
    def software(self) -> str | None:
        """The version that began the stream; None if none is known."""
        return self._software

    def look_up(self, on_end: collections.abc.Callable[[str | None],
                                                       None]) -> None:
        """Looks up the version of a stream that its caller resumes.

        Args:
            on_end: Called once with the version; None if it is unknown.
        """

        def handle_end(version: str | None) -> None:
            self._software = version
            on_end(version)

        self._lookup = version_lookup.VersionLookup(self._request,
                                                    self._context, handle_end)
        self._lookup.start()

    def record_break(self) -> None:
        """Records that the stream has to go on at another endpoint."""
        self._uncertain_since = self._context.clock.monotonic()

    def request_proof(self, usable: collections.abc.Collection[
        endpoint_module.Endpoint], tried: collections.abc.Set[str]) -> bool:
        """Has the registrations read if a version has to be certain.

        Args:
            usable: Endpoints of the service that accept new requests.
            tried: Names of the endpoints that the request was sent to.

        Returns:
            Whether an endpoint may be chosen once they are read.
        """
        waited = self._context.clock.monotonic() - self._uncertain_since
        if (waited >= _MAX_READ_TIME or
                not self._find_uncertain(usable) - tried):
            return False
        self._context.registrations.request_read()
        return True

    def cancel_lookup(self) -> None:
        """Ends the lookup, if there is one, without a result."""
        if self._lookup is not None:
            self._lookup.cancel()

    def record_software(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records which version begins or resumes the stream."""
        version = attempt.choice.endpoint.version
        if self._software is None:
            self._software = version
        request = self._request
        if (version and request.stream_id and
                request.retry_policy is retry_policy.RetryPolicy.RESUMABLE):
            self._context.streams.record_service(request.service,
                                                 request.time_limit)
            self._context.streams.record(
                stream_version_table.find_key(request.service,
                                              request.stream_id), version)
            self._context.version_record.handle_new_stream()

    def find_excluded(self, usable: collections.abc.Iterable[
        endpoint_module.Endpoint], tried: collections.abc.Set[str]) -> set[str]:
        """Returns the names of the usable endpoints that must not be chosen.

        A stream of an unknown software version can't go on at any endpoint. A
        new stream begins at a version that has been saved, if there is one, so
        that its version can be told after the loss of all VMs.

        Args:
            usable: Endpoints of the service that accept new requests.
            tried: Names of the endpoints that the request was sent to.
        """
        unrecorded = self._find_unrecorded(usable)
        if self._software is None and not tried and not unrecorded:
            return set()
        uncertain = self._find_uncertain(usable)
        return {
            each.name for each in usable if each.name in tried or
            each.version in unrecorded or each.name in uncertain or
            (self._software is not None and not self._has_version(each))
        }

    def _has_version(self, endpoint: endpoint_module.Endpoint) -> bool:
        return bool(endpoint.version) and endpoint.version == self._software

    def _find_uncertain(
            self, usable: collections.abc.Iterable[endpoint_module.Endpoint]
    ) -> set[str]:
        """Returns the endpoints that may have another version by now."""
        directory, client = self._context.directory, self._context.client
        if (self._software is None or
                directory.is_listed_since(self._uncertain_since)):
            return set()
        listed_at = directory.listed_at
        return {
            each.name for each in usable if self._has_version(each) and
            (listed_at is None or
             not client.is_connected_since(each, listed_at))
        }

    def _find_unrecorded(
            self, usable: collections.abc.Iterable[endpoint_module.Endpoint]
    ) -> set[str]:
        """Returns the versions at which a new resumable stream must not begin.
        """
        request = self._request
        if (self._software is not None or
                request.retry_policy is not retry_policy.RetryPolicy.RESUMABLE):
            return set()
        versions = {each.version for each in usable}
        unrecorded = {
            each for each in versions if
            not self._context.version_record.is_recorded(request.service, each)
        }
        return set() if unrecorded == versions else unrecorded
