"""The load report of a stand-in engine, which lags behind its load."""

import typing

import msgspec
from twisted.internet import task

from mustardwood import timing
from mustardwood.standins.engine import engine as engine_module


class Load(msgspec.Struct, frozen=True):
    """A sample of an engine's load.

    Attributes:
        running: Number of streams in the batch.
        queued: Number of queued requests.
        cached_tokens: Number of tokens in the prefix cache.
    """

    running: int = 0
    queued: int = 0
    cached_tokens: int = 0


class LoadReport:
    """Samples the load periodically and reports the latest sample.

    Args:
        reactor: Reactor whose timer triggers the samples.
        engine: The engine.
        clock: The clock.
        lag_seconds: Interval between two samples.
    """

    def __init__(self, reactor: typing.Any, engine: engine_module.Engine,
                 clock: timing.Clock, lag_seconds: float) -> None:
        self._engine = engine
        self._clock = clock
        self._load = Load()
        self._sampled_at = clock.monotonic()
        self._loop = task.LoopingCall(self._sample)
        self._loop.clock = reactor
        self._loop.start(lag_seconds)

    def stop(self) -> None:
        """Stops sampling."""
        if self._loop.running:
            self._loop.stop()

    def make_body(self) -> dict[str, typing.Any]:
        """Returns the response body of ``GET /load``."""
        age = self._clock.monotonic() - self._sampled_at
        return {
            **msgspec.to_builtins(self._load), "age_seconds":
                age.total_seconds()
        }

    def _sample(self) -> None:
        self._load = Load(self._engine.running, self._engine.queued,
                          self._engine.cached_tokens)
        self._sampled_at = self._clock.monotonic()
