"""Checks whether the configuration in force is new enough for a decision."""

import datetime
import http
import typing

from mustardwood import dispatch
from mustardwood.platform import store_watcher

_MILLISECOND = datetime.timedelta(milliseconds=1)
_DENIALS = frozenset({
    http.HTTPStatus.UNAUTHORIZED, http.HTTPStatus.FORBIDDEN,
    http.HTTPStatus.NOT_FOUND
})
"""Statuses that a newer configuration may contradict."""
_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Retry-After delay while this VM has no current proof.

Other VMs may have one.
"""


class Authorizer:
    """Checks requests against the present configuration.

    The check is made at each send, not only when the request arrives, since its
    key may be removed while the request is queued.

    Failure: a VM that is behind does not know routes and API keys that were
    added. It can't tell such a request from one that no configuration allows,
    so it denies a request only with a proof that is younger than the time in
    which a change takes effect. Otherwise the caller may try again.
    """

    def __init__(self, watcher: store_watcher.StoreWatcher,
                 proof: dispatch.FreshnessProof, fails_closed: bool,
                 apply_time: datetime.timedelta) -> None:
        """Creates an authorizer.

        Args:
            watcher: Has the present configuration.
            proof: The newest freshness proof.
            fails_closed: Whether keys are refused without a current proof.
            apply_time: Time in which a change of the configuration takes
                effect.
        """
        self._watcher = watcher
        self._proof = proof
        self._fails_closed = fails_closed
        self._apply_time = apply_time

    def set_bounds(self, fails_closed: bool,
                   apply_time: datetime.timedelta) -> None:
        """Sets what the constructor's arguments of these names set."""
        self._fails_closed = fails_closed
        self._apply_time = apply_time

    def confirm_refusal(self, refusal: dispatch.Refusal) -> dispatch.Refusal:
        """Returns a refusal, or another one if a newer version may allow it.

        Args:
            refusal: A refusal that follows from the present configuration.
        """
        age = self._proof.get_age()
        if (refusal.status not in _DENIALS or
                age is not None and age < self._apply_time):
            return refusal
        return dispatch.Refusal(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "This VM can't prove that its configuration is the newest, and it "
            f"has this objection: {refusal.message} The request has not run.",
            _RETRY_AFTER)

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
            return self.confirm_refusal(
                dispatch.Refusal(
                    http.HTTPStatus.UNAUTHORIZED,
                    "The API key was taken away; the request has not run."))
        return None
