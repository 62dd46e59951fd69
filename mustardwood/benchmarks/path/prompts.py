"""Prompts whose answers have a known length."""

import collections.abc
import itertools

from mustardwood.standins.engine import answer_text


def make_prompts(model: str, tokens: int) -> collections.abc.Iterator[str]:
    """Yields prompts with answers of at least `tokens` tokens.

    Args:
        model: Name of the model.
        tokens: Least length of the whole answer.

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
