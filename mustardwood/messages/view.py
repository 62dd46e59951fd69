"""What an agent tells the processes of its VM."""

import msgspec

from mustardwood import configuration
from mustardwood.messages import request_block
from mustardwood.messages import member


class View(msgspec.Struct, frozen=True, tag="view"):
    """The configuration and the fleet, sent on each change and each second.

    Attributes:
        sequence: Grows with each change of the content; the receiver answers
            with a `ViewAck` of the same number.
        configuration: Configuration in force; None before the first, and in
            repeats whose configuration did not change since the last ack.
        version: Version of the configuration in force; 0 before the first.
        members: The VMs.
        leaving_endpoints: Endpoints whose VM the platform lists as leaving.
        convictions: Requests that must not run.
        suspects: Fingerprints in flight at one recent crash.
    """

    sequence: int
    version: int
    configuration: configuration.VersionedDocument | None
    members: tuple[member.Member, ...] = ()
    leaving_endpoints: tuple[str, ...] = ()
    convictions: tuple[request_block.RequestBlock, ...] = ()
    suspects: tuple[str, ...] = ()
