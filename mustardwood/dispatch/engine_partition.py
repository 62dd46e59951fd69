"""Partition of the engines into those for long prompts and the others."""

import collections.abc
import datetime
import hashlib
import math

from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings

_UPDATE_INTERVAL = datetime.timedelta(milliseconds=250)
"""Minimum time between two samples of the load."""
_SMOOTHING_FACTOR = 0.1
"""Weight of a sample in the moving average.

The average follows a change of the load within two to three seconds.
"""
_MIN_STREAMS = 0.5
"""Average of interactive streams from which `min_reserved_share` applies."""
_MIN_STREAM_TIME = 0.000001
"""Minimum time that a stream adds to a step, in seconds."""
_DIGEST_BYTES = 8

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


class EnginePartition:
    """Reserves engines for interactive streams; the others take long prompts.

    Load pattern: during a burst of long prompts or of interactive streams, a
    different share of the engines has to be reserved than under normal load.
    All VMs rank the engines by the same hash, so that one more or one fewer
    reserved engine moves only that engine and the prompt prefixes that it
    caches.
    """

    def __init__(self, clock: timing.Clock, loads: load_table.LoadTable,
                 settings: placement_settings.PlacementSettings,
                 table: profiles.ProfileTable, service: str) -> None:
        """Creates a partition without engines.

        Args:
            clock: Source of the monotonic time.
            loads: Load of the engines.
            settings: Limits of the partition.
            table: Speed of the engines.
            service: Name of the engines' service.
        """
        self._table = table
        self._service = service
        self._clock = clock
        self._loads = loads
        self._settings = settings
        self._updated: datetime.timedelta | None = None
        self._average_streams = 0.0
        self._shortest_target: datetime.timedelta | None = None
        self._engines: tuple[endpoint_module.Endpoint, ...] = ()
        self._ranked_names: list[str] = []
        self._reserved_count = 0
        self._long_prompt_engines: frozenset[str] | None = None

    def record_inter_event_target(self, target: datetime.timedelta) -> None:
        """Records the inter-event latency target of an interactive stream.

        The shortest target recorded so far determines the partition.
        """
        if self._shortest_target is None or target < self._shortest_target:
            self._shortest_target = target

    def find_long_prompt_engines(self, usable: _Endpoints,
                                 event_tokens: int) -> frozenset[str]:
        """Returns the names of the engines that take long prompts.

        Args:
            usable: The engines of one service.
            event_tokens: Number of tokens in one event of a stream.
        """
        if tuple(usable) != self._engines:
            self._engines = tuple(usable)
            self._ranked_names = sorted((each.name for each in usable),
                                        key=_hash)
            self._long_prompt_engines = None
        self._update_average()
        count = self._count_reserved(event_tokens)
        if count != self._reserved_count or self._long_prompt_engines is None:
            self._reserved_count = count
            self._long_prompt_engines = frozenset(self._ranked_names[count:])
        return self._long_prompt_engines

    def find_max_prefill_duration(
            self, event_tokens: int) -> datetime.timedelta | None:
        """Returns the longest continuous prefill beside interactive streams.

        Load pattern: an engine needs one step for each token of an event, and
        a step that also prefills a chunk of a prompt takes ten times as long.
        If every step of an event prefills a chunk, the event is slightly late,
        as are those of all interactive streams on the engine; with one such
        step fewer, none is late.

        Args:
            event_tokens: Number of tokens in one event of a stream.

        Returns:
            Time to prefill as many chunks as fit between two events within
            the target; None if every step may prefill a chunk or no target
            was recorded yet.
        """
        settings = self._settings
        if self._shortest_target is None:
            return None
        profile = self._table.find_profile(self._service)
        chunk_time = profile.find_chunk_time()
        time_per_step = profile.find_step_time(settings.max_interactive_streams,
                                               0)
        max_interval = self._shortest_target.total_seconds(
        ) / settings.slowest_engine_factor
        chunk_count = math.floor(
            (max_interval - event_tokens * time_per_step) / chunk_time)
        if chunk_count >= event_tokens:
            return None
        return datetime.timedelta(seconds=max(1, chunk_count) * chunk_time)

    def _update_average(self) -> None:
        now = self._clock.monotonic()
        if self._updated is not None and now - self._updated < _UPDATE_INTERVAL:
            return
        self._updated = now
        streams = sum(
            self._loads.find_load(name).interactive_streams
            for name in self._ranked_names)
        self._average_streams += _SMOOTHING_FACTOR * (streams -
                                                      self._average_streams)

    def _count_reserved(self, event_tokens: int) -> int:
        settings, count = self._settings, len(self._ranked_names)
        wanted_count = math.ceil(self._average_streams /
                                 self._find_streams_per_engine(event_tokens))
        min_count = (round(settings.min_reserved_share * count)
                     if self._average_streams >= _MIN_STREAMS else 0)
        max_count = math.floor(settings.max_reserved_share * count)
        return min(max(wanted_count, min_count), max_count)

    def _find_streams_per_engine(self, event_tokens: int) -> float:
        """Returns the number of interactive streams that one engine can serve.

        With this number of streams, events are on time although every step
        prefills a chunk. An event takes one step for each of its tokens.
        """
        settings = self._settings
        if self._shortest_target is None:
            return settings.max_interactive_streams
        time_per_step = self._shortest_target.total_seconds() / event_tokens
        profile = self._table.find_profile(self._service)
        spare = (
            (time_per_step - profile.find_chunk_time() - profile.step_time) /
            max(profile.stream_step_time, _MIN_STREAM_TIME))
        return min(max(spare, settings.min_interactive_streams),
                   settings.max_interactive_streams)


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()
