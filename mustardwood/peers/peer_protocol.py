"""Builds the updates for a VM's peers and processes those received."""

import collections
import collections.abc
import dataclasses
import datetime
import math
import random

import msgspec

from mustardwood import decoding
from mustardwood import dispatch
from mustardwood import profiles
from mustardwood import timing
from mustardwood import usage as usage_module
from mustardwood.peers import peer_update
from mustardwood.peers import profile_codec
from mustardwood.peers import usage_exchange

_MAX_SEND_TIMES = 256
"""Number of send times that are kept per peer; they cover about ten seconds."""
_SEQUENCE_BITS = 48
"""Size of the random initial sequence number."""
_MILLISECOND = datetime.timedelta(milliseconds=1)
_ENGINE_SHARES = 10_000
"""Parts into which an engine is divided in reports of demand."""
_CORRECTION_UNITS = 1_000
"""Parts into which a factor on the demand is divided in reports."""
_NIL = b"\xc0"
"""An empty field in MessagePack."""
_NOTICE_KINDS = frozenset(dispatch.NoticeKind)
_PROFILE_RENEWAL = datetime.timedelta(minutes=1)
"""Interval at which unchanged profiles of a peer are recorded again.

They change every few seconds and are part of each of up to 200 updates a
second, so that decoding them each time takes a tenth of a VM's processor time.
"""


@dataclasses.dataclass
class _Peer:
    """What is known of a peer.

    Attributes:
        last_sequence: Highest sequence number received; 0 if none.
        received_at: Monotonic time at which it was received.
        report: The peer's last report, encoded.
        profiles: The engine profiles that were applied last, encoded.
        profiles_applied_at: Monotonic time at which they were.
        send_times: Monotonic times at which messages were sent to the peer, by
            sequence number.
    """

    last_sequence: int = 0
    received_at: datetime.timedelta = datetime.timedelta()
    report: bytes = b""
    profiles: bytes = b""
    profiles_applied_at: datetime.timedelta = datetime.timedelta()
    send_times: "collections.OrderedDict[int, datetime.timedelta]" = (
        dataclasses.field(default_factory=collections.OrderedDict))


class PeerProtocol:
    """Builds and processes the updates between one VM and its peers.

    It does no I/O.

    Attributes:
        store_position: The store's era and its revision up to which this VM
            knows all changes; updates tell it to the peers.

    A peer's freshness proof is converted to this VM's clock, since the clocks
    of two VMs are not synchronised. The peer's update names a message that it
    has received from this VM, and the time from the store read behind its proof
    until that receipt. The receipt was later than this VM's send, so the read
    took place no earlier than the send time minus that time. This holds however
    long the update was delayed.
    """

    def __init__(self,
                 vm: str,
                 clock: timing.Clock,
                 loads: dispatch.LoadTable,
                 prefix_caches: dispatch.PrefixCacheIndex,
                 crashes: dispatch.CrashRecord,
                 part_crashes: dispatch.PromptPartCrashes,
                 proof: dispatch.FreshnessProof,
                 rng: random.Random,
                 streams: dispatch.StreamVersionTable,
                 rate_limits: dispatch.EndpointRateLimits,
                 notices: dispatch.EndpointNotices,
                 admission: dispatch.TierAdmission,
                 engine_profiles: profiles.EngineProfiles,
                 usage: usage_exchange.UsageExchange | None = None) -> None:
        """Creates a protocol without peers.

        Args:
            vm: Name of this VM.
            clock: Its monotonic time must include the time of suspensions.
            loads: Holds this VM's own load; the peers' loads are added to it.
            prefix_caches: Records which endpoints cache which prompt prefixes.
            crashes: Records which requests have crashed endpoints.
            part_crashes: Records which parts of prompts have crashed engines.
            proof: Receives the peers' freshness proofs.
            rng: Draws the initial sequence number. It is random so that a
                peer's echo of a message from before a restart matches no
                message of this process.
            streams: Records which software versions began streams.
            rate_limits: Records the rate limits that endpoints state.
            notices: Records what VMs learn of endpoints from responses.
            admission: Receives the peers' demand for engines.
            engine_profiles: Receives what peers have learned of engines.
            usage: Adds this VM's counts of requests to updates; None if
                requests are not counted.
        """
        self.store_position = (0, 0)
        self._vm = vm
        self._clock = clock
        self._loads = loads
        self._prefix_caches = prefix_caches
        self._crashes = crashes
        self._part_crashes = part_crashes
        self._proof = proof
        self._streams = streams
        self._rate_limits = rate_limits
        self._notices = notices
        self._admission = admission
        self._usage = usage
        self._profiles = engine_profiles
        self._sent_profiles: tuple[profiles.ProfileReport, ...] = ()
        self._encoded_profiles = profile_codec.encode_profiles(())
        self._peers: dict[str, _Peer] = {}
        self._sequence = rng.getrandbits(_SEQUENCE_BITS)

    @property
    def has_new_streams(self) -> bool:
        """Whether there are streams that peers have not been told of."""
        return self._streams.has_new_streams

    @property
    def has_questions(self) -> bool:
        """Whether there are streams to ask peers about."""
        return self._streams.has_questions

    def build_updates(
        self, receivers: collections.abc.Iterable[str],
        configuration: peer_update.ConfigurationPosition
    ) -> list[tuple[str, bytes]]:
        """Returns the next update for each of several peers.

        Args:
            receivers: Names of the peers.
            configuration: Position of the configuration that this VM uses.

        Returns:
            Pairs of a peer's name and the encoded update for it.
        """
        return self._build(receivers, configuration,
                           self._streams.take_new_streams(), b"")

    def build_questions(
        self, receivers: collections.abc.Iterable[str],
        configuration: peer_update.ConfigurationPosition
    ) -> list[tuple[str, bytes]]:
        """Returns updates that ask peers about unknown streams.

        Args:
            receivers: Names of the peers.
            configuration: Position of the configuration that this VM uses.

        Returns:
            Pairs of a peer's name and the encoded update for it.
        """
        return self._build(receivers, configuration, {},
                           self._streams.take_questions())

    def build_answers(
        self, update: peer_update.PeerUpdate,
        configuration: peer_update.ConfigurationPosition
    ) -> list[tuple[str, bytes]]:
        """Returns the reply to the questions of an update; none if unknown.

        Args:
            update: The update of a peer.
            configuration: Position of the configuration that this VM uses.

        Returns:
            At most one pair of the peer's name and the encoded reply.
        """
        answers = self._streams.find_answers(update.questions)
        return (self._build([update.sender], configuration, answers, b"")
                if answers else [])

    def _build(self, receivers: collections.abc.Iterable[str],
               configuration: peer_update.ConfigurationPosition,
               streams: dict[str, bytes],
               questions: bytes) -> list[tuple[str, bytes]]:
        now = self._clock.monotonic()
        age = self._proof.get_age()
        requested_at = None if age is None else now - age
        report = msgspec.Raw(msgspec.msgpack.encode(self._build_report()))
        updates = []
        for name in receivers:
            peer = self._peers.setdefault(name, _Peer())
            self._sequence += 1
            peer.send_times[self._sequence] = now
            if len(peer.send_times) > _MAX_SEND_TIMES:
                peer.send_times.popitem(last=False)
            fields = (self._vm, self._sequence, peer.last_sequence,
                      _compute_proof_lead(peer, requested_at), configuration,
                      report, streams, questions, self.store_position)
            counted = (None if self._usage is None else
                       self._usage.build_report(name))
            updates.append(
                (name,
                 msgspec.msgpack.encode(
                     peer_update.PeerUpdateWithUsage(
                         *fields,
                         usage=msgspec.Raw(msgspec.msgpack.encode(counted)),
                         format=peer_update.UPDATE_FORMAT))))
        return updates

    def _build_report(self) -> peer_update.Report:
        loads = {
            name: (each.prefill_tokens, each.requests, each.interactive_streams,
                   each.held_tokens
                  ) for name, each in self._loads.list_own_loads().items()
        }
        crashes, successes = self._part_crashes.list_news()
        return peer_update.Report(
            loads, self._prefix_caches.list_moves(),
            self._crashes.list_recent_crashes(),
            [(each.part, each.engine, each.has_begun, each.age // _MILLISECOND,
              each.request) for each in crashes],
            [(each.part, each.age // _MILLISECOND) for each in successes],
            [(each.fingerprint, each.time_left // _MILLISECOND, each.count)
             for each in self._crashes.list_blocks()],
            [(each.endpoint, each.limit, each.age // _MILLISECOND)
             for each in self._rate_limits.list_reports()],
            [(each.endpoint, each.kind, each.age // _MILLISECOND,
              each.duration // _MILLISECOND)
             for each in self._notices.list_reports()],
            _encode_demands(self._admission.list_demands()),
            self._encode_profiles(), self._encode_corrections())

    def _encode_corrections(self) -> dict[str, int]:
        corrections = self._admission.list_corrections()
        return {
            service: round(factor * _CORRECTION_UNITS)
            for service, factor in corrections.items()
        }

    def receive_update(
        self, data: bytes, configuration: peer_update.ConfigurationPosition
    ) -> peer_update.PeerUpdateWithUsage | None:
        """Processes a received update.

        Args:
            data: The datagram.
            configuration: Position of the configuration that this VM uses.

        Returns:
            The update; None if it can't be decoded, or if a later one has been
            received from the same peer.
        """
        try:
            update = decoding.decode_msgpack(data,
                                             peer_update.PeerUpdateWithUsage)
            report = bytes(update.report)
            known_peer = self._peers.get(update.sender)
            new_report = (None if known_peer is not None and
                          known_peer.report == report else
                          decoding.decode_msgpack(report, peer_update.Report))
        except decoding.DecodingError:
            return None
        self._streams.record_peer_streams(update.streams)
        peer = self._peers.setdefault(update.sender, _Peer())
        if update.sequence <= peer.last_sequence and not _is_restart(
                update, peer):
            return None
        peer.last_sequence = update.sequence
        peer.received_at = self._clock.monotonic()
        if self._usage is not None:
            counted = _decode_usage(update.usage)
            if counted is not None:
                self._usage.receive_report(update.sender, counted)
        if new_report is not None:
            peer.report = report
            self._apply_report(update.sender, new_report)
        else:
            self._admission.confirm_peer_demands(update.sender)
        if new_report is None and not self._loads.confirm_peer_loads(
                update.sender):
            # The peer's loads had expired; its unchanged report is valid again.
            self._apply_report(
                update.sender,
                decoding.decode_msgpack(report, peer_update.Report))
        echoed_send_time = peer.send_times.get(update.echo)
        if (echoed_send_time is not None and update.proof_lead_ms >= 0 and
                _proves_freshness(update.configuration, configuration)):
            self._proof.record(echoed_send_time -
                               update.proof_lead_ms * _MILLISECOND)
        return update

    def _apply_report(self, sender: str, report: peer_update.Report) -> None:
        self._loads.set_peer_loads(
            sender, {
                name: dispatch.EndpointLoad(*load)
                for name, load in report.loads.items()
            })
        self._admission.set_peer_demands(
            sender, [
                dispatch.TierDemand(service, tier, share / _ENGINE_SHARES)
                for service, demands in report.demands.items()
                for tier, share in demands
            ], {
                service: factor / _CORRECTION_UNITS
                for service, factor in report.corrections.items()
            })
        self._apply_profiles(sender, report)
        for endpoint, prefix_key in report.moves:
            self._prefix_caches.record_prefix(endpoint, prefix_key)
        for fingerprint, endpoint in report.losses:
            self._crashes.record_peer_crash(fingerprint, endpoint)
        for fingerprint, time_left_ms, count in report.request_blocks:
            self._crashes.record_peer_block(
                dispatch.CrashBlock(fingerprint, time_left_ms * _MILLISECOND,
                                    count))
        for endpoint, limit, age_ms in report.rate_limits:
            self._rate_limits.record_peer_report(
                sender,
                dispatch.RateReport(endpoint, limit, age_ms * _MILLISECOND))
        self._apply_notices(sender, report)
        for part, engine, has_begun, age_ms, request in report.part_crashes:
            self._part_crashes.record_peer_crash(
                dispatch.PartCrash(part, engine, has_begun,
                                   age_ms * _MILLISECOND, request))
        for part, age_ms in report.part_successes:
            self._part_crashes.record_peer_success(
                dispatch.PartSuccess(part, age_ms * _MILLISECOND))

    def _encode_profiles(self) -> msgspec.Raw:
        reports = self._profiles.list_reports()
        if reports is not self._sent_profiles:
            self._sent_profiles = reports
            self._encoded_profiles = profile_codec.encode_profiles(reports)
        return self._encoded_profiles

    def _apply_profiles(self, sender: str, report: peer_update.Report) -> None:
        peer, now = self._peers[sender], self._clock.monotonic()
        encoded = bytes(report.profiles)
        if (encoded == peer.profiles and
                now - peer.profiles_applied_at < _PROFILE_RENEWAL):
            return
        peer.profiles, peer.profiles_applied_at = encoded, now
        try:
            self._profiles.set_peer_reports(
                sender, profile_codec.decode_profiles(report.profiles))
        except ValueError as error:
            self._profiles.reject_peer_report(sender, str(error))

    def _apply_notices(self, sender: str, report: peer_update.Report) -> None:
        for endpoint, kind, age_ms, duration_ms in report.notices:
            if kind in _NOTICE_KINDS:
                self._notices.record_peer_notice(
                    sender,
                    dispatch.EndpointNotice(endpoint, dispatch.NoticeKind(kind),
                                            age_ms * _MILLISECOND,
                                            duration_ms * _MILLISECOND))

    def forget_peer(self, name: str) -> None:
        """Discards the state of a peer that has left."""
        self._peers.pop(name, None)
        if self._usage is not None:
            self._usage.forget_peer(name)
        self._profiles.forget_peer(name)


def _decode_usage(field: msgspec.Raw) -> usage_module.UsageReport | None:
    """Returns the report in an update; None if it is missing or malformed."""
    if bytes(field) in (b"", _NIL):
        return None
    try:
        return decoding.decode_msgpack(field, usage_module.UsageReport)
    except decoding.DecodingError:
        return None


def _encode_demands(
    demands: collections.abc.Iterable[dispatch.TierDemand]
) -> dict[str, list[tuple[int, int]]]:
    encoded: dict[str, list[tuple[int, int]]] = {}
    for each in demands:
        encoded.setdefault(each.service, []).append(
            (each.tier, round(each.engines * _ENGINE_SHARES)))
    return encoded


def _compute_proof_lead(peer: _Peer,
                        requested_at: datetime.timedelta | None) -> int:
    if requested_at is None:
        return -1
    return max(0, math.ceil((peer.received_at - requested_at) / _MILLISECOND))


def _proves_freshness(peer: peer_update.ConfigurationPosition,
                      own: peer_update.ConfigurationPosition) -> bool:
    """Returns whether a peer's proof is also one for this VM's configuration.

    A peer that uses an older version may know only a restored store, which does
    not show a version newer than this VM's either.
    """
    return peer.version == own.version and peer <= own


def _is_restart(update: peer_update.PeerUpdate, peer: _Peer) -> bool:
    """Returns whether the sender has restarted, with a new sequence.

    The sequence number of a late datagram from the same process is within
    `_MAX_SEND_TIMES` of the last one.
    """
    return (update.sequence < peer.last_sequence - _MAX_SEND_TIMES or
            update.echo == 0)
