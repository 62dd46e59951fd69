"""Simulated engines, network delays and faults around a policy."""

import collections.abc
import dataclasses
import random

from mustardwood import configuration
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import engine as engine_module
from mustardwood.benchmarks import recorder as recorder_module
from mustardwood.benchmarks import scenario as scenario_module
from mustardwood.benchmarks import sequence
from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks import workload as workload_module

_SAME_ZONE_DELAY_SECONDS = 0.0002


@dataclasses.dataclass(frozen=True)
class EngineLoad:
    """Load report of an engine.

    Attributes:
        running: Number of sequences in the batch.
        queued: Number of sequences that wait to join the batch.
    """

    running: int
    queued: int


class Environment:
    """Simulated engines, network delays and faults around a policy.

    Attributes:
        workload: Traffic and endpoints.
        scenario: Load and faults.
        timeline: Simulated time.
        recorder: Records the events of requests.
        rng: Random number generator of the simulation.
        engines: Engines by endpoint name.
        down_endpoints: Endpoints that refuse all attempts.
        lost_vms: VMs in an availability zone that is cut off.
    """

    def __init__(self, workload: workload_module.Workload,
                 scenario: scenario_module.Scenario, seed: int) -> None:
        self.workload = workload
        self.scenario = scenario
        self.timeline = timeline_module.Timeline()
        self.recorder = recorder_module.Recorder(self.timeline)
        self.rng = random.Random(seed)
        self.engines = {
            each.name:
                engine_module.Engine(each.name, workload.engine, self.timeline)
            for each in workload.document.endpoints
        }
        self.down_endpoints: set[str] = set()
        self.lost_vms: set[str] = set()
        self._load_history: dict[str, collections.deque[EngineLoad]] = {}
        self._zones = {
            each.name: each.zone for each in workload.document.endpoints
        }

    @property
    def endpoints(self) -> tuple[configuration.Endpoint, ...]:
        """The endpoints of the workload."""
        return self.workload.document.endpoints

    def find_endpoint_delay(self, vm: str, endpoint: str) -> float:
        """Returns the one-way delay from a VM to an endpoint, in seconds."""
        return self._find_zone_delay(self.workload.vms[vm],
                                     self._zones[endpoint])

    def find_vm_delay(self, vm: str, other: str) -> float:
        """Returns the one-way delay between two VMs, in seconds."""
        return self._find_zone_delay(self.workload.vms[vm],
                                     self.workload.vms[other])

    def read_load(self, endpoint: str) -> EngineLoad:
        """Returns the load of an engine as of `Scenario.load_lag` ago."""
        history = self._load_history.get(endpoint)
        return history[0] if history else EngineLoad(0, 0)

    def start_load_reports(self, period: float = 0.25) -> None:
        """Records the load of each engine every `period` seconds."""
        kept = max(1, round(self.scenario.load_lag / period))
        self._load_history = {
            name: collections.deque([EngineLoad(0, 0)], maxlen=kept)
            for name in self.engines
        }

        def record() -> None:
            for name, engine in self.engines.items():
                self._load_history[name].append(
                    EngineLoad(engine.running, engine.queued))
            self.timeline.call_later(period, record)

        record()

    def send_attempt(
            self, request: bench_request.BenchRequest, vm: str, endpoint: str,
            attempt_id: str, priority: int, resumed_tokens: int,
            on_first_token: collections.abc.Callable[[], None],
            on_end: collections.abc.Callable[[bool],
                                             None]) -> sequence.Sequence:
        """Sends an attempt to an engine.

        Args:
            request: The request.
            vm: VM that sends the attempt.
            endpoint: Name of the endpoint.
            attempt_id: Unique id of the attempt.
            priority: Priority; 0 is the most urgent.
            resumed_tokens: Output tokens of earlier attempts; the engine
                prefills them with the prompt.
            on_first_token: Called when the first token reaches the VM.
            on_end: Called with whether the output is complete, when the end
                reaches the VM.

        Returns:
            The attempt inside the engine.
        """
        delay = self.find_endpoint_delay(vm, endpoint)
        later = self.timeline.call_later
        attempt = sequence.Sequence(
            attempt_id=attempt_id,
            priority=priority,
            prompt_tokens=request.prompt_tokens + resumed_tokens,
            output_tokens=max(request.output_tokens - resumed_tokens, 1),
            prefix=request.prefix,
            on_first_token=lambda: later(delay, on_first_token),
            on_end=lambda is_complete: later(delay, lambda: on_end(is_complete)
                                            ))
        self.recorder.record_start(request)
        later(delay, lambda: self._submit(endpoint, attempt))
        return attempt

    def _submit(self, endpoint: str, attempt: sequence.Sequence) -> None:
        if endpoint in self.down_endpoints:
            attempt.on_end(False)
        else:
            self.engines[endpoint].submit(attempt)

    def _find_zone_delay(self, zone: str, other_zone: str) -> float:
        return (_SAME_ZONE_DELAY_SECONDS
                if zone == other_zone else self.workload.zone_delay)
