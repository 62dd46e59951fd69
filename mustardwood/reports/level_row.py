"""Counts of ended requests."""

import msgspec


class LevelRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts of one minute and class and organisation, or endpoint.

    Attributes:
        minute: Start of the minute, in minutes since 1970.
        class_name: Request class; empty for all.
        organisation: Caller's organisation; empty for all.
        endpoint: Endpoint of the last attempt; empty for all, or none used.
        asked: Requests that ended.
        whole: Whole answers.
        met: Whole answers that met their targets.
        useful_tokens: Tokens of whole answers.
        refused: Requests that ended in an error, by code.
        wasted_tokens: Tokens that no caller got in a whole answer, by cause.
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
