"""Timing of the events of one response."""

import dataclasses
import datetime

from mustardwood.profiles import engine_state
from mustardwood.profiles import profile_table
from mustardwood.profiles import profiled_engine

_MIN_GAP = datetime.timedelta(milliseconds=2)
"""Gap up to which events count as having arrived at once.

The operating system and the engine's server may deliver several at a time.
"""


@dataclasses.dataclass(frozen=True)
class _Gap:
    """A gap between two events, and the events after it."""

    events: int
    state: engine_state.EngineState
    is_prefilling: bool
    elapsed: datetime.timedelta


class ResponseTiming:
    """Measures one response and records it in a `ProfileTable`.

    The first event and the last one may hold fewer tokens than the others, so
    that the first and the last gap do not count. The VM knows of other VMs'
    requests late, so that a gap counts only if the next one shows the same.

    Attributes:
        engine: The engine.
        is_ignored: Whether nothing more is recorded, because the response says
            nothing about the engine's usual speed.
    """

    def __init__(self, engine: profiled_engine.ProfiledEngine,
                 sent_at: datetime.timedelta,
                 state: engine_state.EngineState) -> None:
        """Creates a measurement of a request that is sent now.

        Args:
            engine: The engine.
            sent_at: Monotonic time.
            state: Load of the engine without the request.
        """
        self.engine = engine
        self.is_ignored = False
        self._sent_at = sent_at
        self._state_at_start = state
        self._last_at: datetime.timedelta | None = None
        self._last_state = state
        self._pending_events = 0
        self._event_count = 0
        self._last_gap: _Gap | None = None

    @property
    def has_events(self) -> bool:
        """Whether the first event has been recorded."""
        return self._last_at is not None

    def record_first_event(self, table: profile_table.ProfileTable,
                           now: datetime.timedelta, own_tokens: int,
                           missing_tokens: int) -> None:
        """Records the time to the first event, which has just arrived.

        Args:
            table: Table to record the time in.
            now: Monotonic time.
            own_tokens: Tokens of the prompt that no other request has.
            missing_tokens: Tokens of its shared prefix that are probably not
                in the engine's cache.
        """
        if not self.is_ignored:
            table.record_first_event(self.engine, own_tokens, missing_tokens,
                                     self._state_at_start, now - self._sent_at)

    def record_events(self, table: profile_table.ProfileTable,
                      now: datetime.timedelta, events: int, event_tokens: int,
                      state: engine_state.EngineState,
                      prefill_duration: datetime.timedelta) -> None:
        """Records that events have arrived.

        A gap counts if the engine prefilled nothing at its beginning, at its
        end and at that of the next one, or if it prefilled in both
        continuously.

        Args:
            table: Table to record the gap before them in.
            now: Monotonic time.
            events: Number of events.
            event_tokens: Number of tokens in an event.
            state: Load of the engine now.
            prefill_duration: How long it has been prefilling continuously.
        """
        self._event_count += events
        if self._last_at is None:
            self._last_at, self._last_state = now, state
            return
        self._pending_events += events
        elapsed = now - self._last_at
        if elapsed < _MIN_GAP:
            return
        is_prefilling = prefill_duration >= elapsed
        prefilled_nothing = not (state.prefill_tokens or
                                 self._last_state.prefill_tokens)
        gap, self._last_gap = self._last_gap, None
        if (gap is not None and not self.is_ignored and
            (prefill_duration >= elapsed +
             gap.elapsed if gap.is_prefilling else prefilled_nothing)):
            table.record_events(self.engine, gap.events * event_tokens,
                                gap.state, gap.is_prefilling, gap.elapsed)
        is_after_first = self._event_count - self._pending_events == 1
        if (is_prefilling or prefilled_nothing) and not is_after_first:
            self._last_gap = _Gap(self._pending_events, state, is_prefilling,
                                  elapsed)
        self._last_at, self._last_state = now, state
        self._pending_events = 0

    def record_end(self, table: profile_table.ProfileTable, event_tokens: int,
                   max_output_tokens: int) -> None:
        """Records the end of the complete response.

        Args:
            table: Table to record the length in.
            event_tokens: Number of tokens in an event.
            max_output_tokens: Announced maximum length of the output.
        """
        if not self.is_ignored and self._event_count:
            table.record_end(self.engine, self._event_count * event_tokens,
                             max_output_tokens)
