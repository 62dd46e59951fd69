"""Names of the HTTP headers that the platform uses, in lower case."""

ATTEMPT_ID = b"mustardwood-attempt-id"
"""Request id, set by the caller; each retry by the caller has a new one."""
DEADLINE = b"mustardwood-deadline-ms"
"""Time in milliseconds for which the sender waits for the response."""
PROMPT_PARTS = b"mustardwood-prompt-prefix"
"""The prompt's parts as a list of ID:TOKENS.

Despite the header's name, it lists all parts, not only the shared prefix.
"""
TOKEN_COUNTS = b"mustardwood-token-usage"
"""Number of prompt tokens and maximum number of output tokens.

Despite the header's name, these are not the tokens that were used.
"""
SIGNATURE = b"mustardwood-replica-signature"
"""Present if the response was made by the endpoint itself."""
ORGANISATION = b"mustardwood-tenant"
"""The caller's organisation; only the router sets it."""
EXPECTED_ENDPOINT = b"mustardwood-expect-replica"
"""Id of the endpoint that may run the request; others respond with 421."""
ENDPOINT_ID = b"mustardwood-replica-id"
"""Id of the endpoint that has sent the response, if it states it."""
NOT_RUN = b"mustardwood-not-executed"
"""Present if the endpoint has not run the request."""
RATE_LIMIT = b"server-limit"
"""Requests a second that the endpoint accepts from all VMs together."""
LEAVING = b"server-leaving"
"""Present with the value 1 if the endpoint accepts no new requests."""
BRITTLE = b"server-brittle"
"""Requests that the endpoint may turn away in a second without failing."""
RETRY_AFTER = b"retry-after"
"""In a refusal, seconds for which the sender wants no requests."""
PRIORITY = b"mustardwood-request-priority"
"""Priority in the engine's queue, from 0 (first) to 9 (last)."""
LAST_EVENT_ID = b"last-event-id"
"""Id of the last event of a stream that the receiver has."""
RESUMED_ID = b"resumes"
"""Id of the request that brought the first event of a resumed stream."""
DUTY_HOLDER = b"mustardwood-duty-holder"
"""Name of the VM that sends a duty call."""
FENCING_TOKEN = b"mustardwood-fencing-token"
"""Token of the term in which a duty call is sent."""
AUTHORIZATION = b"authorization"
HOST = b"host"

ROUTER_ONLY = frozenset({
    ORGANISATION,
    EXPECTED_ENDPOINT,
    NOT_RUN,
    PRIORITY,
    SIGNATURE,
    DEADLINE,
    AUTHORIZATION,
    ENDPOINT_ID,
    b"mustardwood-weight-versions",
    b"mustardwood-expect-version",
    b"mustardwood-pin-ms",
    b"mustardwood-cache-retention",
    b"mustardwood-kv-backup",
    b"kv-from",
    b"kv-fetch",
})
"""Request headers that callers may not set; they are removed from requests."""

HOP_BY_HOP = frozenset({
    b"connection",
    b"content-length",
    b"expect",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
})
"""Hop-by-hop headers, which concern one connection or its framing."""

NEVER_HOP_BY_HOP = frozenset({
    ATTEMPT_ID,
    HOST,
    TOKEN_COUNTS,
    PROMPT_PARTS,
    b"mustardwood-model",
})
"""Headers that are forwarded even if a ``Connection`` header lists them."""
