"""Kinds of callers' requests."""

import enum


class RequestKind(enum.StrEnum):
    """Which interface a request came through."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"
