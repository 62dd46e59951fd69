"""Load generator with concurrent streams and random pauses."""

import itertools
import random
import time
import typing

from twisted.internet import defer
from twisted.internet import task

from mustardwood.benchmarks.path import prompts
from mustardwood.benchmarks.path import stream_call

_PROMPT_COUNT = 16
"""Number of distinct prompts in one run."""


class LoadGenerator:
    """Runs a number of concurrent callers for a given time.

    Args:
        reactor: The Twisted reactor.
        urls: Base URLs, called in round-robin order.
        model: Name of the model.
        seed: Seed of the random pauses between calls.
    """

    def __init__(self, reactor: typing.Any, urls: list[str], model: str,
                 seed: int) -> None:
        self._reactor = reactor
        self._urls = itertools.cycle(urls)
        self._model = model
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._prefix = f"path-{seed}"

    async def run(self, streams: int, tokens: int, pause: float,
                  seconds: float) -> list[stream_call.StreamSample]:
        """Runs the callers.

        Args:
            streams: Number of callers, each with one stream at a time.
            tokens: Output length of each call.
            pause: Mean of the exponentially distributed pause of a caller
                before a call, in seconds.
            seconds: Time after which no call is started.

        Returns:
            Samples of all calls, in the order in which they ended.
        """
        samples: list[stream_call.StreamSample] = []
        last_start = time.monotonic() + seconds
        prompt_cycle = itertools.cycle(
            itertools.islice(prompts.make_prompts(self._model, tokens),
                             _PROMPT_COUNT))

        async def run_caller() -> None:
            await self._pause(pause)
            while time.monotonic() < last_start:
                samples.append(await stream_call.call_stream(
                    self._reactor, next(self._urls),
                    f"{self._prefix}-{next(self._numbers)}", self._model,
                    next(prompt_cycle), tokens))
                await self._pause(pause)

        await defer.gatherResults(
            [defer.ensureDeferred(run_caller()) for _ in range(streams)],
            consumeErrors=True)
        return samples

    async def _pause(self, mean: float) -> None:
        await task.deferLater(self._reactor, self._rng.expovariate(1 / mean))
