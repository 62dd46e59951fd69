"""Parsing of the body of a completion request."""

import dataclasses
import hashlib
import typing

import msgspec

from mustardwood import errors
from mustardwood.routing import request_kind

MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024
"""Maximum size of a request body, in bytes."""

_CHARACTERS_PER_TOKEN = 4
_PREFIX_BYTES = 1024
_MAX_TOKENS_LIMIT = 2**31
_STREAM_FIELDS = ("stream", "stream_options")
_RESERVED_FIELDS = ("resume_from",)


@dataclasses.dataclass(frozen=True)
class CompletionBody:
    """The parsed and validated body of a completion request.

    Attributes:
        model: Name of the requested model.
        fields: All fields of the body, as the caller sent them.
        stream: Whether the completion is to be streamed.
        include_usage: Whether the stream is to end with a usage event.
        max_tokens: Maximum length of the completion, in tokens; None if the
            caller set none.
        prompt_tokens: Estimated length of the prompt, in tokens.
        prefix_hash: Hash of the start of the prompt.
        canonical: The body as JSON without the streaming options, with its
            fields in sorted order, for comparison with other bodies.
    """

    model: str
    fields: dict[str, typing.Any]
    stream: bool
    include_usage: bool
    max_tokens: int | None
    prompt_tokens: int
    prefix_hash: int
    canonical: bytes


def parse_completion(kind: request_kind.RequestKind,
                     body: bytes) -> CompletionBody:
    """Parses and validates the body of a completion request.

    Args:
        kind: Chat or text completion.
        body: The body as JSON.

    Returns:
        The parsed body.

    Raises:
        RequestError: The body is too large or malformed, or a field has the
            wrong type or a value that is not allowed.

    Examples:
        >>> body = b'{"model": "m", "prompt": "abcdefgh", "stream": true}'
        >>> parsed = parse_completion(request_kind.RequestKind.COMPLETION, body)
        >>> parsed.model, parsed.stream, parsed.prompt_tokens
        ('m', True, 2)
    """
    fields = _decode_fields(body)
    model = _read_field(fields, "model", str, required=True)
    prompt = _read_prompt(kind, fields)
    options = _read_field(fields, "stream_options", dict) or {}
    _check_choice_count(fields)
    for name in _RESERVED_FIELDS:
        if name in fields:
            raise _make_type_error(name, "is reserved for the router",
                                   "Leave the field out.")
    return CompletionBody(
        model=model,
        fields=fields,
        stream=_read_field(fields, "stream", bool) or False,
        include_usage=_read_field(options, "include_usage", bool) or False,
        max_tokens=_read_max_tokens(fields),
        prompt_tokens=len(prompt) // _CHARACTERS_PER_TOKEN,
        prefix_hash=_hash_prefix(prompt),
        canonical=_encode_canonical(fields))


def compute_fingerprint(organisation: str, *parts: bytes) -> str:
    """Returns a hash of a request, by which equal requests are recognised.

    Args:
        organisation: Name of the caller's organisation.
        parts: The parts of the request that make it differ from others.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), *parts):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _decode_fields(body: bytes) -> dict[str, typing.Any]:
    if len(body) > MAX_REQUEST_BODY_BYTES:
        raise errors.RequestError(
            errors.RequestCode.BODY_TOO_LARGE, "the body is over "
            f"{MAX_REQUEST_BODY_BYTES} bytes.", "Send a shorter request.")
    try:
        fields = msgspec.json.decode(body)
        msgspec.json.encode(fields)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.RequestError(errors.RequestCode.MALFORMED_BODY,
                                  f"the body is not valid JSON: {error}.",
                                  "Send one JSON object in UTF-8.") from error
    if not isinstance(fields, dict):
        raise _make_type_error("body", "must be an object",
                               "Send a JSON object.")
    return fields


def _read_field(fields: dict[str, typing.Any],
                name: str,
                kind: type,
                *,
                required: bool = False) -> typing.Any:
    value = fields.get(name)
    if value is None and not required:
        return None
    if not isinstance(value, kind):
        raise _make_type_error(name, f"must be of type {kind.__name__}",
                               f"Correct the field '{name}'.")
    return value


def _read_prompt(kind: request_kind.RequestKind,
                 fields: dict[str, typing.Any]) -> bytes:
    name = "prompt"
    if kind is request_kind.RequestKind.CHAT:
        name = "messages"
        conversation = _read_field(fields, name, list, required=True)
        if not conversation or not all(
                isinstance(each, dict) for each in conversation):
            raise _make_type_error(name, "must be a list of objects, not empty",
                                   "Send at least one message.")
    prompt = fields.get(name)
    if isinstance(prompt, str):
        return prompt.encode()
    if isinstance(prompt, list):
        return msgspec.json.encode(prompt)
    raise _make_type_error(name, "must be a string or a list",
                           f"Correct the field '{name}'.")


def _check_choice_count(fields: dict[str, typing.Any]) -> None:
    count = fields.get("n")
    if count is not None and (isinstance(count, bool) or count != 1):
        raise _make_type_error("n", "must be 1", "Send one request per answer.")


def _read_max_tokens(fields: dict[str, typing.Any]) -> int | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = fields.get(name)
        if value is None:
            continue
        if (not isinstance(value, int) or isinstance(value, bool) or
                not 0 < value < _MAX_TOKENS_LIMIT):
            raise _make_type_error(name, "must be a positive integer",
                                   f"Correct the field '{name}'.")
        return value
    return None


def _hash_prefix(prompt: bytes) -> int:
    digest = hashlib.blake2b(prompt[:_PREFIX_BYTES], digest_size=7).digest()
    return int.from_bytes(digest, "big")


def _encode_canonical(fields: dict[str, typing.Any]) -> bytes:
    kept = {
        name: value
        for name, value in fields.items()
        if name not in _STREAM_FIELDS
    }
    return msgspec.json.encode(kept, order="deterministic")


def _make_type_error(name: str, message: str,
                     remedy: str) -> errors.RequestError:
    return errors.RequestError(errors.RequestCode.WRONG_TYPE,
                               f"'{name}' {message}.", remedy)
