"""The ways in which a duty call ends."""

import enum


class CallOutcome(enum.Enum):
    """How a duty call ended."""

    ACCEPTED = "accepted"
    """The call was executed."""
    TOKEN_REFUSED = "token_refused"
    """A call with a higher token was seen; the term must be ended."""
    NOT_AVAILABLE = "not_available"
    """There is no endpoint to order in that availability zone at present."""
    RATE_LIMITED = "rate_limited"
    """The rate limit of all VMs together refused the call."""
    FAILED = "failed"
    """The call was answered with another error and was not executed."""
    NO_RESPONSE = "no_response"
    """The call may have been executed, or may be executed later."""
