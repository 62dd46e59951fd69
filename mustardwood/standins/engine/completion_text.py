"""The text that a stand-in engine answers."""

import hashlib
import random
import typing

_WORDS = ("asset", "ledger", "invoice", "odpis", "účet", "střih", "scéna",
          "caption", "rating", "board", "line", "\"quoted\"", "a\\b", "1,200",
          "straight-line", "balance", "disposal", "register", "titulky",
          "month", "close", "total", "řádek", "shot", "tag", "\n", "class",
          "cut", "list", "rate", "zostatok", "value")

_SHORTEST = 8
"""Tokens of the shortest answer."""

_LONGEST = 512
"""Tokens of the longest answer."""

_UNIT = float(1 << 64)
"""Values of eight bytes of a digest."""


def generate_text(model: str, prompt_text: str, max_tokens: int | None) -> str:
    """Returns the whole answer to a prompt.

    Args:
        model: Name of the model.
        prompt_text: What `read_prompt` returns for the request.
        max_tokens: Bound on the answer's length in tokens; None for none.

    Returns:
        The text; lengths are spread evenly on a logarithmic scale.

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
    """Returns the tokens of `generate_text`."""
    digest = hashlib.sha256(f"{model}\0{prompt_text}".encode()).digest()
    share = int.from_bytes(digest[:8]) / _UNIT
    length = int(_SHORTEST * (_LONGEST / _SHORTEST)**share)
    words = random.Random(digest).choices(_WORDS, k=length)
    return tuple(f"{word} " for word in words[:max_tokens])


def find_finish_reason(model: str, prompt_text: str,
                       max_tokens: int | None) -> str:
    """Returns ``length`` when `max_tokens` cuts the answer, else ``stop``."""
    whole = len(generate_tokens(model, prompt_text, None))
    return "length" if max_tokens is not None and max_tokens < whole else "stop"


def read_prompt(body: dict[str, typing.Any]) -> str:
    """Returns the prompt of a completion's body, chat or plain.

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
