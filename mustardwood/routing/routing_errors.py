"""Errors with which the router ends requests."""

import datetime

from mustardwood import claims
from mustardwood import errors
from mustardwood import messages

_SHORT_RETRY_AFTER = datetime.timedelta(seconds=1)
_LONG_RETRY_AFTER = datetime.timedelta(seconds=5)

_REFUSALS = {
    messages.RefusalReason.QUEUE_FULL:
        (errors.RequestCode.SHED, "the queue of the class is full."),
    messages.RefusalReason.DISPLACED:
        (errors.RequestCode.SHED, "more urgent requests took the queue."),
    messages.RefusalReason.DEADLINE:
        (errors.RequestCode.DEADLINE_EXCEEDED,
         "the request can't finish before its deadline."),
    messages.RefusalReason.NO_ENDPOINT:
        (errors.RequestCode.NO_ENDPOINT, "no endpoint can take the request."),
}


def _make_retryable(code: errors.RequestCode, message: str,
                    ran: errors.RunState,
                    retry_after: datetime.timedelta) -> errors.RequestError:
    return errors.RequestError(code,
                               message,
                               "Come back after the time in Retry-After.",
                               ran=ran,
                               retry_after=retry_after)


def make_refusal(refusal: messages.Refusal,
                 ran: errors.RunState) -> errors.RequestError:
    """Returns the error for a scheduler's refusal."""
    code, text = _REFUSALS.get(
        refusal.reason,
        (errors.RequestCode.NO_ENDPOINT, "no scheduler takes the request."))
    return _make_retryable(code, text, ran,
                           max(refusal.retry_after, _SHORT_RETRY_AFTER))


def make_no_endpoint(ran: errors.RunState) -> errors.RequestError:
    """Returns the error for a request without a cell left to ask."""
    return _make_retryable(errors.RequestCode.NO_ENDPOINT,
                           "no endpoint is left to try.", ran,
                           _LONG_RETRY_AFTER)


def make_deadline_exceeded(ran: errors.RunState) -> errors.RequestError:
    """Returns the error for an exceeded deadline."""
    return _make_retryable(errors.RequestCode.DEADLINE_EXCEEDED,
                           "the deadline of the request's class passed.", ran,
                           _LONG_RETRY_AFTER)


def make_poison_request(remaining: datetime.timedelta,
                        ran: errors.RunState) -> errors.RequestError:
    """Returns the error for a request that crashed endpoints.

    Args:
        remaining: Time for which the request stays blocked.
        ran: Whether the request may have run.
    """
    return errors.RequestError(
        errors.RequestCode.SUSPECTED_POISON,
        "endpoints crashed while they ran this request.",
        "Change the request, or come back after the time in Retry-After.",
        ran=ran,
        retry_after=remaining)


def make_endpoint_refused(ran: errors.RunState) -> errors.RequestError:
    """Returns the error for endpoints that refused before starting to run."""
    return _make_retryable(errors.RequestCode.ENDPOINT_REFUSED,
                           "the endpoints refused the request.", ran,
                           _SHORT_RETRY_AFTER)


def make_unreachable(ran: errors.RunState) -> errors.RequestError:
    """Returns the error for endpoints that could not be connected to."""
    return _make_retryable(errors.RequestCode.ENDPOINT_FAILED,
                           "no connection to an endpoint was possible.", ran,
                           _SHORT_RETRY_AFTER)


def make_incomplete_response() -> errors.RequestError:
    """Returns the error for an incomplete response."""
    return errors.RequestError(
        errors.RequestCode.INCOMPLETE_ANSWER,
        "the endpoint's answer broke off and could not be resumed.",
        "Discard what was received, and send the request again.",
        ran=errors.RunState.OUTCOME_UNKNOWN,
        retry_after=_SHORT_RETRY_AFTER)


def make_outcome_unknown() -> errors.RequestError:
    """Returns the error for a request that may have run once."""
    return errors.RequestError(
        errors.RequestCode.OUTCOME_UNKNOWN,
        "the request was sent, but no whole answer came.",
        "Find out whether it took effect before sending it again.",
        ran=errors.RunState.OUTCOME_UNKNOWN)


def make_claim_error(result: claims.ClaimResult) -> errors.RequestError:
    """Returns the error for a claim that was not acquired."""
    verdict = result.verdict
    if verdict is claims.ClaimVerdict.IN_PROGRESS:
        return errors.RequestError(errors.RequestCode.IN_PROGRESS,
                                   "a request with this idempotency key runs.",
                                   "Send the same request again later.",
                                   ran=errors.RunState.OUTCOME_UNKNOWN,
                                   retry_after=result.retry_after or
                                   _SHORT_RETRY_AFTER)
    if verdict is claims.ClaimVerdict.KEY_REUSED:
        return make_key_reused()
    if verdict is claims.ClaimVerdict.UNAVAILABLE:
        return errors.RequestError(errors.RequestCode.CLAIM_UNAVAILABLE,
                                   "the idempotency key can't be claimed now;"
                                   " nothing was sent for this call.",
                                   "Send it again later with the same key, as"
                                   " an earlier call may have run.",
                                   retry_after=result.retry_after or
                                   _LONG_RETRY_AFTER)
    return make_outcome_unknown()


def make_key_reused() -> errors.RequestError:
    """Returns the error for an idempotency key used with another request."""
    return errors.RequestError(
        errors.RequestCode.KEY_REUSED,
        "the idempotency key was used for another request.",
        "Use a new key for each request.")
