"""Prompts for which the stand-in engine generates a minimum output length."""

import collections.abc
import itertools

from mustardwood.standins.engine import answer_text


def make_prompts(model: str, tokens: int) -> collections.abc.Iterator[str]:
    """Yields prompts whose output has at least `tokens` tokens.

    Args:
        model: Name of the model.
        tokens: Minimum length of the complete output.

    Examples:
        >>> prompt = next(make_prompts("small", 200))
        >>> len(answer_text.make_tokens("small", prompt, None)) >= 200
        True
    """
    for number in itertools.count():
        prompt = f"Summarise schedule {number}."
        answer = answer_text.make_tokens(model, prompt, None)
        if len(answer) >= tokens:
            yield prompt
