"""Profiles that are not learned."""

import datetime

from mustardwood.profiles import engine_profile
from mustardwood.profiles import engine_state
from mustardwood.profiles import profiled_engine


class FixedProfiles:
    """A `ProfileTable` with the same profile for all engines."""

    def __init__(
            self,
            profile: engine_profile.EngineProfile = engine_profile.PRIOR
    ) -> None:
        self._profile = profile

    def record_first_event(self, engine: profiled_engine.ProfiledEngine,
                           own_tokens: int, missing_tokens: int,
                           state: engine_state.EngineState,
                           elapsed: datetime.timedelta) -> None:
        """See `ProfileTable`."""

    def record_events(self, engine: profiled_engine.ProfiledEngine, tokens: int,
                      state: engine_state.EngineState, is_prefilling: bool,
                      elapsed: datetime.timedelta) -> None:
        """See `ProfileTable`."""

    def record_end(self, engine: profiled_engine.ProfiledEngine,
                   output_tokens: int, max_output_tokens: int) -> None:
        """See `ProfileTable`."""

    def find_profile(self,
                     service: str,
                     endpoint: str = "") -> engine_profile.EngineProfile:
        """See `ProfileTable`."""
        del service, endpoint
        return self._profile
