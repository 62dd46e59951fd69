"""The measurement of one number of concurrent streams."""

import collections.abc
import statistics
import time
import typing

from mustardwood.benchmarks.path import level_result
from mustardwood.benchmarks.path import load_generator
from mustardwood.benchmarks.path import process_usage
from mustardwood.benchmarks.path import stream_call

SHORT_TOKENS = 8
"""Length of the answers that measure the first token."""

LONG_TOKENS = 330
"""Length of the answers that measure the tokens: 310,000 / 940."""

_MEAN_PAUSE_SECONDS = 0.05
_SHORT_SECONDS = 3.0
_LONG_SECONDS = 7.0
_ROUNDS = 2


class Measurement:
    """Measures an entry against its engines.

    Args:
        reactor: The reactor.
        entry_url: Base URL of the entry.
        engine_urls: Base URLs of the engines.
        entry_pid: Process of the entry.
        model: Name of the model.
        seed: Seed of the arrivals.
    """

    def __init__(self, reactor: typing.Any, entry_url: str,
                 engine_urls: list[str], entry_pid: int, model: str,
                 seed: int) -> None:
        self._entry_pid = entry_pid
        self._direct = load_generator.LoadGenerator(reactor, engine_urls, model,
                                                    seed)
        self._routed = load_generator.LoadGenerator(reactor, [entry_url], model,
                                                    seed)

    async def warm_up(self) -> None:
        """Sends a few answers that are not counted."""
        for generator in (self._direct, self._routed):
            await generator.run(4, SHORT_TOKENS, _MEAN_PAUSE_SECONDS, 1.0)

    async def measure(self, streams: int) -> level_result.LevelResult:
        """Measures one number of concurrent streams."""
        direct: list[stream_call.StreamSample] = []
        routed: list[stream_call.StreamSample] = []
        for _ in range(_ROUNDS):
            for generator, samples in ((self._direct, direct), (self._routed,
                                                                routed)):
                samples += await generator.run(streams, SHORT_TOKENS,
                                               _MEAN_PAUSE_SECONDS,
                                               _SHORT_SECONDS)
        long_samples, cpu, elapsed = await self._measure_long_answers(streams)
        tokens = sum(each.tokens for each in long_samples)
        direct_p50, direct_p99 = _compute_quantiles(direct)
        routed_p50, routed_p99 = _compute_quantiles(routed)
        return level_result.LevelResult(
            streams, (len(direct), len(routed)), direct_p50, direct_p99,
            routed_p50, routed_p99, tokens, cpu / tokens * 1e6, cpu / elapsed,
            sum(not each.is_complete
                for each in direct + routed + long_samples))

    async def _measure_long_answers(
            self, streams: int
    ) -> tuple[list[stream_call.StreamSample], float, float]:
        """Returns samples, processor seconds and elapsed seconds."""
        cpu_before = process_usage.read_cpu_seconds(self._entry_pid)
        started_at = time.monotonic()
        samples = await self._routed.run(streams, LONG_TOKENS,
                                         _MEAN_PAUSE_SECONDS, _LONG_SECONDS)
        elapsed = time.monotonic() - started_at
        cpu = process_usage.read_cpu_seconds(self._entry_pid) - cpu_before
        return samples, cpu, elapsed


def _compute_quantiles(
    samples: collections.abc.Sequence[stream_call.StreamSample]
) -> tuple[float, float]:
    """Returns the median and the 99th percentile, in milliseconds."""
    parts = statistics.quantiles(
        (each.first_token_seconds * 1e3 for each in samples),
        n=100,
        method="inclusive")
    return parts[49], parts[98]
