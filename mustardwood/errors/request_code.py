"""Codes of the errors that callers get."""

import enum


class RequestCode(enum.StrEnum):
    """The reason for which a request got no complete response."""

    MALFORMED_BODY = "malformed_body"
    WRONG_TYPE = "wrong_type"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CLASS = "unknown_class"
    BAD_IDEMPOTENCY_KEY = "bad_idempotency_key"
    KEY_REUSED = "idempotency_key_reused"
    NOT_READY = "not_ready"
    SHED = "shed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    SUSPECTED_POISON = "poison_request"
    IN_PROGRESS = "in_progress"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    INCOMPLETE_ANSWER = "incomplete_answer"
    OUTCOME_UNKNOWN = "outcome_unknown"
