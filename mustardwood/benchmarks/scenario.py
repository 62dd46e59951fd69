"""What happens during a measurement."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and faults over a time.

    Attributes:
        name: Name for tables.
        utilisation: Offered engine time over the engines' time.
        burst_class: Class whose arrivals burst; empty for all classes.
        burst_factor: Total utilisation during the burst.
        duration: Time with arrivals, in seconds.
        burst_start: Start of the burst, in seconds.
        burst_end: End of the burst, in seconds.
        straggler_factor: Slow-down of the first engine; 1 for none.
        crash_count: Engines that crash, one after another.
        zone_lost: Whether an availability zone is cut off for a minute.
        owner_lost: Whether the VM that decides is killed.
        load_lag: Age of the engines' load reports, in seconds.
        length_factor: Real lengths over the configured estimates.
    """

    name: str
    utilisation: float = 0.7
    burst_class: str = ""
    burst_factor: float = 0.0
    duration: float = 180.0
    burst_start: float = 60.0
    burst_end: float = 120.0
    straggler_factor: float = 1.0
    crash_count: int = 0
    zone_lost: bool = False
    owner_lost: bool = False
    load_lag: float = 1.0
    length_factor: float = 1.0
