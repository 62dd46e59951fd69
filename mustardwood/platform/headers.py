"""Names of the platform's HTTP headers, in lower case."""

ATTEMPT_ID = b"mustardwood-attempt-id"
"""The caller's id of a request; each retry of a caller has a new one."""
DEADLINE = b"mustardwood-deadline-ms"
"""Milliseconds for which the sender waits."""
PROMPT_PARTS = b"mustardwood-prompt-prefix"
"""All parts of a prompt, ID:TOKENS; not only those that others share."""
TOKEN_COUNTS = b"mustardwood-token-usage"
"""Prompt tokens and the most output tokens; not what was used."""
SIGNATURE = b"mustardwood-replica-signature"
"""Marks an answer as an endpoint's own."""
ORGANISATION = b"mustardwood-tenant"
"""The caller's organisation; set by the router alone."""
EXPECTED_ENDPOINT = b"mustardwood-expect-replica"
"""Id of the endpoint that may run the request; others answer 421."""
NOT_RUN = b"mustardwood-not-executed"
"""Present where the endpoint has not run the request."""
PRIORITY = b"mustardwood-request-priority"
"""Rank in the engine's own queue: 0 is first, 9 is last."""
LAST_EVENT_ID = b"last-event-id"
"""Id of the last event that the receiver of a stream has."""
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
    b"mustardwood-replica-id",
    b"mustardwood-weight-versions",
    b"mustardwood-expect-version",
    b"mustardwood-pin-ms",
    b"mustardwood-cache-retention",
    b"mustardwood-kv-backup",
    b"kv-from",
    b"kv-fetch",
})
"""Headers of a request that a caller has no say in."""

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
"""Headers that concern one connection or its framing."""

NEVER_HOP_BY_HOP = frozenset({
    ATTEMPT_ID,
    HOST,
    TOKEN_COUNTS,
    PROMPT_PARTS,
    b"mustardwood-model",
})
"""Headers that a ``Connection`` header can't declare as its own."""
