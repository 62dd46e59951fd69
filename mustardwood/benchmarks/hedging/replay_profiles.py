"""Loads of the benchmark of hedged requests."""

from mustardwood.benchmarks.hedging import replay
from mustardwood.benchmarks.streams import disturbance
from mustardwood.benchmarks.streams import engine_parameters

_SLOW = disturbance.Disturbance(20.0, 6.0, 20.0, 5.0)
_STALLING = disturbance.Disturbance(20.0, 6.0, 20.0, 0.0)
_SLOTS = 6
_PLAIN_KIND = (replay.ReplayKind("lookup", 73.0, 0.15),)
"""A plain service, from the users' data sheets."""
_PLAIN_PARAMETERS = engine_parameters.EngineParameters(slots=_SLOTS,
                                                       memory_tokens=0)
_STREAM_KINDS = (
    replay.ReplayKind("question", 30.0, 0.3, 198, 628, 200),
    replay.ReplayKind("tagging", 11.0, 0.5, 568, 1_800, 30, False, 1),
    replay.ReplayKind("reconciliation", 3.0, 2.5, 5_382, 6_610, 400, False, 2),
)
"""Short prompts of streams that may be resumed, beside others that may run
once; engines are less than half full."""

PLAIN_TAIL = replay.ReplayProfile(_PLAIN_KIND, 3, parameters=_PLAIN_PARAMETERS)
"""A plain service whose only trouble is the long tail of its times."""

PLAIN_SLOW = replay.ReplayProfile(_PLAIN_KIND,
                                  3,
                                  _SLOW,
                                  parameters=_PLAIN_PARAMETERS)
"""One endpoint after another is five times slower for 6 s."""

PLAIN_STALLING = replay.ReplayProfile(_PLAIN_KIND,
                                      3,
                                      _STALLING,
                                      parameters=_PLAIN_PARAMETERS)
"""One endpoint after another sends nothing for 6 s."""

STREAMS_SLOW = replay.ReplayProfile(_STREAM_KINDS,
                                    6,
                                    _SLOW,
                                    seconds=70.0,
                                    vms=4)
"""One engine after another is five times slower for 6 s."""

STREAMS_STALLING = replay.ReplayProfile(_STREAM_KINDS,
                                        6,
                                        _STALLING,
                                        seconds=70.0,
                                        vms=4)
"""One engine after another sends nothing for 6 s."""

ALL = {
    "plain, long tail": PLAIN_TAIL,
    "plain, one slow": PLAIN_SLOW,
    "plain, one stalls": PLAIN_STALLING,
    "streams, one slow": STREAMS_SLOW,
    "streams, one stalls": STREAMS_STALLING,
}
"""All loads by name."""
