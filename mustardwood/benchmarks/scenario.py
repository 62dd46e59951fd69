"""Load and faults of a simulation."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and faults over the time of a simulation.

    The straggler, crashes, zone loss and owner loss begin at `burst_start`.

    Attributes:
        name: Name in result tables.
        utilisation: Offered engine time divided by the available engine time.
        burst_class: Class whose arrival rate rises in the burst; empty for all
            classes.
        burst_factor: Total utilisation during the burst; 0 for no burst.
        duration: Time during which requests arrive, in seconds.
        burst_start: Start of the burst, in seconds.
        burst_end: End of the burst, in seconds.
        straggler_factor: Slowdown factor of the first engine; 1 for none.
        crash_count: Number of engine crashes, one after another.
        zone_lost: Whether an availability zone is cut off for a minute.
        owner_lost: Whether the scheduler of the cell's owner is killed.
        load_lag: Age of the engines' load reports, in seconds.
        length_factor: Actual output lengths divided by the configured
            estimates.
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
