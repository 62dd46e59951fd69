"""Counts of requests that ended."""

import msgspec


class LevelRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts of one minute by class and organisation, or by endpoint.

    Attributes:
        minute: Start of the minute, in minutes since 1970.
        class_name: Request class; empty for all classes.
        organisation: Caller's organisation; empty for all organisations.
        endpoint: Endpoint of the last attempt; empty for all endpoints, or if
            no endpoint was used.
        asked: Number of requests that ended.
        whole: Number of complete answers.
        met: Number of complete answers that met their targets.
        useful_tokens: Tokens of complete answers.
        refused: Number of requests that ended in an error, by error code.
        wasted_tokens: Tokens that were not part of a complete answer, by
            cause.
    """

    minute: int
    class_name: str
    organisation: str
    endpoint: str = ""
    asked: int = 0
    whole: int = 0
    met: int = 0
    useful_tokens: int = 0
    refused: dict[str, int] = {}
    wasted_tokens: dict[str, int] = {}
