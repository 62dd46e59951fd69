"""Whether a request is still allowed at the moment of its send."""

import datetime
import http
import typing

from mustardwood import dispatch
from mustardwood.platform import store_watcher

_MILLISECOND = datetime.timedelta(milliseconds=1)
_RETURN = datetime.timedelta(seconds=1)
"""When to come back to a VM without a proof: other VMs may have one."""


class Authorizer:
    """Checks a request against the configuration in force.

    The check is made at each send, not at the arrival only, since a request
    may wait while its key is taken away.
    """

    def __init__(self, follower: store_watcher.StoreWatcher,
                 proof: dispatch.FreshnessProof, fails_closed: bool) -> None:
        self._follower = follower
        self._proof = proof
        self._fails_closed = fails_closed

    def set_fails_closed(self, fails_closed: bool) -> None:
        """Sets whether keys are refused without a current proof."""
        self._fails_closed = fails_closed

    def describe(self) -> dict[str, typing.Any]:
        """See `dispatch.forwarding_context.Authorizer`."""
        configuration = self._follower.configuration
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
        configuration = self._follower.configuration
        if configuration is None or not request.api_key:
            return None
        if self._fails_closed and not self._proof.is_current():
            return dispatch.Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "This VM can't prove that the API key is still valid, since "
                "the store does not answer; the request has not run.", _RETURN)
        organisation = configuration.table.find_organisation(request.api_key)
        if organisation is None or organisation.name != request.organisation:
            return dispatch.Refusal(
                http.HTTPStatus.UNAUTHORIZED,
                "The API key was taken away; the request has not run.")
        return None
