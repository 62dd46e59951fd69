"""Prompts for which the stand-in engine generates a minimum output length."""

import collections.abc
import itertools

from mustardwood.standins.engine import completion_text


def make_prompts(model: str, tokens: int) -> collections.abc.Iterator[str]:
    """Yields prompts whose output has at least `tokens` tokens.

    Args:
        model: Name of the model.
        tokens: Minimum length of the complete output.

    Examples:
        >>> prompt = next(make_prompts("small", 200))
        >>> len(completion_text.generate_tokens("small", prompt, None)) >= 200
        True
    """
    for number in itertools.count():
        prompt = f"Summarise schedule {number}."
        answer = completion_text.generate_tokens(model, prompt, None)
        if len(answer) >= tokens:
            yield prompt
