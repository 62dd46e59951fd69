"""Measurement at one number of concurrent streams."""

import collections.abc
import statistics
import time
import typing

from mustardwood.benchmarks.path import level_result
from mustardwood.benchmarks.path import load_generator
from mustardwood.benchmarks.path import process_usage
from mustardwood.benchmarks.path import stream_call

SHORT_TOKENS = 8
"""Output length of the calls that measure the time to the first token."""

LONG_TOKENS = 330
"""Output length of the calls that measure the cost of a token.

It is the average of the target load: 310,000 tokens / 940 requests.
"""

_MEAN_PAUSE_SECONDS = 0.05
_SHORT_SECONDS = 3.0
_LONG_SECONDS = 7.0
_ROUNDS = 2


class Measurement:
    """Compares calls through an entry with direct calls to its engines.

    Args:
        reactor: The Twisted reactor.
        entry_url: Base URL of the entry.
        engine_urls: Base URLs of the engines.
        entry_pid: Process id of the entry.
        model: Name of the model.
        seed: Seed of the random pauses between calls.
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
        """Makes some calls that are not counted."""
        for generator in (self._direct, self._routed):
            await generator.run(4, SHORT_TOKENS, _MEAN_PAUSE_SECONDS, 1.0)

    async def measure(self, streams: int) -> level_result.LevelResult:
        """Measures latency and cost at one number of concurrent streams."""
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
        """Makes calls with long outputs through the entry.

        Returns:
            Samples, processor time of the entry and elapsed time, both in
            seconds.
        """
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
    """Returns the median and 99th percentile of the time to the first token.

    Both are in milliseconds.
    """
    parts = statistics.quantiles(
        (each.first_token_seconds * 1e3 for each in samples),
        n=100,
        method="inclusive")
    return parts[49], parts[98]
