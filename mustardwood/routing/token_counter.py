"""The comparison of an answer with the engine's own count of its tokens."""

from mustardwood.routing import engine_event


class TokenCounter:
    """Counts the tokens of one attempt's events.

    An event that the engine sends twice can't be told from a token, nor can
    one that it leaves out. The count in the usage tells both. An engine that
    names no tokens in its events may put several into one, or keep the end
    mark's token to itself; of such an engine only a surplus is a mismatch.

    Examples:
        >>> counter = TokenCounter()
        >>> counter.add_event(engine_event.EngineEvent(tokens=2))
        >>> usage = engine_event.Usage(completion_tokens=1)
        >>> counter.add_event(engine_event.EngineEvent(tokens=0, usage=usage))
        >>> counter.describe_mismatch()
        '2 tokens came, and the engine counted 1'
    """

    def __init__(self) -> None:
        self._tokens = 0
        self._has_exact_counts = True
        self._reported_tokens: int | None = None

    def add_event(self, event: engine_event.EngineEvent) -> None:
        """Counts an event, or takes the count of the usage."""
        if event.usage is not None and not event.choices:
            self._reported_tokens = event.usage.completion_tokens
            return
        self._tokens += event.token_count
        self._has_exact_counts = self._has_exact_counts and event.tokens is not None

    def describe_mismatch(self) -> str:
        """Describes the mismatch; empty for none, or without a usage."""
        reported = self._reported_tokens
        if reported is None or reported == self._tokens:
            return ""
        if reported > self._tokens and not self._has_exact_counts:
            return ""
        return f"{self._tokens} tokens came, and the engine counted {reported}"
