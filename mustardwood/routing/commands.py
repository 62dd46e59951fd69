"""What the routing core asks its adapters to do."""

import dataclasses
import datetime

from mustardwood import claims
from mustardwood import configuration
from mustardwood import errors
from mustardwood import messages


@dataclasses.dataclass(frozen=True)
class SendMessage:
    """Sends a message to another process.

    Attributes:
        peer: The receiver.
        message: The message.
    """

    peer: messages.Peer
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class StartAttempt:
    """Sends a request to an endpoint.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        attempt_id: Id of the attempt, sent to the endpoint.
        endpoint: The endpoint.
        method: HTTP method.
        path: Path and query below the endpoint's URL.
        headers: Headers.
        body: Body.
        expects_events: Whether the answer is a stream of engine events.
    """

    request_id: str
    attempt: int
    attempt_id: str
    endpoint: configuration.Endpoint
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    expects_events: bool


@dataclasses.dataclass(frozen=True)
class CancelAttempt:
    """Closes the connection of an attempt."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class AcquireClaim:
    """Claims an idempotency key; the answer is an event of the router.

    Attributes:
        request_id: Id of the request.
        organisation: The caller's organisation.
        key: The key.
        fingerprint: Hash of organisation and body.
        attempt_id: Id under which the claim is held.
        time_limit: Time left until the request's deadline.
    """

    request_id: str
    organisation: str
    key: str
    fingerprint: str
    attempt_id: str
    time_limit: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class CompleteClaim:
    """Stores the whole answer of a claimed request."""

    request_id: str
    attempt_id: str
    answer: claims.StoredResponse


@dataclasses.dataclass(frozen=True)
class MarkClaimUnknown:
    """Records that a claimed request may have run."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class ReleaseClaim:
    """Removes the claim of a request of which nothing was sent."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class SendStreamData:
    """Passes a part of a streamed answer to a caller.

    The first part of an answer goes with status 200 and the media type of
    server-sent events.
    """

    caller: str
    data: bytes
    replay: bool = False


@dataclasses.dataclass(frozen=True)
class EndStream:
    """Ends a streamed answer."""

    caller: str


@dataclasses.dataclass(frozen=True)
class SendResponse:
    """Passes a whole answer to a caller."""

    caller: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class SendError:
    """Passes the final error to a caller, inside the stream when begun."""

    caller: str
    error: errors.RequestError


Command = (SendMessage | StartAttempt | CancelAttempt | AcquireClaim |
           CompleteClaim | MarkClaimUnknown | ReleaseClaim | SendStreamData |
           EndStream | SendResponse | SendError)
