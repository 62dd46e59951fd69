"""Probes under way."""

import dataclasses
import datetime

from mustardwood import messages


@dataclasses.dataclass(frozen=True)
class Probe:
    """A probe of this VM's own without an answer yet.

    Attributes:
        vm: Name of the probed VM.
        sent_at: When the direct probe was sent.
        indirect: Whether other VMs were asked to probe it too.
    """

    vm: str
    sent_at: datetime.timedelta
    indirect: bool = False


@dataclasses.dataclass(frozen=True)
class Relay:
    """A probe on behalf of another VM.

    Attributes:
        origin: Agent that asked for it.
        probe: Number of the probe at the origin.
        sent_at: When it was sent.
    """

    origin: messages.Peer
    probe: int
    sent_at: datetime.timedelta
