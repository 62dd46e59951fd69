"""Check of received tokens against the engine's own count."""

from mustardwood.routing import engine_event


class TokenCounter:
    """Counts the tokens in the events of one attempt.

    A duplicated or a missing event can't be detected from the events alone, but
    only by comparison with the count in the usage event. An engine that doesn't
    report the number of tokens in each event may put several into one event, or
    send no event for the end-of-sequence token. For such an engine, only a
    surplus of received tokens is a mismatch.

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
        """Counts an event's tokens, or stores the count of a usage event."""
        if event.usage is not None and not event.choices:
            self._reported_tokens = event.usage.completion_tokens
            return
        self._tokens += event.token_count
        self._has_exact_counts = (self._has_exact_counts and
                                  event.tokens is not None)

    def describe_mismatch(self) -> str:
        """Returns a description of the mismatch; empty if there is none.

        Without a usage event there is nothing to compare with.
        """
        reported = self._reported_tokens
        if reported is None or reported == self._tokens:
            return ""
        if reported > self._tokens and not self._has_exact_counts:
            return ""
        return f"{self._tokens} tokens came, and the engine counted {reported}"
