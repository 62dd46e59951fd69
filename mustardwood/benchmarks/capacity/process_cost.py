"""Processor time of the real processes by the output length."""

import pathlib
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import task

from mustardwood import configuration
from mustardwood.benchmarks.capacity import slope
from mustardwood.benchmarks.path import fleet_document
from mustardwood.benchmarks.path import load_generator
from mustardwood.benchmarks.path import process_usage
from mustardwood.standins import fleet as fleet_package

_NETWORK = "127.94.1"
_ENGINES = 4
_ENGINE_OPTIONS = ("--base-step-seconds", "0.01", "--stream-step-seconds",
                   "0.0002", "--prefill-token-seconds", "0")
_OUTPUT_TOKENS = (16, 128, 330)
_STREAMS = 8
_MEAN_PAUSE_SECONDS = 0.05
_RUN_SECONDS = 5.0
_ROUNDS = 2
_PARTS = ("entry", "scheduler", "agent")


class Idle(msgspec.Struct, frozen=True):
    """Processor time and memory of a process without requests.

    Attributes:
        cores: Processor time per second, in seconds.
        rss_megabytes: Resident memory after the benchmark, in 10^6 bytes.
    """

    cores: float
    rss_megabytes: float


def measure(seed: int = 1) -> tuple[list[slope.Slope], dict[str, Idle]]:
    """Returns the cost of a request by output tokens, and the idle cost."""
    with fleet_package.Fleet(_NETWORK) as fleet:
        _start_fleet(fleet)
        pids = {part: fleet.children[f"vm-1/{part}"].pid for part in _PARTS}
        samples: dict[str, dict[float, list[float]]] = {
            part: {} for part in _PARTS
        }
        idle_cores: dict[str, float] = {}
        _run_reactor(lambda reactor: _measure(reactor, fleet, pids, samples,
                                              idle_cores, seed))
        idle = {
            part:
                Idle(idle_cores[part],
                     process_usage.read_rss_bytes(pid) / 1e6)
            for part, pid in pids.items()
        }
    slopes = [
        slope.fit_slope(f"{part} process, a request, by its tokens (8 streams)",
                        "us", "tokens", samples[part]) for part in _PARTS
    ]
    return slopes, idle


def _start_fleet(fleet: fleet_package.Fleet) -> None:
    fleet.start_platform()
    urls = [
        fleet.start_engine(number, fleet_document.MODEL, *_ENGINE_OPTIONS).url
        for number in range(1, _ENGINES + 1)
    ]
    fleet.start_vm(1, "zone-a")
    path = pathlib.Path(fleet.folder / "configuration.json")
    document = fleet_document.make_document(urls)
    path.write_text(configuration.dump_document(document), encoding="utf-8")
    fleet.apply(path)
    fleet.wait_until_ready("vm-1/entry")


async def _measure(reactor: typing.Any, fleet: fleet_package.Fleet,
                   pids: dict[str, int], samples: dict[str, dict[float,
                                                                 list[float]]],
                   idle_cores: dict[str, float], seed: int) -> None:
    generator = load_generator.LoadGenerator(reactor,
                                             [fleet.find_callers_url(1)],
                                             fleet_document.MODEL, seed)
    before = _read_cpu_seconds(pids)
    await task.deferLater(reactor, _RUN_SECONDS)
    for part, cpu in _read_cpu_seconds(pids).items():
        idle_cores[part] = (cpu - before[part]) / _RUN_SECONDS
    await generator.run(_STREAMS, _OUTPUT_TOKENS[0], _MEAN_PAUSE_SECONDS, 1.0)
    for tokens in _OUTPUT_TOKENS * _ROUNDS:
        before = _read_cpu_seconds(pids)
        calls = await generator.run(_STREAMS, tokens, _MEAN_PAUSE_SECONDS,
                                    _RUN_SECONDS)
        complete = sum(each.is_complete for each in calls)
        for part, cpu in _read_cpu_seconds(pids).items():
            cost = (cpu - before[part]) / complete * 1e6
            samples[part].setdefault(float(tokens), []).append(cost)


def _read_cpu_seconds(pids: dict[str, int]) -> dict[str, float]:
    return {
        part: process_usage.read_cpu_seconds(pid) for part, pid in pids.items()
    }


def _run_reactor(work: typing.Any) -> None:
    try:
        task.react(lambda reactor: defer.ensureDeferred(work(reactor)))
    except SystemExit as end:
        if end.code:
            raise
