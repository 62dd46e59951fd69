"""Tests of the measurement of one response."""

import datetime

import pytest

from mustardwood import profiles

_IDLE = profiles.EngineState(3, 5_000, 0, 16)
_BUSY = profiles.EngineState(3, 5_000, 12_000, 16)


def ms(count):
    """Returns a number of milliseconds as a `timedelta`."""
    return datetime.timedelta(milliseconds=count)


class _Table(profiles.FixedProfiles):

    def __init__(self):
        super().__init__()
        self.gaps = []
        self.first_events = []
        self.ends = []

    def record_events(self, engine, tokens, state, is_prefilling, elapsed):
        """Records a gap."""
        self.gaps.append((tokens, is_prefilling, elapsed))

    def record_first_event(self, engine, own_tokens, missing_tokens, state,
                           elapsed):
        """Records a first event."""
        self.first_events.append((own_tokens, missing_tokens, elapsed))

    def record_end(self, engine, output_tokens, max_output_tokens):
        """Records an end."""
        self.ends.append((output_tokens, max_output_tokens))


class _Case:

    def __init__(self):
        self.table = _Table()
        self.timing = profiles.ResponseTiming(
            profiles.ProfiledEngine("engines", "engine-0/1"), ms(1_000), _IDLE)

    def send(self, at, events=1, state=_IDLE, prefilling=0):
        """Delivers events at a time in milliseconds."""
        self.timing.record_events(self.table, ms(at), events, 9, state,
                                  ms(prefilling))


@pytest.fixture(name="case")
def _make_case():
    return _Case()


def test_first_and_last_gap_do_not_count(case):
    # The first event may hold one token and the last one a few.
    for at in (1_100, 1_130, 1_170, 1_210, 1_220):
        case.send(at)
    assert case.table.gaps == [(9, False, ms(40)), (9, False, ms(40))]


def test_events_that_arrive_at_once_count_together(case):
    for at, events in ((1_100, 1), (1_130, 1), (1_210, 1), (1_211, 1), (1_250,
                                                                        1)):
        case.send(at, events)
    case.send(1_330, 2)
    case.send(1_370)
    assert case.table.gaps == [(9, False, ms(80)), (18, False, ms(40)),
                               (18, False, ms(80))]


def test_gap_counts_as_prefill_only_if_the_engine_prefilled_all_the_time(case):
    for at, state, prefilling in ((1_100, _IDLE, 0), (1_140, _IDLE, 0),
                                  (1_400, _BUSY, 100), (1_600, _BUSY, 300),
                                  (1_900, _BUSY, 600), (1_940, _IDLE,
                                                        0), (1_980, _IDLE, 0)):
        case.send(at, state=state, prefilling=prefilling)
    assert case.table.gaps == [(9, True, ms(200))]


def test_stalled_response_does_not_count(case):
    case.send(1_100)
    case.timing.is_ignored = True
    for at in (1_140, 9_000, 9_040, 9_080):
        case.send(at)
    case.timing.record_first_event(case.table, ms(9_000), 100, 0)
    case.timing.record_end(case.table, 9, 400)
    assert not (case.table.gaps or case.table.first_events or case.table.ends)


def test_first_event_and_end_are_recorded(case):
    case.timing.record_first_event(case.table, ms(1_100), 700, 200)
    case.send(1_100)
    case.send(1_140, 4)
    case.timing.record_end(case.table, 9, 400)
    assert case.table.first_events == [(700, 200, ms(100))]
    assert case.table.ends == [(45, 400)]
