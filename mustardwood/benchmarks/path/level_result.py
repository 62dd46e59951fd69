"""Results of the measurement."""

import msgspec


class LevelResult(msgspec.Struct, frozen=True):
    """What one number of concurrent streams showed.

    Attributes:
        streams: Concurrent streams.
        calls: Calls for the first token, direct and routed.
        direct_p50_ms: Median time to the first token, engine called directly.
        direct_p99_ms: Its 99th percentile.
        routed_p50_ms: Median time to the first token through the entry.
        routed_p99_ms: Its 99th percentile.
        tokens: Tokens of the long answers through the entry.
        cpu_us_per_token: Entry's processor time for each of them,
            microseconds, with the share of the request's start and end.
        entry_cores: Entry's processor time a second meanwhile.
        broken: Answers that were not whole.
    """

    streams: int
    calls: tuple[int, int]
    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float
    tokens: int
    cpu_us_per_token: float
    entry_cores: float
    broken: int

    @property
    def added_p50_ms(self) -> float:
        """Difference of the medians, in milliseconds."""
        return self.routed_p50_ms - self.direct_p50_ms

    @property
    def added_p99_ms(self) -> float:
        """Difference of the 99th percentiles, in milliseconds."""
        return self.routed_p99_ms - self.direct_p99_ms


class PathResult(msgspec.Struct, frozen=True):
    """What the whole measurement showed.

    Attributes:
        levels: By number of streams.
        rss_megabytes: Resident memory by process, in 10^6 bytes, at the end.
        load_average: The machine's load over the last minute, before and
            after.
        cores: The machine's processor cores.
    """

    levels: tuple[LevelResult, ...]
    rss_megabytes: dict[str, float]
    load_average: tuple[float, float] = (0.0, 0.0)
    cores: int = 0
