"""The shape of one class's requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ClassMix:
    """Lengths and share of one class.

    Attributes:
        class_name: Request class.
        work_share: Share of the offered engine time.
        prompt_tokens: Median length of a prompt.
        output_tokens: Median length of an answer.
        sigma: Standard deviation of the logarithm of both lengths.
        prefix_count: Number of different prompt starts; 0 for none shared.
        max_tokens: Bound that callers send.
    """

    class_name: str
    work_share: float
    prompt_tokens: int
    output_tokens: int
    sigma: float = 0.5
    prefix_count: int = 0
    max_tokens: int = 2048
