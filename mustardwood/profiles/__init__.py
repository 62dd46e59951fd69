"""Engine profiles, which are learned from responses.

Nothing in this package does I/O.
"""

from mustardwood.profiles.engine_profile import CHUNK_TOKENS
from mustardwood.profiles.engine_profile import EngineProfile
from mustardwood.profiles.engine_profile import PRIOR
from mustardwood.profiles.engine_profiles import EngineProfiles
from mustardwood.profiles.engine_state import EngineState
from mustardwood.profiles.fixed_profiles import FixedProfiles
from mustardwood.profiles.profile_change import ChangeKind
from mustardwood.profiles.profile_change import ProfileChange
from mustardwood.profiles.profile_report import ProfileReport
from mustardwood.profiles.profile_table import ProfileTable
from mustardwood.profiles.profiled_engine import ProfiledEngine
from mustardwood.profiles.response_timing import ResponseTiming

__all__ = [
    "CHUNK_TOKENS",
    "ChangeKind",
    "EngineProfile",
    "EngineProfiles",
    "EngineState",
    "FixedProfiles",
    "PRIOR",
    "ProfileChange",
    "ProfileReport",
    "ProfileTable",
    "ProfiledEngine",
    "ResponseTiming",
]
