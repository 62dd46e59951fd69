"""The message between VMs."""

import msgspec

LoadFigures = tuple[int, int, int, int]
"""Prefill tokens, places, brisk streams and held tokens on an endpoint."""


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What one VM tells all its peers alike.

    Attributes:
        loads: The sender's own work by endpoint.
        moves: Endpoints with the subjects that the sender lately sent there
            although they are expected elsewhere.
        losses: Fingerprints of requests with the endpoints that the sender
            lately lost while they ran them.
    """

    loads: dict[str, LoadFigures]
    moves: list[tuple[str, str]] = []
    losses: list[tuple[str, str]] = []


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one VM tells another.

    Attributes:
        sender: Name of the sending VM.
        sequence: Number of the message among all that the sender has sent.
        echo: Highest number that the sender got from the receiver; 0 if none.
        proof_lead_ms: Time by which the sender's newest proof of currency was
            asked for before it received the echoed message, rounded up; 0 if
            asked for afterwards, -1 without a proof.
        revision: Revision of the configuration that the sender has in force.
        report: A `Report`, encoded once for all receivers.
    """

    sender: str
    sequence: int
    echo: int
    proof_lead_ms: int
    revision: int
    report: msgspec.Raw
