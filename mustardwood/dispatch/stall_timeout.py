"""How long an endpoint may be silent."""

import datetime

from mustardwood.dispatch import service_request

_PLAIN_AIMS = 4
"""Aims after which a plain service's silence is a failure."""
_LEAST_PLAIN = datetime.timedelta(milliseconds=600)
"""Bound below; about four times a plain service's slowest usual answer."""
_LEAST_STREAM = datetime.timedelta(milliseconds=1200)
"""Bound below for streams; callers leave after two seconds."""
_REPEATED_STREAM_AIMS = 2
"""Aims after which a stream that may run again is resumed elsewhere."""


def find_stall_timeout(
        request: service_request.ServiceRequest) -> datetime.timedelta:
    """Returns the silence after which an attempt is doubted.

    A stream that may run only once is doubted after its aim: nothing is
    repeated then, only the endpoint's load and health are put right.
    """
    if not request.is_stream:
        return max(_LEAST_PLAIN, _PLAIN_AIMS * request.first_byte_target)
    aims = (_REPEATED_STREAM_AIMS
            if request.retry_policy.allows_second_run else 1)
    return max(_LEAST_STREAM, aims * request.first_byte_target,
               aims * request.inter_event_target)
