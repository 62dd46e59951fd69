"""The message that VMs send each other."""

import typing

import msgspec

LoadFigures = tuple[int, int, int, int]
"""Load of an endpoint: prefill tokens, requests, interactive streams and held
tokens."""

_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)]
"""A time span; the limit, twelve days, keeps calculations with it safe."""

_BlockCount = typing.Annotated[int, msgspec.Meta(ge=1, le=1000)]
"""A number of blocks of one request, of which the durations are doubled."""

_RateLimit = typing.Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""A number of requests a second."""

_Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]

_Tier = typing.Annotated[int, msgspec.Meta(ge=0, le=10**6)]

_EngineShare = typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)]
"""A number of engines in ten thousandths."""

_Correction = typing.Annotated[int, msgspec.Meta(ge=1, le=10**6)]
"""A factor on a demand, in thousandths."""

UPDATE_FORMAT = 1
"""Number of the format of updates, which grows with each field that is added.

VMs of two builds run side by side during an upgrade. Fields are only added, at
the end, with a default value, and keep their meaning. An older reader ignores
the fields that it does not know.
"""

_NO_PROFILES = b"\x90"
"""An encoded empty list."""


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


class ServiceProfile(typing.NamedTuple):
    """What the sender has learned of the speed of a service's engines.

    Attributes:
        service: Name of the service.
        prefill_rate: Prompt tokens prefilled in a second.
        base_us: Fixed microseconds to the first token.
        step_ns: Nanoseconds of a step with an empty batch.
        stream_step_ns: Nanoseconds that each request adds to a step.
        context_step_ns: Nanoseconds that 1,000 tokens in the KV cache add to a
            step.
        chunk_us: Microseconds that the prefill of a chunk adds to a step.
        output_share: Share of the announced output tokens that responses use,
            in ten thousandths.
        step_samples: Number of samples of the time of a token.
        prefill_samples: Number of samples of the time to the first token.
        output_samples: Number of complete responses.
    """

    service: str
    prefill_rate: int
    base_us: int
    step_ns: int
    stream_step_ns: int
    context_step_ns: int
    chunk_us: int
    output_share: int
    step_samples: int
    prefill_samples: int
    output_samples: int


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
        profiles: An encoded list of `ServiceProfile`. It is decoded by itself,
            so that impossible values in it leave the rest of the report valid.
        corrections: For each service, the factor by which the sender corrects
            the demand of all VMs, in thousandths.
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
    profiles: msgspec.Raw = msgspec.Raw(_NO_PROFILES)
    corrections: dict[str, _Correction] = {}


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
        store_position: The store's era and its revision up to which the sender
            knows all changes.
    """

    sender: str
    sequence: int
    echo: int
    proof_lead_ms: int
    configuration: ConfigurationPosition
    report: msgspec.Raw
    streams: dict[str, bytes] = {}
    questions: bytes = b""
    store_position: tuple[_Counter, _Counter] = (0, 0)


class PeerUpdateWithUsage(PeerUpdate, frozen=True, array_like=True):
    """An update with fields that were added later, which older VMs ignore.

    Attributes:
        usage: An encoded `usage.UsageReport`, the sender's clock and counts of
            requests. Empty or an encoded None if the sender does not count
            requests, or has sent them to the receiver recently. It is decoded
            separately, so that a malformed one costs nothing else.
        format: The `UPDATE_FORMAT` of the sender; 0 if its build names none.
    """

    usage: msgspec.Raw = msgspec.Raw()
    format: _Counter = 0
