"""Interface of what is known of engines' speeds."""

import datetime
import typing

from mustardwood.profiles import engine_profile
from mustardwood.profiles import engine_state
from mustardwood.profiles import profiled_engine


class ProfileTable(typing.Protocol):
    """Records measurements of engines and returns their profiles."""

    def record_first_event(self, engine: profiled_engine.ProfiledEngine,
                           own_tokens: int, missing_tokens: int,
                           state: engine_state.EngineState,
                           elapsed: datetime.timedelta) -> None:
        """Records the time to the first event of a response.

        Args:
            engine: The engine.
            own_tokens: Tokens of the prompt that no other request has.
            missing_tokens: Tokens of its shared prefix that are probably not
                in the engine's cache; 0 if it is cached.
            state: Load of the engine when the request was sent, without it.
            elapsed: Time from then to the first event.
        """

    def record_events(self, engine: profiled_engine.ProfiledEngine, tokens: int,
                      state: engine_state.EngineState, is_prefilling: bool,
                      elapsed: datetime.timedelta) -> None:
        """Records a gap between events of a stream.

        Args:
            engine: The engine.
            tokens: Number of tokens in the events after the gap.
            state: Load of the engine.
            is_prefilling: Whether the engine prefilled prompts in the whole
                gap; if not, it prefilled none in it.
            elapsed: Time of the gap.
        """

    def record_end(self, engine: profiled_engine.ProfiledEngine,
                   output_tokens: int, max_output_tokens: int) -> None:
        """Records the end of a complete response.

        Args:
            engine: The engine.
            output_tokens: Number of its output tokens.
            max_output_tokens: The announced maximum.
        """

    def find_profile(self,
                     service: str,
                     endpoint: str = "") -> engine_profile.EngineProfile:
        """Returns what is known of an engine, or of a service's engines.

        Args:
            service: Name of the service.
            endpoint: Incarnation of the endpoint; empty for the mean of the
                service's engines.

        Returns:
            The profile of the engine; that of the service if the engine's is
            not known; the prior if the service's is not known either.
        """
