"""The message that VMs send each other."""

import typing

import msgspec

from mustardwood import usage as usage_module

LoadFigures = tuple[int, int, int, int]
"""Load of an endpoint: prefill tokens, requests, interactive streams and held
tokens."""

_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)]
"""A time span; the limit, twelve days, keeps calculations with it safe."""

_BlockCount = typing.Annotated[int, msgspec.Meta(ge=1, le=1000)]
"""A number of blocks of one request, of which the durations are doubled."""

_RateLimit = typing.Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""A number of requests a second."""

_Tier = typing.Annotated[int, msgspec.Meta(ge=0, le=10**6)]

_EngineShare = typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)]
"""A number of engines in ten thousandths."""


class ConfigurationPosition(typing.NamedTuple):
    """Position of a configuration; the greater one is the newer.

    A store that was restored from a copy may show an older version at a later
    position, so the version decides first.

    Attributes:
        version: Its version.
        era: The store's era in which it was read.
        revision: The store's revision at which it was written.
    """

    version: int = 0
    era: int = 0
    revision: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The part of an update that is the same for all peers.

    Attributes:
        loads: The load that the sender itself has put on each endpoint.
        moves: Pairs of an endpoint and a prompt prefix that the sender recently
            sent there although another endpoint is preferred for it.
        losses: Pairs of a request's fingerprint and an endpoint that recently
            crashed while it ran this request for the sender.
        part_crashes: For each crash of an engine and each part of a prompt that
            it had not written on: the part, the engine with the time of its
            start, whether its response had begun, milliseconds since, and the
            fingerprint of the request.
        part_successes: Parts with which engines wrote and did not crash, and
            the milliseconds since they began to write.
        request_blocks: For each request that is blocked because it crashes
            endpoints: its fingerprint, the milliseconds until the end of the
            block and the number of its blocks.
        rate_limits: For each endpoint that states a rate limit, or has stated
            one: its name with the time of its start, the limit in requests a
            second, if any, and milliseconds since the statement.
        notices: For each endpoint of which the sender has learnt something: its
            name with the time of its start, the kind of notice, milliseconds
            since, and the milliseconds for which a pause lasts. Receivers
            ignore kinds that they do not know.
        demands: For each service: pairs of a tier and the number of engines,
            in ten thousandths, that the sender's requests keep busy.
    """

    loads: dict[str, LoadFigures]
    moves: list[tuple[str, str]] = []
    losses: list[tuple[str, str]] = []
    part_crashes: list[tuple[str, str, bool, _Milliseconds, str]] = []
    part_successes: list[tuple[str, _Milliseconds]] = []
    request_blocks: list[tuple[str, _Milliseconds, _BlockCount]] = []
    rate_limits: list[tuple[str, _RateLimit | None, _Milliseconds]] = []
    notices: list[tuple[str, str, _Milliseconds, _Milliseconds]] = []
    demands: dict[str, list[tuple[_Tier, _EngineShare]]] = {}


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The update that one VM sends to another.

    Attributes:
        sender: Name of the sending VM.
        sequence: Sequence number of this message, over all receivers.
        echo: Highest sequence number that the sender has received from the
            receiver; 0 if none.
        proof_lead_ms: Time in milliseconds from the store read on which the
            sender's newest freshness proof rests until the sender received
            the echoed message, rounded up. 0 if the read was started later
            than that; -1 if there is no proof.
        configuration: Position of the configuration that the sender uses.
        report: An encoded `Report`; it is encoded once for all receivers.
        streams: Concatenated keys of streams, by the software version that
            began them.
        questions: Concatenated keys of streams whose version the sender asks
            for.
    """

    sender: str
    sequence: int
    echo: int
    proof_lead_ms: int
    configuration: ConfigurationPosition
    report: msgspec.Raw
    streams: dict[str, bytes] = {}
    questions: bytes = b""


class PeerUpdateWithUsage(PeerUpdate, frozen=True, array_like=True):
    """An update with an optional last field, which older VMs ignore.

    Attributes:
        usage: The sender's clock and counts of requests; None if it does not
            count requests, or has sent them to the receiver recently.
    """

    usage: usage_module.UsageReport | None = None
