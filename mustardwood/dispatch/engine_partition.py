"""Which engines take long prompts."""

import collections.abc
import datetime
import hashlib
import math

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings

_INTERVAL = datetime.timedelta(milliseconds=250)
"""Time between looks at the load."""
_WEIGHT = 0.1
"""Weight of a look in the moving average: changes take two or three seconds."""
_FEWEST_STREAMS = 0.5
"""Brisk streams on average below which no engine is kept free for them."""
_DIGEST_BYTES = 8

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


class EnginePartition:
    """Keeps some engines free of long prompts, as many as brisk streams need.

    Load pattern: a rush of long prompts or of brisk streams needs another
    share than a quiet hour. The engines are ranked by a hash that all VMs
    share, so a change of the share moves one engine and its subjects.
    """

    def __init__(self, clock: timing.Clock, loads: load_table.LoadTable,
                 settings: placement_settings.PlacementSettings) -> None:
        self._clock = clock
        self._loads = loads
        self._settings = settings
        self._looked: datetime.timedelta | None = None
        self._streams = 0.0
        self._tightest: datetime.timedelta | None = None
        self._ranked: tuple[endpoint_module.Endpoint, ...] = ()
        self._names: list[str] = []
        self._free = 0
        self._long: frozenset[str] | None = None

    def record_inter_event_target(
            self, inter_event_target: datetime.timedelta) -> None:
        """Takes over the longest pause that a brisk stream bears."""
        if self._tightest is None or inter_event_target < self._tightest:
            self._tightest = inter_event_target

    def find_long_prompt_engines(self, usable: _Endpoints,
                                 event_tokens: int) -> frozenset[str]:
        """Returns the names of the engines that take long prompts.

        Args:
            usable: The engines of one service.
            piece_tokens: Tokens in a piece of a stream.
        """
        if tuple(usable) != self._ranked:
            self._ranked = tuple(usable)
            self._names = sorted((each.name for each in usable), key=_hash)
            self._long = None
        self._look()
        count = self._count_free(event_tokens)
        if count != self._free or self._long is None:
            self._free = count
            self._long = frozenset(self._names[count:])
        return self._long

    def find_max_prefill_duration(
            self, event_tokens: int) -> datetime.timedelta | None:
        """Returns for how long an engine with brisk streams may read prompts.

        Load pattern: a piece takes as many steps as it has tokens, and a step
        that reads a chunk of a prompt takes ten times as long. If all steps of
        a piece do so it is late by a little, and with it each brisk stream
        beside the prompts; with one step less none is.

        Args:
            piece_tokens: Tokens in a piece of a stream.

        Returns:
            Time in which the chunks that a piece bears are read; None if it
            bears one in each step.
        """
        settings = self._settings
        if self._tightest is None:
            return None
        chunk = settings.chunk_tokens / settings.prefill_rate
        step = (settings.step_time +
                settings.stream_step_time * settings.max_interactive_streams)
        bearable = self._tightest.total_seconds(
        ) / settings.slowest_engine_factor
        chunks = math.floor((bearable - event_tokens * step) / chunk)
        if chunks >= event_tokens:
            return None
        return datetime.timedelta(seconds=max(1, chunks) * chunk)

    def _look(self) -> None:
        now = self._clock.monotonic()
        if self._looked is not None and now - self._looked < _INTERVAL:
            return
        self._looked = now
        streams = sum(
            self._loads.find_load(name).interactive_streams
            for name in self._names)
        self._streams += _WEIGHT * (streams - self._streams)

    def _count_free(self, event_tokens: int) -> int:
        settings, count = self._settings, len(self._names)
        wanted = math.ceil(self._streams / self._find_streams(event_tokens))
        least = (round(settings.min_reserved_share *
                       count) if self._streams >= _FEWEST_STREAMS else 0)
        most = math.floor(settings.max_reserved_share * count)
        return min(max(wanted, least), most)

    def _find_streams(self, event_tokens: int) -> float:
        """Returns how many brisk streams bear a chunk of a prompt each step.

        A piece takes as many steps as it has tokens.
        """
        settings = self._settings
        if self._tightest is None:
            return settings.max_interactive_streams
        step = self._tightest.total_seconds() / event_tokens
        chunk = settings.chunk_tokens / settings.prefill_rate
        spare = (step - chunk - settings.step_time) / settings.stream_step_time
        return min(max(spare, settings.min_interactive_streams),
                   settings.max_interactive_streams)


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()
