"""The text that a stand-in engine generates for a prompt.

The text depends only on the model and the prompt, so that a test can compute
the text to expect.
"""

import hashlib
import random
import typing

_WORDS = ("asset", "ledger", "invoice", "odpis", "účet", "střih", "scéna",
          "caption", "rating", "board", "line", "\"quoted\"", "a\\b", "1,200",
          "straight-line", "balance", "disposal", "register", "titulky",
          "month", "close", "total", "řádek", "shot", "tag", "\n", "class",
          "cut", "list", "rate", "zostatok", "value")

_MIN_TOKENS = 8
"""Length of the shortest text, in tokens."""

_MAX_TOKENS = 512
"""Limit on the length of a text, in tokens."""

_DIGEST_RANGE = float(1 << 64)
"""Number of different values of eight bytes."""


def generate_text(model: str, prompt_text: str, max_tokens: int | None) -> str:
    """Returns the text that the engine generates for a prompt.

    Args:
        model: Name of the model.
        prompt_text: Prompt as `read_prompt` returns it.
        max_tokens: Limit on the length in tokens; None for none.

    Returns:
        The text. Over all prompts, lengths are uniformly distributed on a
        logarithmic scale.

    Examples:
        >>> generate_text("m", "a", 3) == generate_text("m", "a", 3)
        True
        >>> whole = generate_text("m", "a", None)
        >>> whole.startswith(generate_text("m", "a", 3))
        True
    """
    return "".join(generate_tokens(model, prompt_text, max_tokens))


def generate_tokens(model: str, prompt_text: str,
                    max_tokens: int | None) -> tuple[str, ...]:
    """Returns the tokens that make up the text of `generate_text`."""
    digest = hashlib.sha256(f"{model}\0{prompt_text}".encode()).digest()
    fraction = int.from_bytes(digest[:8]) / _DIGEST_RANGE
    length = int(_MIN_TOKENS * (_MAX_TOKENS / _MIN_TOKENS)**fraction)
    words = random.Random(digest).choices(_WORDS, k=length)
    return tuple(f"{word} " for word in words[:max_tokens])


def compute_finish_reason(model: str, prompt_text: str,
                          max_tokens: int | None) -> str:
    """Returns ``length`` if `max_tokens` truncates the text, else ``stop``."""
    total = len(generate_tokens(model, prompt_text, None))
    return "length" if max_tokens is not None and max_tokens < total else "stop"


def read_prompt(body: dict[str, typing.Any]) -> str:
    """Returns the prompt in the body of a chat or plain completion.

    Examples:
        >>> read_prompt({"messages": [{"role": "user", "content": "hi"}]})
        'user: hi'
        >>> read_prompt({"prompt": "hi"})
        'hi'
    """
    if "messages" in body:
        return "\n".join(f"{message['role']}: {_read_content(message)}"
                         for message in body["messages"])
    prompt = body["prompt"]
    return prompt if isinstance(prompt, str) else "\n".join(prompt)


def _read_content(message: dict[str, typing.Any]) -> str:
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)
