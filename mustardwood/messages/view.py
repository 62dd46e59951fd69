"""The view of the fleet that an agent sends to the processes of its VM."""

import msgspec

from mustardwood import configuration
from mustardwood.messages import request_block
from mustardwood.messages import member


class View(msgspec.Struct, frozen=True, tag="view"):
    """The configuration and the state of the fleet.

    The agent sends it after each change and once a second.

    Attributes:
        sequence: Number that grows with each change of the content. The
            receiver acknowledges it with a `ViewAck` of the same number.
        version: Version of the configuration in force; 0 before there is one.
        configuration: Configuration in force; None before there is one, and if
            the receiver has acknowledged this version.
        members: The entry VMs.
        leaving_endpoints: Names of the endpoints whose VM the platform lists as
            leaving.
        convictions: Blocks of requests.
        suspects: Fingerprints of the requests that were in flight at a recent
            crash but are not blocked.
    """

    sequence: int
    version: int
    configuration: configuration.VersionedDocument | None
    members: tuple[member.Member, ...] = ()
    leaving_endpoints: tuple[str, ...] = ()
    convictions: tuple[request_block.RequestBlock, ...] = ()
    suspects: tuple[str, ...] = ()
