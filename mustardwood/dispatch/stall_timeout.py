"""Timeouts for endpoints that send no data."""

import datetime

from mustardwood.dispatch import service_request

_PLAIN_TARGETS = 4
"""Stall timeout of a plain request in multiples of its first-byte target."""
_MIN_PLAIN_TIMEOUT = datetime.timedelta(milliseconds=600)
"""Minimum for plain requests: about four times the slowest normal response."""
_MIN_STREAM_TIMEOUT = datetime.timedelta(milliseconds=1200)
"""Minimum for streams; callers disconnect after two seconds."""
_RETRYABLE_STREAM_TARGETS = 2
"""Multiple of the latency targets after which a stream is retried."""


def find_stall_timeout(
        request: service_request.ServiceRequest) -> datetime.timedelta:
    """Returns the time without data after which an attempt counts as stalled.

    A stream that may run only once counts as stalled after one latency target,
    or the minimum if that is longer, because it is not retried: only the
    endpoint's load and health are corrected.
    """
    if not request.is_stream:
        return max(_MIN_PLAIN_TIMEOUT,
                   _PLAIN_TARGETS * request.first_byte_target)
    targets = (_RETRYABLE_STREAM_TARGETS
               if request.retry_policy.allows_rerun else 1)
    return max(_MIN_STREAM_TIMEOUT, targets * request.first_byte_target,
               targets * request.inter_event_target)
