"""The lagging load report of a stand-in engine."""

import typing

import msgspec
from twisted.internet import task

from mustardwood import timing
from mustardwood.standins.engine import engine as engine_module


class Load(msgspec.Struct, frozen=True):
    """An engine's load at one moment.

    Attributes:
        running: Streams in the batch.
        queued: Requests that waited.
        cached_tokens: Tokens in the prefix cache.
    """

    running: int = 0
    queued: int = 0
    cached_tokens: int = 0


class LoadReport:
    """Looks at the load from time to time and shows what it saw last.

    Args:
        reactor: The timer.
        engine: The engine.
        clock: The clock.
        lag_seconds: Time between two looks.
    """

    def __init__(self, reactor: typing.Any, engine: engine_module.Engine,
                 clock: timing.Clock, lag_seconds: float) -> None:
        self._engine = engine
        self._clock = clock
        self._load = Load()
        self._seen_at = clock.monotonic()
        self._loop = task.LoopingCall(self._look)
        self._loop.clock = reactor
        self._loop.start(lag_seconds)

    def stop(self) -> None:
        """Stops to look."""
        if self._loop.running:
            self._loop.stop()

    def show(self) -> dict[str, typing.Any]:
        """Returns the body of ``GET /load``."""
        age = self._clock.monotonic() - self._seen_at
        return {
            **msgspec.to_builtins(self._load), "age_seconds":
                age.total_seconds()
        }

    def _look(self) -> None:
        self._load = Load(self._engine.running, self._engine.queued,
                          self._engine.cached_tokens)
        self._seen_at = self._clock.monotonic()
