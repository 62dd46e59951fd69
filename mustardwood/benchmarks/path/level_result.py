"""Results of the streaming path benchmark."""

import msgspec


class LevelResult(msgspec.Struct, frozen=True):
    """Results for one number of concurrent streams.

    Attributes:
        streams: Number of concurrent streams.
        calls: Number of calls that measured the time to the first token,
            direct and routed.
        direct_p50_ms: Median time to the first token of an engine called
            directly, in milliseconds.
        direct_p99_ms: 99th percentile of the same.
        routed_p50_ms: Median time to the first token through the entry, in
            milliseconds.
        routed_p99_ms: 99th percentile of the same.
        tokens: Number of tokens of the long responses through the entry.
        cpu_us_per_token: Processor time of the entry for each of these tokens,
            in microseconds, including the start and end of the request.
        entry_cores: Processor time of the entry per second while these
            responses were streamed, in seconds.
        broken: Number of incomplete responses.
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
        """Difference of the median first token times, in milliseconds."""
        return self.routed_p50_ms - self.direct_p50_ms

    @property
    def added_p99_ms(self) -> float:
        """Difference of the 99th percentiles, in milliseconds."""
        return self.routed_p99_ms - self.direct_p99_ms


class PathResult(msgspec.Struct, frozen=True):
    """Results of the streaming path benchmark.

    Attributes:
        levels: Results by number of concurrent streams.
        rss_megabytes: Resident memory by process at the end, in 10^6 bytes.
        load_average: Load average of the machine over one minute, before and
            after the benchmark.
        cores: Number of processor cores of the machine.
    """

    levels: tuple[LevelResult, ...]
    rss_megabytes: dict[str, float]
    load_average: tuple[float, float] = (0.0, 0.0)
    cores: int = 0
