"""Detection of parts of prompts that crash the engines that run them."""

import collections
import collections.abc
import dataclasses
import datetime
import hashlib
import random

from mustardwood import timing
from mustardwood.dispatch import service_request

_CRASHES_TO_BLOCK = 3.0
"""Number of crashes after which a part is blocked, as for whole requests."""
_WAITING_WEIGHT = 0.5
"""Weight of a crash at which the request had no response yet.

It was probably still waiting, and another request caused the crash.
"""
_MIN_CRASH_INTERVAL = datetime.timedelta(milliseconds=500)
"""Time within which crashes count once, as they may have one other cause.

A power failure ends many engines at the same time.
"""
_CRASH_LIFETIME = datetime.timedelta(seconds=60)
"""Time for which a crash counts; engines restart within seconds."""
_SETTLING_TIME = datetime.timedelta(seconds=15)
"""Time after a block in which requests sent before it may still crash engines.
"""
_INITIAL_BLOCK_TIME = datetime.timedelta(seconds=60)
"""Minimum duration of a part's first block; each further one is twice as long.
"""
_MAX_BLOCK_TIME = datetime.timedelta(minutes=10)
"""Maximum of the minimum duration of a block."""
_REPORT_TIME = datetime.timedelta(seconds=1)
"""Time for which news are reported to peers, in case datagrams are lost."""
_EVIDENCE_INTERVAL = datetime.timedelta(seconds=5)
"""Interval at which the crashes behind blocks are reported again.

A VM that has started or was cut off thus blocks the same parts.
"""
_MAX_REPORTED = 32
"""Maximum number of crashes, and of successes, in a report."""
_MAX_SUSPECTS = 1024
"""Maximum number of parts that are kept; they take five megabytes at most."""
_MAX_CRASHES = 16
"""Maximum number of crashes that are kept of a part."""
_MAX_PARTS = 64
"""Maximum number of parts of a prompt that are considered; most have three."""
_MAX_NAME_LENGTH = 40
"""Maximum length of a part's name; a longer one is replaced by a digest."""
_DIGEST_BYTES = 16
_NEVER = -datetime.timedelta(days=10_000)
"""Monotonic time before any other."""


@dataclasses.dataclass(frozen=True)
class PartCrash:
    """An engine that crashed before it had written on a prompt with a part.

    Attributes:
        part: Name of the part, see `find_parts`.
        engine: Name of the engine, with the time of its start.
        has_begun: Whether the response had begun, with its head.
        age: Time since the crash.
        request: Fingerprint of the request; empty if unknown.
    """

    part: str
    engine: str
    has_begun: bool
    age: datetime.timedelta = datetime.timedelta()
    request: str = ""


@dataclasses.dataclass(frozen=True)
class PartSuccess:
    """An engine that wrote on a prompt with a part and did not crash.

    Attributes:
        part: Name of the part.
        age: Time since the engine began to write.
    """

    part: str
    age: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class _Crash:
    at: datetime.timedelta
    has_begun: bool
    request: str


@dataclasses.dataclass
class _Suspect:
    """What is known of a part under which engines have crashed.

    Attributes:
        crashes: The crashes since its last success, by engine.
        blocked_at: Monotonic time of the start of its last block.
        blocked_until: Monotonic time of the end of that block.
        block_count: Number of blocks since its last success.
    """

    crashes: dict[str, _Crash] = dataclasses.field(default_factory=dict)
    blocked_at: datetime.timedelta = _NEVER
    blocked_until: datetime.timedelta = _NEVER
    block_count: int = 0

    @property
    def engines(self) -> set[str]:
        """Names of the engines that crashed after the response had begun.

        If there are none, those that crashed before.
        """
        begun = {name for name, each in self.crashes.items() if each.has_begun}
        return begun or set(self.crashes)

    @property
    def last_crash_at(self) -> datetime.timedelta:
        """Monotonic time of the last crash."""
        return max((each.at for each in self.crashes.values()), default=_NEVER)


class PromptPartCrashes:
    """Finds parts of prompts that crash every engine that begins to write.

    Failure: requests crash engines that have one part of their prompt in
    common and are otherwise all different, while sound requests have their
    other parts. It is a problem of group testing [1]_: each crash is blamed on
    all parts of a request, except the last one, which no other request has,
    and each success clears all parts of its request of the earlier crashes.

    A part with enough crashes is blocked. If other blocked parts were there at
    all of its crashes, it may be innocent. Requests are therefore refused only
    if they have the others too. The next success clears it; a crash without
    the others shows that it is the cause.

    Repeats of one request count once: they say nothing of its parts that they
    don't say of the whole request, which `CrashRecord` blocks.

    A block ends after a time, and its part is tried again. Each VM adds a
    random share to that time, so that one VM tries first and reports the crash
    to the others, which prolong their blocks.

    References:
        .. [1] R. Dorfman, "The detection of defective members of large
           populations", The Annals of Mathematical Statistics 14(4), 1943.
    """

    def __init__(
        self,
        clock: timing.Clock,
        rng: random.Random,
        on_change: collections.abc.Callable[[str, str], None] | None = None
    ) -> None:
        """Creates a record without crashes.

        Args:
            clock: Source of the monotonic time.
            rng: Draws this VM's share that is added to the blocks.
            on_change: Called with a part's name and ``blocked`` or ``cleared``
                when it is blocked or a success ends its block.
        """
        self._clock = clock
        self._block_factor = 1.0 + rng.random()
        self._on_change = on_change
        self._suspects: collections.OrderedDict[
            str, _Suspect] = collections.OrderedDict()
        self._blocked: set[str] = set()
        self._cleared_at: collections.OrderedDict[
            str, datetime.timedelta] = collections.OrderedDict()
        self._recent_crashes: dict[tuple[str, str], _Crash] = {}
        self._recent_successes: dict[str, tuple[datetime.timedelta,
                                                datetime.timedelta]] = {}
        self._evidence_reported_at = _NEVER

    def __len__(self) -> int:
        """Returns the number of parts that are suspected or blocked."""
        return len(self._suspects)

    @property
    def blocked_count(self) -> int:
        """Number of parts that are blocked."""
        self._end_blocks()
        return len(self._blocked)

    def record_crash(self,
                     parts: collections.abc.Iterable[str],
                     engine: str,
                     has_begun: bool,
                     request: str = "") -> None:
        """Records a crash at this VM, and reports it to peers.

        Args:
            parts: Names of the request's parts.
            engine: Name of the engine, with the time of its start.
            has_begun: Whether the response had begun.
            request: Fingerprint of the request; empty if unknown.
        """
        now = self._clock.monotonic()
        for part in parts:
            known = self._recent_crashes.pop((part, engine), None)
            crash = _Crash(now, has_begun or
                           (known is not None and known.has_begun), request)
            self._recent_crashes[part, engine] = crash
            self._add_crash(part, engine, crash)
        while len(self._recent_crashes) > _MAX_REPORTED:
            del self._recent_crashes[next(iter(self._recent_crashes))]

    def record_peer_crash(self, crash: PartCrash) -> None:
        """Records a crash that a peer has reported."""
        self._add_crash(
            crash.part, crash.engine,
            _Crash(self._clock.monotonic() - crash.age, crash.has_begun,
                   crash.request))

    def record_success(self, parts: collections.abc.Iterable[str],
                       began_at: datetime.timedelta) -> None:
        """Records a success at this VM, and reports it if parts are suspect.

        Args:
            parts: Names of the request's parts.
            began_at: Monotonic time at which the engine began to write.
        """
        for part in parts:
            if part in self._suspects:
                self._recent_successes[part] = (began_at,
                                                self._clock.monotonic())
                self._clear(part, began_at)
        while len(self._recent_successes) > _MAX_REPORTED:
            del self._recent_successes[next(iter(self._recent_successes))]

    def record_peer_success(self, success: PartSuccess) -> None:
        """Records a success that a peer has reported."""
        self._clear(success.part, self._clock.monotonic() - success.age)

    def find_blocked_part(self, parts: tuple[str, ...]) -> str:
        """Returns the part for which a request is refused; empty if none.

        Args:
            parts: Names of the request's parts.
        """
        if not self._blocked:
            return ""
        self._end_blocks()
        for part in parts:
            if part in self._blocked and not self._is_explained(part, parts):
                return part
        return ""

    def is_suspected(self, parts: collections.abc.Iterable[str]) -> bool:
        """Returns whether an engine has crashed under one of several parts."""
        now = self._clock.monotonic()
        suspects = [self._suspects.get(each) for each in parts]
        return any(each is not None and not _is_expired(each, now)
                   for each in suspects)

    def list_news(self) -> tuple[list[PartCrash], list[PartSuccess]]:
        """Returns crashes and successes to report to peers."""
        now = self._clock.monotonic()
        oldest = now - _REPORT_TIME
        for key, crash in list(self._recent_crashes.items()):
            if crash.at < oldest:
                del self._recent_crashes[key]
        for part, (_, recorded_at) in list(self._recent_successes.items()):
            if recorded_at < oldest:
                del self._recent_successes[part]
        crashes = [
            PartCrash(part, engine, crash.has_begun, now - crash.at,
                      crash.request)
            for (part, engine), crash in self._recent_crashes.items()
        ]
        if self._blocked and now - self._evidence_reported_at >= (
                _EVIDENCE_INTERVAL):
            self._evidence_reported_at = now
            room = max(0, _MAX_REPORTED - len(crashes))
            crashes += self._list_evidence(now)[:room]
        return crashes, [
            PartSuccess(part, now - began_at)
            for part, (began_at, _) in self._recent_successes.items()
        ]

    def _list_evidence(self, now: datetime.timedelta) -> list[PartCrash]:
        self._end_blocks()
        return [
            PartCrash(part, engine, crash.has_begun, now - crash.at,
                      crash.request)
            for part in sorted(self._blocked)
            for engine, crash in self._suspects[part].crashes.items()
        ]

    def _is_explained(self, part: str, parts: tuple[str, ...]) -> bool:
        """Returns whether a blocked part that a request lacks was there too.

        It must have been there at all crashes of the given part.
        """
        engines = self._suspects[part].engines
        return any(
            other not in parts and self._suspects[other].engines >= engines
            for other in self._blocked)

    def _add_crash(self, part: str, engine: str, crash: _Crash) -> None:
        if crash.at <= self._cleared_at.get(part, _NEVER):
            return
        now = self._clock.monotonic()
        suspect = self._suspects.get(part)
        if suspect is None or _is_expired(suspect, now):
            suspect = self._suspects[part] = _Suspect()
        self._suspects.move_to_end(part)
        known = suspect.crashes.get(engine)
        if known is not None and (known.has_begun or not crash.has_begun):
            return
        suspect.crashes[engine] = crash
        if len(suspect.crashes) > _MAX_CRASHES:
            oldest = min(suspect.crashes,
                         key=lambda each: suspect.crashes[each].at)
            del suspect.crashes[oldest]
        self._update_block(part, suspect, crash.at)
        if len(self._suspects) > _MAX_SUSPECTS:
            self._forget(
                next((each for each in self._suspects
                      if each not in self._blocked), part))

    def _update_block(self, part: str, suspect: _Suspect,
                      crashed_at: datetime.timedelta) -> None:
        now = self._clock.monotonic()
        if suspect.block_count:
            if crashed_at < suspect.blocked_at + _SETTLING_TIME:
                return
        elif _compute_score(suspect, now) < _CRASHES_TO_BLOCK:
            return
        duration = timing.double_delay(_INITIAL_BLOCK_TIME, suspect.block_count,
                                       _MAX_BLOCK_TIME)
        suspect.blocked_at = now
        suspect.blocked_until = now + duration * self._block_factor
        suspect.block_count += 1
        self._blocked.add(part)
        self._report_change(part, "blocked")

    def _clear(self, part: str, began_at: datetime.timedelta) -> None:
        suspect = self._suspects.get(part)
        if suspect is None or all(
                each.at > began_at for each in suspect.crashes.values()):
            return
        later_crashes = {
            engine: each
            for engine, each in suspect.crashes.items()
            if each.at > began_at
        }
        was_blocked = part in self._blocked
        self._forget(part)
        if later_crashes:
            self._suspects[part] = _Suspect(later_crashes)
        self._cleared_at.pop(part, None)
        self._cleared_at[part] = began_at
        if len(self._cleared_at) > _MAX_SUSPECTS:
            self._cleared_at.popitem(last=False)
        if was_blocked:
            self._report_change(part, "cleared")

    def _end_blocks(self) -> None:
        now = self._clock.monotonic()
        self._blocked -= {
            part for part in self._blocked
            if self._suspects[part].blocked_until <= now
        }

    def _forget(self, part: str) -> None:
        self._suspects.pop(part, None)
        self._blocked.discard(part)

    def _report_change(self, part: str, change: str) -> None:
        if self._on_change is not None:
            self._on_change(part, change)


def _is_expired(suspect: _Suspect, now: datetime.timedelta) -> bool:
    last = max(suspect.last_crash_at, suspect.blocked_until)
    return now - _CRASH_LIFETIME > last


def _compute_score(suspect: _Suspect, now: datetime.timedelta) -> float:
    """Returns the weighted number of crashes by different requests.

    Simultaneous ones count once.
    """
    score, weight = 0.0, 0.0
    counted_requests = set()
    counted_at = now - _CRASH_LIFETIME - _MIN_CRASH_INTERVAL
    for crash in sorted(suspect.crashes.values(), key=lambda each: each.at):
        if crash.at < now - _CRASH_LIFETIME:
            continue
        if crash.request and crash.request in counted_requests:
            continue
        counted_requests.add(crash.request)
        new_weight = 1.0 if crash.has_begun else _WAITING_WEIGHT
        if crash.at - counted_at >= _MIN_CRASH_INTERVAL:
            score, weight, counted_at = score + weight, new_weight, crash.at
        else:
            weight = max(weight, new_weight)
    return score + weight


def find_parts(request: service_request.ServiceRequest) -> tuple[str, ...]:
    """Returns the names of the parts that a request may share with others.

    A name is the service's and the part's key; what crashes the engines of one
    service may be harmless for another one.
    """
    names = []
    for key in request.prompt.list_shared_keys(_MAX_PARTS):
        name = f"{request.service}/{key.lower()}"
        if len(name) > _MAX_NAME_LENGTH:
            name = hashlib.blake2b(name.encode("utf-8", "surrogateescape"),
                                   digest_size=_DIGEST_BYTES).hexdigest()
        names.append(name)
    return tuple(dict.fromkeys(names))
