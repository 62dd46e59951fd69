"""A user's traffic and endpoints."""

import dataclasses
import math

from mustardwood import configuration
from mustardwood.benchmarks import class_mix
from mustardwood.benchmarks import engine_settings

_ASSUMED_BATCH_SIZE = 16


@dataclasses.dataclass(frozen=True)
class Workload:
    """Traffic of one user.

    Attributes:
        name: Name for tables.
        document: The user's configuration.
        mixes: Shapes of the classes.
        organisation_weights: Share of the requests of each organisation.
        vms: Names of the entry VMs, with their availability zones.
        zone_delay: One-way delay between availability zones, in seconds.
        caller_delay: One-way delay from callers to entries, in seconds.
        engine: Speeds of the engines.
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
        """Returns a class's requests per second at a utilisation of 1 is full.

        Args:
            mix: The class.
            utilisation: Offered engine time over the engines' time.
        """
        mean_factor = math.exp(mix.sigma**2 / 2)
        prompt = mix.prompt_tokens * mean_factor
        output = min(mix.output_tokens * mean_factor, mix.max_tokens)
        batch = min(_ASSUMED_BATCH_SIZE, self.engine.batch_limit)
        step = self.engine.base_seconds + self.engine.seconds_per_sequence * batch
        decode = output * step / batch
        prefill = (prompt / self.engine.chunk_tokens *
                   self.engine.chunk_seconds)
        engines = len(self.document.endpoints)
        return utilisation * engines * mix.work_share / (decode + prefill)
