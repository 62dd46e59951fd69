"""A notice of blocked requests."""

import msgspec

from mustardwood.messages import request_block


class RequestBlockNotice(msgspec.Struct, frozen=True, tag="conviction_notice"):
    """Informs agents of blocked requests.

    Attributes:
        convictions: Requests that must not run.
    """

    convictions: tuple[request_block.RequestBlock, ...]
