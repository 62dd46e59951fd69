"""Resident memory by number of peers, endpoints and organisations."""

import subprocess
import sys

import pynng

from mustardwood import configuration
from mustardwood.benchmarks.capacity import memory_probe
from mustardwood.benchmarks.capacity import sized_document
from mustardwood.benchmarks.capacity import slope

_SIZES = {
    "peers": (10, 100, 400),
    "endpoints": (60, 600, 1800),
    "organisations": (22, 220, 880),
}
_BASE_ENDPOINTS = 60
_REPETITIONS = 3
_PROBE_TIMEOUT_SECONDS = 30.0


def measure() -> list[slope.Slope]:
    """Returns the memory growth of a process by the number of its objects."""
    with pynng.Pull0(listen=memory_probe.ADDRESS):
        return [
            slope.fit_slope(
                f"memory by {kind}", "bytes", kind, {
                    float(size):
                        [_run_probe(kind, size)
                         for _ in range(_REPETITIONS)]
                    for size in sizes
                })
            for kind, sizes in _SIZES.items()
        ]


def _run_probe(kind: str, size: int) -> float:
    completed = subprocess.run([
        sys.executable, "-m", "mustardwood.benchmarks.capacity.memory_probe",
        kind,
        str(size)
    ],
                               input=_make_probe_input(kind, size),
                               capture_output=True,
                               text=True,
                               timeout=_PROBE_TIMEOUT_SECONDS,
                               check=True)
    return float(completed.stdout)


def _make_probe_input(kind: str, size: int) -> str:
    if kind == "endpoints":
        document = sized_document.make_document(endpoints=size)
    elif kind == "organisations":
        document = sized_document.make_document(_BASE_ENDPOINTS, size)
    else:
        return ""
    return configuration.dump_document(document)
