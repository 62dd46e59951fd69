"""What a VM tells its peers of a service's engines."""

import dataclasses
import math

from mustardwood.profiles import engine_profile

_LIMITS = {
    "prefill_rate": (1_000.0, 1_000_000.0),
    "base_time": (0.0, 1.0),
    "step_time": (0.0001, 1.0),
    "stream_step_time": (0.0, 0.02),
    "context_step_time": (0.0, 0.005),
    "chunk_time": (0.0005, 2.0),
    "output_share": (0.01, 1.0),
}
"""Minimum and maximum of the attributes of a profile; those of estimates."""
_MAX_WEIGHT = 1e9
"""Upper limit of the number of samples that a report may state."""
_TOLERANCE = 1.001
"""Factor by which rounding may exceed a limit."""


@dataclasses.dataclass(frozen=True)
class ProfileReport:
    """A service's profile, as one VM has learned it from responses.

    Attributes:
        service: Name of the service.
        profile: The profile, without its errors.
        step_weight: Number of samples of the time of a token.
        prefill_weight: Number of samples of the time to the first token.
        output_weight: Number of complete responses.
    """

    service: str
    profile: engine_profile.EngineProfile
    step_weight: float
    prefill_weight: float
    output_weight: float

    def find_problem(self) -> str:
        """Returns why the values are impossible; empty if they are not."""
        for name, (lower, upper) in _LIMITS.items():
            value = getattr(self.profile, name)
            if not lower / _TOLERANCE <= value <= upper * _TOLERANCE:
                return f"{name} {value:g} is not from {lower:g} to {upper:g}"
        for weight in (self.step_weight, self.prefill_weight,
                       self.output_weight):
            if not (math.isfinite(weight) and 0.0 <= weight <= _MAX_WEIGHT):
                return f"the number of samples is {weight:g}"
        return ""
