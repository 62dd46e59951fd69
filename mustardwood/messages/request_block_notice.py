"""Convictions passed between processes."""

import msgspec

from mustardwood.messages import request_block


class RequestBlockNotice(msgspec.Struct, frozen=True, tag="conviction_notice"):
    """Passes convictions on.

    Attributes:
        convictions: Requests that must not run.
    """

    convictions: tuple[request_block.RequestBlock, ...]
