"""Figures that the placement of requests uses."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """What is known of the engines beforehand.

    Attributes:
        prefill_rate: Prompt tokens that an engine reads in a second; the
            users' data sheets say 48,200 and 55,000.
        long_prompt: Tokens from which a prompt delays the others' tokens by
            more than a piece may wait: two chunks of 2,048 tokens.
        long_share: Share of the engines on which long prompts are read first.
        zone_cost: Seconds that an endpoint in another zone counts more; the
            zones are about a millisecond apart, and bytes between them cost.
    """

    prefill_rate: float = 50_000.0
    long_prompt: int = 4096
    long_share: float = 0.5
    zone_cost: float = 0.002
