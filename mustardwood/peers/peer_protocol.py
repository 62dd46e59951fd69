"""What a VM tells its peers and concludes from their news."""

import collections
import collections.abc
import dataclasses
import datetime
import math
import random

import msgspec

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.peers import peer_update

_MAX_SEND_TIMES = 256
"""Own messages whose time is kept; they are about ten seconds' worth."""
_SEQUENCE_BITS = 48
"""Size of the first message number."""
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass
class _Peer:
    last_sequence: int = 0
    received_at: datetime.timedelta = datetime.timedelta()
    revision: int = 0
    report: bytes = b""
    send_times: "collections.OrderedDict[int, datetime.timedelta]" = (
        dataclasses.field(default_factory=collections.OrderedDict))


class PeerProtocol:
    """Builds and reads the messages of one VM; it does no I/O.

    A peer's proof of currency counts from a time on this VM's own clock: the
    peer names a message of ours and how long before its receipt the proof was
    asked for. Since the receipt is later than our send, the proof is at least
    as new as our send less that time, however long the answer was under way.
    """

    def __init__(self, vm: str, clock: timing.Clock, loads: dispatch.LoadTable,
                 memory: dispatch.PrefixCacheIndex,
                 crashes: dispatch.CrashRecord, proof: dispatch.FreshnessProof,
                 rng: random.Random) -> None:
        """Creates an exchange without peers.

        Args:
            vm: Name of this VM.
            clock: Its monotonic time counts suspension.
            loads: This VM's own work, and its peers'.
            memory: Where prompts were read.
            crashes: Which requests crash endpoints.
            proof: Gets the peers' proofs.
            rng: Draws the first message number, so that an echo of a number
                from before a restart names no message of this process.
        """
        self._vm = vm
        self._clock = clock
        self._loads = loads
        self._memory = memory
        self._crashes = crashes
        self._proof = proof
        self._peers: dict[str, _Peer] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)

    def build_updates(self, receivers: collections.abc.Iterable[str],
                      revision: int) -> list[tuple[str, bytes]]:
        """Returns the next message for each of several peers.

        Args:
            receivers: Names of the peers.
            revision: Revision of the configuration in force here.

        Returns:
            Names with messages.
        """
        now = self._clock.monotonic()
        age = self._proof.get_age()
        asked_at = None if age is None else now - age
        report = msgspec.Raw(msgspec.msgpack.encode(self._build_report()))
        messages = []
        for name in receivers:
            peer = self._peers.setdefault(name, _Peer())
            self._sequence += 1
            peer.send_times[self._sequence] = now
            if len(peer.send_times) > _MAX_SEND_TIMES:
                peer.send_times.popitem(last=False)
            messages.append(
                (name,
                 msgspec.msgpack.encode(
                     peer_update.PeerUpdate(self._vm, self._sequence,
                                            peer.last_sequence,
                                            _compute_proof_lead(peer, asked_at),
                                            revision, report))))
        return messages

    def _build_report(self) -> peer_update.Report:
        loads = {
            name: (each.prefill_tokens, each.requests, each.interactive_streams,
                   each.held_tokens
                  ) for name, each in self._loads.list_own_loads().items()
        }
        return peer_update.Report(loads, self._memory.list_moves(),
                                  self._crashes.list_recent_crashes())

    def receive_update(self, data: bytes,
                       revision: int) -> peer_update.PeerUpdate | None:
        """Takes over a message.

        Args:
            data: The datagram.
            revision: Revision of the configuration in force here.

        Returns:
            The message; None if it can't be read or is older than one known.
        """
        try:
            found = msgspec.msgpack.decode(data, type=peer_update.PeerUpdate)
            report = bytes(found.report)
            known = self._peers.get(found.sender)
            changes = (None if known is not None and known.report == report else
                       msgspec.msgpack.decode(report, type=peer_update.Report))
        except msgspec.MsgspecError:
            return None
        peer = self._peers.setdefault(found.sender, _Peer())
        if found.sequence <= peer.last_sequence and not _is_restart(
                found, peer):
            return None
        peer.last_sequence = found.sequence
        peer.received_at = self._clock.monotonic()
        peer.revision = found.revision
        if changes is not None:
            peer.report = report
            self._apply_report(found.sender, changes)
        elif not self._loads.confirm_peer_loads(found.sender):
            # Its figures had expired, and the same ones hold again.
            self._apply_report(
                found.sender,
                msgspec.msgpack.decode(report, type=peer_update.Report))
        echoed_send_time = peer.send_times.get(found.echo)
        if (echoed_send_time is not None and found.proof_lead_ms >= 0 and
                found.revision <= revision):
            self._proof.record(echoed_send_time -
                               found.proof_lead_ms * _MILLISECOND)
        return found

    def _apply_report(self, sender: str, report: peer_update.Report) -> None:
        self._loads.set_peer_loads(
            sender, {
                name: dispatch.EndpointLoad(*figures)
                for name, figures in report.loads.items()
            })
        for endpoint, subject in report.moves:
            self._memory.record_prefix(endpoint, subject)
        for fingerprint, endpoint in report.losses:
            self._crashes.record_peer_crash(fingerprint, endpoint)

    def forget_peer(self, name: str) -> None:
        """Forgets a VM that has left."""
        self._peers.pop(name, None)


def _compute_proof_lead(peer: _Peer,
                        asked_at: datetime.timedelta | None) -> int:
    if asked_at is None:
        return -1
    return max(0, math.ceil((peer.received_at - asked_at) / _MILLISECOND))


def _is_restart(found: peer_update.PeerUpdate, peer: _Peer) -> bool:
    """Returns whether the sender counts anew, as after its restart.

    A late datagram of the old process is far closer to the last number.
    """
    return found.sequence < peer.last_sequence - _MAX_SEND_TIMES or found.echo == 0
