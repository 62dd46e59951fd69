"""Decodes and validates the requests of callers."""

import collections.abc
import dataclasses
import datetime
import typing

from mustardwood import errors
from mustardwood import routing

_IDEMPOTENCY_KEY_HEADER = "idempotency-key"
_CLASS_HEADER = "x-request-class"
_DROPPED_HEADERS = frozenset({
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "authorization",
})
"""Headers that are not forwarded to services.

They are hop-by-hop headers, or the router itself handles them.
"""

Headers = collections.abc.Sequence[tuple[str, str]]
"""Pairs of name and value."""


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A caller's HTTP request before it is decoded.

    Attributes:
        request_id: Id that the router gave the request.
        method: HTTP method.
        headers: Headers, with names in lower case.
        body: HTTP body.
        arrived_at: Monotonic time of arrival.
    """

    request_id: str
    method: str
    headers: Headers
    body: bytes
    arrived_at: datetime.timedelta

    def find_header(self, name: str) -> str | None:
        """Returns the value of the first header with a name, or None."""
        return next((value for key, value in self.headers if key == name), None)


def decode_completion(classifier: routing.Classifier, kind: routing.RequestKind,
                      raw: RawRequest) -> routing.CallerRequest:
    """Decodes and validates a chat or text completion request.

    Args:
        classifier: Look-up in the configuration.
        kind: Kind of completion.
        raw: The request.

    Raises:
        RequestError: The request is invalid.
    """
    organisation = classifier.find_organisation(
        raw.find_header("authorization"))
    body = routing.parse_completion(kind, raw.body)
    model = classifier.find_model(body.model)
    request_class = classifier.find_class(raw.find_header(_CLASS_HEADER),
                                          classifier.document.default_class,
                                          model_or_service=model.name,
                                          organisation=organisation,
                                          max_tokens=body.max_tokens)
    token_limit = model.max_output_tokens
    return routing.CallerRequest(request_id=raw.request_id,
                                 kind=kind,
                                 model_or_service=model.name,
                                 request_class=request_class,
                                 organisation=organisation,
                                 arrived_at=raw.arrived_at,
                                 idempotent=request_class.idempotent,
                                 fingerprint=routing.compute_fingerprint(
                                     organisation, kind.encode(),
                                     body.canonical),
                                 fields=body.fields,
                                 stream=body.stream,
                                 include_usage=body.include_usage,
                                 prompt_tokens=body.prompt_tokens,
                                 max_tokens=min(body.max_tokens or token_limit,
                                                token_limit),
                                 prefix_hash=body.prefix_hash,
                                 idempotency_key=_read_idempotency_key(raw))


def decode_service_call(classifier: routing.Classifier, name: str, path: str,
                        raw: RawRequest) -> routing.CallerRequest:
    """Decodes and validates a request to a plain service.

    Args:
        classifier: Look-up in the configuration.
        name: Name of the service.
        path: Path and query, relative to the endpoint's URL.
        raw: The request.

    Raises:
        RequestError: The request is invalid.
    """
    organisation = classifier.find_organisation(
        raw.find_header("authorization"))
    service = classifier.find_service(name)
    request_class = classifier.find_class(raw.find_header(_CLASS_HEADER),
                                          service.default_class,
                                          model_or_service=service.name,
                                          organisation=organisation,
                                          path=path)
    return routing.CallerRequest(request_id=raw.request_id,
                                 kind=routing.RequestKind.SERVICE,
                                 model_or_service=service.name,
                                 request_class=request_class,
                                 organisation=organisation,
                                 arrived_at=raw.arrived_at,
                                 idempotent=raw.method
                                 in service.idempotent_methods,
                                 fingerprint=routing.compute_fingerprint(
                                     organisation, raw.method.encode(),
                                     name.encode(), path.encode(), raw.body),
                                 method=raw.method,
                                 path=path,
                                 headers=select_forwarded_headers(raw.headers),
                                 body=raw.body,
                                 idempotency_key=_read_idempotency_key(raw))


def select_forwarded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are forwarded to a service.

    Hop-by-hop headers are removed, also those that a ``Connection`` header
    lists.

    Examples:
        >>> select_forwarded_headers([("connection", "x-a"), ("x-a", "1"),
        ...                           ("x-b", "2")])
        (('x-b', '2'),)
    """
    connection_headers = {
        token.strip().lower() for key, value in headers if key == "connection"
        for token in value.split(",")
    }
    return tuple(each for each in headers if each[0] not in _DROPPED_HEADERS and
                 each[0] not in connection_headers)


def require_classifier(
        classifier: routing.Classifier | None) -> routing.Classifier:
    """Returns the classifier if there is a configuration.

    Raises:
        RequestError: The entry has no configuration yet.
    """
    if classifier is None:
        raise errors.RequestError(errors.RequestCode.NOT_READY,
                                  "this entry has no configuration yet.",
                                  "Come back after the time in Retry-After.",
                                  retry_after=datetime.timedelta(seconds=1))
    return classifier


def list_models(classifier: routing.Classifier) -> dict[str, typing.Any]:
    """Returns the list of models in the format of OpenAI's API."""
    return {
        "object": "list",
        "data": [describe_model(name) for name in sorted(classifier.models)]
    }


def describe_model(name: str) -> dict[str, typing.Any]:
    """Returns one model in the format of OpenAI's API."""
    return {
        "id": name,
        "object": "model",
        "created": 0,
        "owned_by": "mustardwood"
    }


def _read_idempotency_key(raw: RawRequest) -> str:
    key = raw.find_header(_IDEMPOTENCY_KEY_HEADER)
    return "" if key is None else routing.check_idempotency_key(key)
