"""Estimate of the mean speed of a service's engines."""

import dataclasses
import datetime

from mustardwood.profiles import bounded_regression
from mustardwood.profiles import engine_profile
from mustardwood.profiles import engine_state

_TIME_CONSTANT = datetime.timedelta(seconds=20)
"""Time constant of the forgetting of samples."""
_MIN_GAP = 0.0002
"""Minimum time of a token to which errors are relative, in seconds."""
_MIN_FIRST = 0.05
"""Minimum time to a first token to which errors are relative, in seconds."""
_LATE_TOKEN_WEIGHT = 0.3
"""Weight of a token that takes longer than expected.

VMs with slow load reports know of few of the prompts that prolong steps.
"""
_LATE_FIRST_WEIGHT = 0.1
"""Weight of a first event that comes later than expected.

Most of them have waited behind prompts that the VM does not know of.
"""
_OUTPUT_PRIOR_WEIGHT = 5.0
"""Number of responses as which the prior of the output share counts."""
_MAX_OUTPUT_WEIGHT = 500.0
"""Limit of the weight of the responses, so that the share follows the load."""
_MIN_OUTPUT_SHARE = 0.01
"""Lower limit of the output share."""
_UNITS = 1_000
"""Tokens in the KV cache to which the coefficient of the context refers."""

_Coefficient = bounded_regression.Coefficient
_PRIOR = engine_profile.PRIOR

_STEP_COEFFICIENTS = (
    _Coefficient(_PRIOR.step_time, 0.004, 0.0001, 1.0),
    _Coefficient(_PRIOR.stream_step_time, 0.0002, 0.0, 0.02),
    _Coefficient(_PRIOR.context_step_time, 0.00001, 0.0, 0.005),
    _Coefficient(_PRIOR.chunk_time, 0.04, 0.0005, 2.0),
)
"""Time of a step, of each request, of 1,000 tokens of context, of a chunk."""

_PREFILL_COEFFICIENTS = (
    _Coefficient(_PRIOR.base_time, 0.15, 0.0, 1.0),
    _Coefficient(1.0 / _PRIOR.prefill_rate, 0.00003, 0.000001, 0.001),
)
"""Fixed time to the first token, and time of each prompt token."""


class ServiceEstimate:
    """Estimates the profile of a service from the responses at this VM.

    The time of a token is a linear function of the number of requests, the
    tokens in the KV cache, and whether the engine prefills in each step. The
    time to the first token is one of the prompt's tokens.

    Load pattern: the VM knows of other VMs' requests some hundred milliseconds
    late, and a prompt may wait behind prompts of which it does not know. Both
    estimates therefore follow the lower edge of the samples (see
    `BoundedRegression`), and a prompt behind others counts only if its first
    token came earlier than it would on an idle engine.
    """

    def __init__(self) -> None:
        self._steps = bounded_regression.BoundedRegression(
            _STEP_COEFFICIENTS, _MIN_GAP, _TIME_CONSTANT, _LATE_TOKEN_WEIGHT)
        self._prefills = bounded_regression.BoundedRegression(
            _PREFILL_COEFFICIENTS, _MIN_FIRST, _TIME_CONSTANT,
            _LATE_FIRST_WEIGHT)
        self._output_weight = _OUTPUT_PRIOR_WEIGHT
        self._output_share = _PRIOR.output_share

    @property
    def step_weight(self) -> float:
        """Number of samples of the time of a token that count."""
        return self._steps.weight

    @property
    def prefill_weight(self) -> float:
        """Number of samples of the time to the first token that count."""
        return self._prefills.weight

    @property
    def output_weight(self) -> float:
        """Number of complete responses that count."""
        return self._output_weight - _OUTPUT_PRIOR_WEIGHT

    def add_first_event(self, own_tokens: int, missing_tokens: int,
                        state: engine_state.EngineState, elapsed: float,
                        now: datetime.timedelta) -> None:
        """Adds the time to the first token of a response.

        Args:
            own_tokens: Tokens of the prompt that no other request has.
            missing_tokens: Tokens of its shared prefix that are probably not
                in the engine's cache.
            state: Load of the engine when the request was sent, without it.
            elapsed: Time from then to the first token, in seconds.
            now: Monotonic time.
        """
        is_idle = (not state.prefill_tokens and state.requests < state.slots)
        tokens = own_tokens + (missing_tokens if is_idle else 0)
        batch_time = self._build_steps().find_batch_time(tokens, state.running)
        value = max(elapsed - batch_time, elapsed / 2)
        factors = (1.0, float(tokens))
        if is_idle or value < self._prefills.find_expected(factors):
            self._prefills.add(factors, value, now)

    def add_gap(self, seconds: float, state: engine_state.EngineState,
                is_prefilling: bool, now: datetime.timedelta) -> None:
        """Adds the time of a token between two events.

        Args:
            seconds: Time of each token.
            state: Load of the engine.
            is_prefilling: Whether it prefilled in each step; if not, it
                prefilled in none.
            now: Monotonic time.
        """
        factors = (1.0, float(state.running), state.held_tokens / _UNITS,
                   float(is_prefilling))
        self._steps.add(factors, seconds, now)

    def add_end(self, share: float) -> None:
        """Adds the output share of a complete response."""
        self._output_weight = min(_MAX_OUTPUT_WEIGHT, self._output_weight + 1)
        self._output_share += (min(max(share, 0.0), 1.0) -
                               self._output_share) / self._output_weight

    def build_profile(self) -> engine_profile.EngineProfile:
        """Returns the profile that fits the samples best."""
        self._steps.solve()
        base_time, token_time = self._prefills.solve()
        prefill_rate = (1.0 / token_time
                        if self._prefills.weight else _PRIOR.prefill_rate)
        return dataclasses.replace(self._build_steps(),
                                   prefill_rate=prefill_rate,
                                   base_time=base_time,
                                   output_share=max(self._output_share,
                                                    _MIN_OUTPUT_SHARE),
                                   prefill_error=self._prefills.error,
                                   step_error=self._steps.error)

    def _build_steps(self) -> engine_profile.EngineProfile:
        step, stream, context, chunk = self._steps.values
        return engine_profile.EngineProfile(step_time=step,
                                            stream_step_time=stream,
                                            context_step_time=context,
                                            chunk_time=chunk)
