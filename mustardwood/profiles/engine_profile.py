"""Speed of an engine, as it is known."""

import dataclasses
import datetime
import math

CHUNK_TOKENS = 2048
"""Prompt tokens that an engine is assumed to prefill in one step."""
_TOKENS_PER_CONTEXT_UNIT = 1_000
"""Tokens in the KV cache to which `context_step_time` refers."""


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """Speed of an engine, or the mean speed of a service's engines.

    The defaults are the prior: the speeds of the first users' engines, which
    hold for an engine of which nothing is known. Times are in seconds.

    Attributes:
        prefill_rate: Prompt tokens that the engine prefills per second if it
            prefills in every step; includes the steps' own time.
        base_time: Time to the first token in addition to the prefill.
        step_time: Time of a step with an empty batch.
        stream_step_time: Time that each running request adds to a step.
        context_step_time: Time that each 1,000 tokens in the KV cache add to a
            step.
        chunk_time: Time that the prefill of one chunk adds to a step.
        output_share: Share of the announced maximum number of output tokens
            that responses use, from 0 to 1.
        slowdown: Factor of this engine's times on those of its service; it is
            part of the other attributes already.
        prefill_error: Relative standard error of the prefill rate; 1 for the
            prior.
        step_error: Relative standard error of the time of a step; 1 for the
            prior.
    """

    prefill_rate: float = 50_000.0
    base_time: float = 0.0
    step_time: float = 0.0029
    stream_step_time: float = 0.0001
    context_step_time: float = 0.0
    chunk_time: float = CHUNK_TOKENS / 50_000.0
    output_share: float = 1.0
    slowdown: float = 1.0
    prefill_error: float = 1.0
    step_error: float = 1.0

    def estimate_first_token(self, prefill_tokens: int,
                             requests: int) -> datetime.timedelta:
        """Returns the expected time from a request to its first token.

        Args:
            prefill_tokens: Prompt tokens to prefill until then, including those
                of other requests that are prefilled before.
            requests: Number of requests that run on the engine meanwhile.
        """
        return datetime.timedelta(
            seconds=self.base_time + prefill_tokens / self.prefill_rate +
            self.find_batch_time(prefill_tokens, requests))

    def estimate_step(self, requests: int,
                      held_tokens: int) -> datetime.timedelta:
        """Returns the expected time of a step without prefill.

        Args:
            requests: Number of requests that run.
            held_tokens: Number of tokens that they hold in the KV cache.
        """
        return datetime.timedelta(
            seconds=self.find_step_time(requests, held_tokens))

    def find_step_time(self, requests: float, held_tokens: float) -> float:
        """Returns `estimate_step` in seconds."""
        return (self.step_time + self.stream_step_time * requests +
                self.context_step_time * held_tokens / _TOKENS_PER_CONTEXT_UNIT)

    def find_chunk_time(self) -> float:
        """Returns how many seconds a chunk takes at least, of the usual size.

        An engine may prefill larger chunks, which is measured. The measured
        time may be too short, because the VM learns late that an engine has
        ended a prefill.
        """
        return max(self.chunk_time, CHUNK_TOKENS / self.prefill_rate)

    def find_batch_time(self, prefill_tokens: int, requests: int) -> float:
        """Returns by how many seconds a batch prolongs the prefill of a prompt.

        Args:
            prefill_tokens: Prompt tokens to prefill, chunk by chunk.
            requests: Number of requests in the batch.
        """
        return (math.ceil(prefill_tokens / CHUNK_TOKENS) *
                self.stream_step_time * requests)

    def find_output_time(self, input_tokens: int, max_output_tokens: int,
                         slots: int) -> float:
        """Returns for how many seconds the output of a request uses an engine.

        That is its share of the steps in which a full batch generates output.

        Args:
            input_tokens: Length of the prompt in tokens.
            max_output_tokens: Announced maximum length of the output.
            slots: Number of requests in a full batch, at least 1.
        """
        tokens = max_output_tokens * self.output_share
        held_tokens = input_tokens + tokens / 2
        return tokens * (
            self.step_time / slots + self.stream_step_time +
            self.context_step_time * held_tokens / _TOKENS_PER_CONTEXT_UNIT)

    def describe(self) -> dict[str, float]:
        """Returns the figures for the log; times are in milliseconds."""
        return {
            "prefill_tokens_per_s": round(self.prefill_rate),
            "base_ms": round(self.base_time * 1_000, 1),
            "step_ms": round(self.step_time * 1_000, 3),
            "stream_step_ms": round(self.stream_step_time * 1_000, 4),
            "context_step_ms": round(self.context_step_time * 1_000, 4),
            "chunk_ms": round(self.chunk_time * 1_000, 1),
            "output_share": round(self.output_share, 2),
            "slowdown": round(self.slowdown, 2),
            "prefill_error": round(self.prefill_error, 2),
            "step_error": round(self.step_error, 2),
        }

    def slow_down(self, factor: float) -> "EngineProfile":
        """Returns the profile of an engine whose times are longer by a factor.
        """
        return dataclasses.replace(
            self,
            prefill_rate=self.prefill_rate / factor,
            base_time=self.base_time * factor,
            step_time=self.step_time * factor,
            stream_step_time=self.stream_step_time * factor,
            context_step_time=self.context_step_time * factor,
            chunk_time=self.chunk_time * factor,
            slowdown=self.slowdown * factor)


PRIOR = EngineProfile()
"""Profile of engines of which nothing is known."""
