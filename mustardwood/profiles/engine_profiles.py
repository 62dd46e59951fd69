"""Profiles of engines, learned from their responses."""

import collections.abc
import dataclasses
import datetime

from mustardwood import timing
from mustardwood.profiles import engine_profile
from mustardwood.profiles import engine_state
from mustardwood.profiles import peer_profiles
from mustardwood.profiles import profile_change
from mustardwood.profiles import profile_report
from mustardwood.profiles import profiled_engine
from mustardwood.profiles import service_estimate
from mustardwood.profiles import speed_estimate

_UPDATE_INTERVAL = datetime.timedelta(milliseconds=250)
"""Minimum time between two solutions of a service's estimate."""
_REPORT_INTERVAL = datetime.timedelta(seconds=2)
"""Interval at which the report to the peers changes."""
_MIN_REPORTED_WEIGHT = 10.0
"""Number of samples from which a service is reported."""
_MAX_REPORTED = 16
"""Maximum number of services in a report: less than two kilobytes."""
_MAX_SERVICES = 256
"""Maximum number of services; names come from the configuration."""
_SPEED_LIFETIME = datetime.timedelta(minutes=2)
"""Time without samples after which an engine counts like its service."""
_MAX_ENGINES = 4096
"""Maximum number of engines whose speed is kept."""
_MAX_GAP = datetime.timedelta(seconds=10)
"""Longest gap that counts; the stream was preempted or stalled otherwise."""
_LOGGED_CHANGE = 1.25
"""Factor from which a change of a service's profile is logged."""
_SLOW = 1.5
"""Factor from which an engine counts as slow in the metrics."""
_LOGGED_BATCH = 8
"""Number of requests in the batch whose steps are compared."""
_MAX_REJECTED_PEERS = 1024
"""Maximum number of peers of which a rejected report is remembered."""


@dataclasses.dataclass
class _Service:
    """What is known of a service.

    Attributes:
        estimate: What was learned from responses at this VM.
        profile: The profile, combined with the peers' reports.
        updated_at: Monotonic time at which it was computed.
        logged: The profile that was logged last.
    """

    estimate: service_estimate.ServiceEstimate
    profile: engine_profile.EngineProfile
    updated_at: datetime.timedelta | None = None
    logged: engine_profile.EngineProfile = engine_profile.PRIOR


class EngineProfiles:
    """Learns how fast engines are.

    Load pattern: engines are three times as fast as the constants of the first
    users, or some of them are slower than the others. Demand that is estimated
    by constants makes the router refuse requests while engines are half empty,
    and slow engines get as many requests as fast ones.

    Implements `ProfileTable`.

    Attributes:
        change_count: Number of times that an engine became much slower or
            faster at once.
        rejection_count: Number of peers' reports with impossible values.
    """

    def __init__(
        self,
        clock: timing.Clock,
        handle_change: collections.abc.Callable[[profile_change.ProfileChange],
                                                None] = lambda change: None,
        handle_rejection: collections.abc.Callable[
            [str, str], None] = lambda peer, problem: None
    ) -> None:
        """Creates a table without samples.

        Args:
            clock: Source of the monotonic time.
            handle_change: Called when the view of an engine or a service has
                changed.
            handle_rejection: Called with a peer's name and the reason when a
                report with impossible values is ignored; once for each peer
                until it sends a valid report.
        """
        self._clock = clock
        self._handle_change = handle_change
        self._handle_rejection = handle_rejection
        self._services: dict[str, _Service] = {}
        self._speeds: collections.OrderedDict[
            str, speed_estimate.SpeedEstimate] = collections.OrderedDict()
        self._peers = peer_profiles.PeerProfiles()
        self._rejected: set[str] = set()
        self._reports: tuple[profile_report.ProfileReport, ...] = ()
        self._reported_at: datetime.timedelta | None = None
        self.change_count = 0
        self.rejection_count = 0

    @property
    def engine_count(self) -> int:
        """Number of engines whose speed is known."""
        self._drop_old_speeds()
        return len(self._speeds)

    @property
    def slow_count(self) -> int:
        """Number of engines that are much slower than their service."""
        self._drop_old_speeds()
        return sum(each.slowdown >= _SLOW for each in self._speeds.values())

    def record_first_event(self, engine: profiled_engine.ProfiledEngine,
                           own_tokens: int, missing_tokens: int,
                           state: engine_state.EngineState,
                           elapsed: datetime.timedelta) -> None:
        """See `ProfileTable`."""
        service = self._find_service(engine.service)
        seconds = elapsed.total_seconds()
        if service is not None and own_tokens > 0 and seconds > 0.0:
            service.estimate.add_first_event(own_tokens, missing_tokens, state,
                                             seconds, self._clock.monotonic())

    def record_events(self, engine: profiled_engine.ProfiledEngine, tokens: int,
                      state: engine_state.EngineState, is_prefilling: bool,
                      elapsed: datetime.timedelta) -> None:
        """See `ProfileTable`."""
        service = self._find_service(engine.service)
        if (service is None or tokens <= 0 or
                not datetime.timedelta() < elapsed <= _MAX_GAP):
            return
        now = self._clock.monotonic()
        seconds = elapsed.total_seconds() / tokens
        service.estimate.add_gap(seconds, state, is_prefilling, now)
        profile = self._update(engine.service, service)
        expected = profile.find_step_time(state.running, state.held_tokens)
        if is_prefilling:
            expected += profile.chunk_time
        if self._find_speed(engine).add(seconds / expected, now):
            self.change_count += 1
            self._report_change(profile_change.ChangeKind.SPEED, engine.service,
                                engine.incarnation)

    def record_end(self, engine: profiled_engine.ProfiledEngine,
                   output_tokens: int, max_output_tokens: int) -> None:
        """See `ProfileTable`."""
        service = self._find_service(engine.service)
        if service is not None and output_tokens > 0 and max_output_tokens > 0:
            service.estimate.add_end(output_tokens / max_output_tokens)

    def find_profile(self,
                     service: str,
                     endpoint: str = "") -> engine_profile.EngineProfile:
        """See `ProfileTable`."""
        known = self._services.get(service)
        if known is None:
            return engine_profile.PRIOR
        profile = self._update(service, known)
        speed = self._speeds.get(endpoint)
        if speed is None:
            return profile
        return speed.find_profile(profile, self._clock.monotonic())

    def list_reports(self) -> tuple[profile_report.ProfileReport, ...]:
        """Returns what this VM has learned itself, to report it to peers."""
        now = self._clock.monotonic()
        if (self._reported_at is None or
                now - self._reported_at >= _REPORT_INTERVAL):
            self._reported_at = now
            reports = (_build_report(name, each.estimate)
                       for name, each in sorted(self._services.items()))
            self._reports = tuple(
                each for each in reports
                if each.step_weight >= _MIN_REPORTED_WEIGHT)[:_MAX_REPORTED]
        return self._reports

    def set_peer_reports(
        self, peer: str,
        reports: collections.abc.Iterable[profile_report.ProfileReport]
    ) -> None:
        """Replaces what a peer has learned; ignores impossible values."""
        valid, problem = [], ""
        for each in reports:
            found = each.find_problem()
            if found:
                problem = f"{each.service}: {found}"
            elif self._find_service(each.service) is not None:
                valid.append(each)
        if problem:
            self.reject_peer_report(peer, problem)
        else:
            self._rejected.discard(peer)
        self._peers.set_reports(peer, valid[:_MAX_REPORTED],
                                self._clock.monotonic())

    def reject_peer_report(self, peer: str, problem: str) -> None:
        """Counts a report of a peer that is ignored, and logs the first one.

        Args:
            peer: Name of the peer.
            problem: Why it is ignored.
        """
        self.rejection_count += 1
        if peer not in self._rejected:
            if len(self._rejected) < _MAX_REJECTED_PEERS:
                self._rejected.add(peer)
                self._handle_rejection(peer, problem)

    def forget_peer(self, peer: str) -> None:
        """Discards what a peer has reported."""
        self._peers.forget_peer(peer)
        self._rejected.discard(peer)

    def _find_service(self, name: str) -> _Service | None:
        """Returns the entry of a service; None if there are too many."""
        known = self._services.get(name)
        if known is None and len(self._services) < _MAX_SERVICES:
            known = self._services[name] = _Service(
                service_estimate.ServiceEstimate(), engine_profile.PRIOR)
        return known

    def _update(self, name: str,
                service: _Service) -> engine_profile.EngineProfile:
        """Returns the profile of a service, computed again if it is old."""
        now = self._clock.monotonic()
        if (service.updated_at is None or
                now - service.updated_at >= _UPDATE_INTERVAL):
            service.updated_at = now
            service.profile = self._peers.combine(
                _build_report(name, service.estimate), now)
            if _differs(service.profile, service.logged):
                service.logged = service.profile
                self._report_change(profile_change.ChangeKind.SERVICE, name, "")
        return service.profile

    def _find_speed(
            self, engine: profiled_engine.ProfiledEngine
    ) -> speed_estimate.SpeedEstimate:
        """Returns the speed of an engine, a new one after other software."""
        now = self._clock.monotonic()
        speed = self._speeds.get(engine.incarnation)
        if speed is None or speed.version != engine.version:
            is_other_software = speed is not None
            self._drop_old_speeds()
            speed = speed_estimate.SpeedEstimate(engine.version, now)
            self._speeds[engine.incarnation] = speed
            if is_other_software:
                self._report_change(profile_change.ChangeKind.RESTART,
                                    engine.service, engine.incarnation)
        self._speeds.move_to_end(engine.incarnation)
        return speed

    def _drop_old_speeds(self) -> None:
        oldest = self._clock.monotonic() - _SPEED_LIFETIME
        while self._speeds and (len(self._speeds) >= _MAX_ENGINES or next(
                iter(self._speeds.values())).updated_at < oldest):
            self._speeds.popitem(last=False)

    def _report_change(self, kind: profile_change.ChangeKind, service: str,
                       endpoint: str) -> None:
        self._handle_change(
            profile_change.ProfileChange(kind, service, endpoint,
                                         self.find_profile(service, endpoint)))


def _build_report(
        name: str, estimate: service_estimate.ServiceEstimate
) -> profile_report.ProfileReport:
    return profile_report.ProfileReport(name, estimate.build_profile(),
                                        estimate.step_weight,
                                        estimate.prefill_weight,
                                        estimate.output_weight)


def _differs(profile: engine_profile.EngineProfile,
             other: engine_profile.EngineProfile) -> bool:
    """Returns whether two profiles differ so much that it is logged."""
    return any(not 1.0 / _LOGGED_CHANGE < value / known < _LOGGED_CHANGE
               for value, known in (
                   (profile.prefill_rate, other.prefill_rate),
                   (profile.find_step_time(_LOGGED_BATCH, 0),
                    other.find_step_time(_LOGGED_BATCH, 0)),
                   (profile.output_share, other.output_share),
               ))
