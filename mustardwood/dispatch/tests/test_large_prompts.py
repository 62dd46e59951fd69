"""Tests of large prompts that wait beside smaller ones."""

import math
import random

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_STEP = ms(10)
_PREFILL_RATE = 50_000.0
"""Prompt tokens a second that a modelled engine of speed 1 prefills."""
_MEAN_TOKENS = 12_000
_SIZE_SIGMA = 0.9
"""Standard deviation of the logarithm of the prompts' lengths."""
_LOAD = 1.3
"""Prompt tokens that arrive for each one that the engines can prefill."""
_EVENT = b"id: 1\ndata: a\n\n"


class _Engines:
    """Engines that prefill their prompts in the order of arrival."""

    def __init__(self, harness, speed):
        self._harness = harness
        self._tokens_per_step = _PREFILL_RATE * speed * _STEP.total_seconds()
        self._left: dict[str, float] = {}
        self._prompts: dict[str, list[harness_module.FakeAttempt]] = {}
        self._seen = 0

    def step(self):
        """Lets all engines prefill for one step and answer what is done."""
        sent = self._harness.client.sent
        for attempt in sent[self._seen:]:
            self._prompts.setdefault(attempt.endpoint.name, []).append(attempt)
        self._seen = len(sent)
        for name, prompts in self._prompts.items():
            budget = self._tokens_per_step
            while prompts and budget > 0:
                tokens = prompts[0].request.prompt.input_tokens
                left = self._left.get(name, tokens)
                self._left[name] = left - budget
                budget -= left
                if budget >= 0:
                    self._left.pop(name)
                    prompts.pop(0).respond(body=_EVENT)


def _draw_tokens(rng):
    mean_log = math.log(_MEAN_TOKENS) - _SIZE_SIGMA**2 / 2
    return max(4_096, round(rng.lognormvariate(mean_log, _SIZE_SIGMA)))


def _serve(harness, speed, tier, seed=1, seconds=40):
    """Returns the lengths of the prompts and whether each was served."""
    rng = random.Random(seed)
    engines = _Engines(harness, speed)
    rate = (_LOAD * _PREFILL_RATE * speed * len(harness.list_usable()) /
            _MEAN_TOKENS)
    callers = []
    for _ in range(round(seconds / _STEP.total_seconds())):
        if rng.random() < rate * _STEP.total_seconds():
            tokens = _draw_tokens(rng)
            prompt = dispatch.Prompt(
                (dispatch.PromptPart(f"own-{len(callers)}", tokens),), tokens,
                400)
            callers.append((tokens,
                            harness.start(
                                harness_module.make_long_request(
                                    harness,
                                    request_id=f"id-{len(callers)}",
                                    tier=tier,
                                    prompt=prompt))[1]))
        harness.scheduler.advance(_STEP)
        engines.step()
    return [(tokens, caller.status == 200) for tokens, caller in callers]


def _compute_share(served):
    return sum(is_served for _, is_served in served) / len(served)


@pytest.mark.parametrize("tier", (0, 1, 2))
@pytest.mark.parametrize("speed", (0.4, 1.0, 2.8))
def test_large_prompts_are_not_passed_by_smaller_ones_again_and_again(
        speed, tier):
    harness = harness_module.Harness(endpoints=2)
    served = _serve(harness, speed, tier)
    by_size = sorted(served, reverse=True)
    largest = by_size[:len(by_size) // 10]
    assert _compute_share(largest) >= _compute_share(served) / 2
