"""Traffic and endpoints of one user."""

import dataclasses
import math

from mustardwood import configuration
from mustardwood.benchmarks import class_mix
from mustardwood.benchmarks import engine_settings

_ASSUMED_BATCH_SIZE = 16
"""Batch size of an engine at full load, from which rates are computed."""


@dataclasses.dataclass(frozen=True)
class Workload:
    """Traffic and endpoints of one user.

    Attributes:
        name: Name in result tables.
        document: Configuration of the user.
        mixes: Length distributions and traffic shares of the classes.
        organisation_weights: Share of the requests by organisation.
        vms: Availability zones of the VMs, by VM name.
        zone_delay: One-way delay between availability zones, in seconds.
        caller_delay: One-way delay from callers to entries, in seconds.
        engine: Speed and capacity of each engine.
    """

    name: str
    document: configuration.Document
    mixes: tuple[class_mix.ClassMix, ...]
    organisation_weights: dict[str, float]
    vms: dict[str, str]
    zone_delay: float
    caller_delay: float
    engine: engine_settings.EngineSettings

    def compute_rate(self, mix: class_mix.ClassMix,
                     utilisation: float) -> float:
        """Returns the arrival rate of a class, in requests per second.

        Args:
            mix: Lengths and traffic share of the class.
            utilisation: Offered engine time divided by the available engine
                time; 1 is full load.
        """
        mean_factor = math.exp(mix.sigma**2 / 2)
        prompt = mix.prompt_tokens * mean_factor
        output = min(mix.output_tokens * mean_factor, mix.max_tokens)
        batch = min(_ASSUMED_BATCH_SIZE, self.engine.batch_limit)
        step = (self.engine.base_seconds +
                self.engine.seconds_per_sequence * batch)
        decode = output * step / batch
        prefill = (prompt / self.engine.chunk_tokens *
                   self.engine.chunk_seconds)
        engines = len(self.document.endpoints)
        return utilisation * engines * mix.work_share / (decode + prefill)
