"""Length distribution and traffic share of one request class."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ClassMix:
    """Length distribution and traffic share of one request class.

    Attributes:
        class_name: Name of the request class.
        work_share: Share of the offered engine time.
        prompt_tokens: Median prompt length, in tokens.
        output_tokens: Median output length, in tokens.
        sigma: Standard deviation of the logarithm of both lengths.
        prefix_count: Number of distinct prompt prefixes; 0 if none are shared.
        max_tokens: Maximum output length that callers request.
    """

    class_name: str
    work_share: float
    prompt_tokens: int
    output_tokens: int
    sigma: float = 0.5
    prefix_count: int = 0
    max_tokens: int = 2048
