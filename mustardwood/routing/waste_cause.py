"""Causes of wasted work."""

import enum


class WasteCause(enum.StrEnum):
    """Why an endpoint's work did not reach a caller as a whole answer."""

    RETRIED = "retried"
    CANCELLED = "cancelled"
    CUT = "cut"
    RESUMED = "resumed"
