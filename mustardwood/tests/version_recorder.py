"""Recorder of the configuration versions that processes report."""

import json
import re
import threading
import time
import typing
import urllib.error
import urllib.request

from mustardwood.standins import fleet as fleet_module

_POLL_INTERVAL_SECONDS = 0.1
"""Pause between two polls of all processes."""

_REQUEST_TIMEOUT_SECONDS = 2.0

_GAUGE = re.compile(r"^mustardwood_configuration_version (\S+)$", re.MULTILINE)


class VersionRecorder:
    """Context manager that polls the versions of agents and entries.

    Attributes:
        observations: By process, a pair of monotonic time and version for each
            change of the version; version 0 means that none is in force.
        polls: Number of completed polls of all processes.
    """

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.observations: dict[str, list[tuple[float, int]]] = {}
        self.polls = 0
        self._fleet = fleet
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> typing.Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    def find_version(self, name: str) -> int:
        """Returns the last version that a process reported; 0 for none."""
        return (self.observations[name][-1][1]
                if name in self.observations else 0)

    def find_first_time(self, name: str, version: int) -> float | None:
        """Returns when a process first reported a version or a later one."""
        times = (time_shown
                 for time_shown, shown in self.observations.get(name, ())
                 if shown >= version)
        return next(times, None)

    def list_reverts(self) -> list[tuple[str, int, int]]:
        """Lists processes that reported a version and later a lower one.

        Returns:
            Tuples of process name, higher and lower version. Versions from
            before a restart count; having no version in force is not a lower
            version.
        """
        reverts = []
        for name, pairs in self.observations.items():
            highest = 0
            for _, version in pairs:
                if 0 < version < highest:
                    reverts.append((name, highest, version))
                highest = max(highest, version)
        return reverts

    def _run(self) -> None:
        while not self._ended.is_set():
            for name in list(self._fleet.children):
                if name.startswith("vm-"):
                    self._poll(name)
            self.polls += 1
            self._ended.wait(_POLL_INTERVAL_SECONDS)

    def _poll(self, name: str) -> None:
        url = self._fleet.children[name].url
        version = (_read_agent(url)
                   if name.endswith("/agent") else _read_gauge(url))
        if version is None:
            return
        pairs = self.observations.setdefault(name, [])
        if not pairs or pairs[-1][1] != version:
            pairs.append((time.monotonic(), version))


def _read_agent(url: str) -> int | None:
    try:
        return int(json.loads(_fetch(url + "/v1/configuration"))["version"])
    except urllib.error.HTTPError:
        return 0
    except OSError:
        return None


def _read_gauge(url: str) -> int | None:
    try:
        found = _GAUGE.search(_fetch(url + "/metrics").decode())
    except OSError:
        return None
    return None if found is None else int(float(found.group(1)))


def _fetch(url: str) -> bytes:
    with urllib.request.urlopen(url,
                                timeout=_REQUEST_TIMEOUT_SECONDS) as response:
        return response.read()
