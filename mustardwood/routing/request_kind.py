"""Kinds of requests."""

import enum


class RequestKind(enum.StrEnum):
    """The interface through which a request came."""

    CHAT = "chat"
    COMPLETION = "completion"
    SERVICE = "service"
