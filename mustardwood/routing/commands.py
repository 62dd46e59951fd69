"""Commands of the router, which the entry process carries out."""

import dataclasses
import datetime

from mustardwood import claims
from mustardwood import configuration
from mustardwood import errors
from mustardwood import messages


@dataclasses.dataclass(frozen=True)
class SendMessage:
    """Sends a message to another process of the fleet.

    Attributes:
        peer: Process that receives the message.
        message: The message.
    """

    peer: messages.Peer
    message: messages.Message


@dataclasses.dataclass(frozen=True)
class StartAttempt:
    """Starts an attempt by sending the request to an endpoint.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt within the request.
        attempt_id: Id of the attempt, sent to the endpoint.
        endpoint: Endpoint that runs the attempt.
        method: HTTP method.
        path: Path and query, relative to the endpoint's URL.
        headers: Pairs of name and value of the HTTP headers.
        body: HTTP body.
        expects_events: Whether a successful response is a stream of server-sent
            events.
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
    """Cancels an attempt by closing its connection."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class AcquireClaim:
    """Claims an idempotency key.

    The result goes to `Router.handle_claim_result`.

    Attributes:
        request_id: Id of the request.
        organisation: The caller's organisation.
        key: The idempotency key.
        fingerprint: Hash of the organisation and the content, by which another
            request with the same key is detected.
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
    """Stores the complete response of a request that holds a claim.

    `Router.handle_claim_completed` is called after the write.
    """

    request_id: str
    attempt_id: str
    answer: claims.StoredResponse


@dataclasses.dataclass(frozen=True)
class MarkClaimUnknown:
    """Records that the outcome of a request with a claim is unknown."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class ReleaseClaim:
    """Removes the claim of a request that was never sent to an endpoint."""

    attempt_id: str


@dataclasses.dataclass(frozen=True)
class SendStreamData:
    """Sends a part of a streamed response to a caller.

    The first part is preceded by status 200 and the media type of server-sent
    events.

    Attributes:
        caller: Id of the caller.
        data: Encoded server-sent events.
        replay: Whether the response is the stored one of an earlier request
            with the same idempotency key.
    """

    caller: str
    data: bytes
    replay: bool = False


@dataclasses.dataclass(frozen=True)
class EndStream:
    """Ends a streamed response to a caller."""

    caller: str


@dataclasses.dataclass(frozen=True)
class SendResponse:
    """Sends a complete response to a caller."""

    caller: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class SendError:
    """Sends the final error to a caller.

    If the response is already being streamed, the error is sent in the stream.
    """

    caller: str
    error: errors.RequestError


Command = (SendMessage | StartAttempt | CancelAttempt | AcquireClaim |
           CompleteClaim | MarkClaimUnknown | ReleaseClaim | SendStreamData |
           EndStream | SendResponse | SendError)
