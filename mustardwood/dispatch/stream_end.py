"""Whether a stream that has ended without an error is complete."""

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import event_splitter


def find_break(attempt: attempt_record.AttemptRecord,
               splitter: event_splitter.EventSplitter) -> str:
    """Returns why a stream counts as broken off; empty if it is complete.

    Failure: an endpoint that crashes closes its connections like one that has
    finished. Without a length or chunks, such a response is complete by its
    framing [1]_, wherever it ends. An event needs a blank line after it to be
    complete [2]_. A stream that is closed between two events can't be told
    from a whole one.

    Args:
        attempt: The attempt whose response has ended.
        splitter: Holds what the attempt has sent after its last event.

    References:
        .. [1] RFC 9112, HTTP/1.1, section 8.
        .. [2] WHATWG, "HTML Living Standard", section 9.2.6.
    """
    if attempt.has_received_data and splitter.is_inside_event:
        return "the stream ends inside an event"
    if attempt.is_close_delimited and not attempt.has_received_data:
        return "the stream ends before its first event"
    return ""
