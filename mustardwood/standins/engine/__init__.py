"""Stand-in for a model engine.

`POST /switch` of a running engine sets fields of `Faults`; omitted fields keep
their values.
"""

from mustardwood.standins.engine.completion_text import generate_text
from mustardwood.standins.engine.engine_options import EngineOptions
from mustardwood.standins.engine.faults import Faults

__all__ = ["EngineOptions", "Faults", "generate_text"]
