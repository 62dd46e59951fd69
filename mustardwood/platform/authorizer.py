"""Checks at each send whether a request's API key is still valid."""

import datetime
import http
import typing

from mustardwood import dispatch
from mustardwood.platform import store_watcher

_MILLISECOND = datetime.timedelta(milliseconds=1)
_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Retry-After delay while this VM has no current proof.

Other VMs may have one.
"""


class Authorizer:
    """Checks requests against the present configuration.

    The check is made at each send, not only when the request arrives, since its
    key may be removed while the request is queued.
    """

    def __init__(self, watcher: store_watcher.StoreWatcher,
                 proof: dispatch.FreshnessProof, fails_closed: bool) -> None:
        self._watcher = watcher
        self._proof = proof
        self._fails_closed = fails_closed

    def set_fails_closed(self, fails_closed: bool) -> None:
        """Sets whether keys are refused without a current freshness proof."""
        self._fails_closed = fails_closed

    def describe(self) -> dict[str, typing.Any]:
        """See `dispatch.forwarding_context.Authorizer`."""
        configuration = self._watcher.configuration
        age = self._proof.get_age()
        return {
            "version":
                0 if configuration is None else configuration.table.version,
            "proof_age_ms":
                None if age is None else age // _MILLISECOND,
        }

    def find_denial(
            self, request: dispatch.ServiceRequest) -> dispatch.Refusal | None:
        """See `dispatch.forwarding_context.Authorizer`."""
        configuration = self._watcher.configuration
        if configuration is None or not request.api_key:
            return None
        if self._fails_closed and not self._proof.is_current():
            return dispatch.Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "This VM can't prove that the API key is still valid, since "
                "the store does not answer; the request has not run.",
                _RETRY_AFTER)
        organisation = configuration.table.find_organisation(request.api_key)
        if organisation is None or organisation.name != request.organisation:
            return dispatch.Refusal(
                http.HTTPStatus.UNAUTHORIZED,
                "The API key was taken away; the request has not run.")
        return None
