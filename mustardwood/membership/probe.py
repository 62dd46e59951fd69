"""Probes that wait for an acknowledgement."""

import dataclasses
import datetime

from mustardwood import messages


@dataclasses.dataclass(frozen=True)
class Probe:
    """A probe that this VM started and that has not been acknowledged yet.

    Attributes:
        vm: Name of the probed VM.
        sent_at: Monotonic time when the direct probe was sent.
        indirect: Whether other VMs were also asked to probe it.
    """

    vm: str
    sent_at: datetime.timedelta
    indirect: bool = False


@dataclasses.dataclass(frozen=True)
class Relay:
    """An indirect probe that this VM sent for another one.

    Attributes:
        origin: Agent that requested the probe.
        probe: Number of the probe at the origin.
        sent_at: Monotonic time when the probe was sent.
    """

    origin: messages.Peer
    probe: int
    sent_at: datetime.timedelta
