"""Convictions passed between processes."""

import msgspec

from mustardwood.messages import conviction


class ConvictionNotice(msgspec.Struct, frozen=True, tag="conviction_notice"):
    """Passes convictions on.

    Attributes:
        convictions: Requests that must not run.
    """

    convictions: tuple[conviction.Conviction, ...]
