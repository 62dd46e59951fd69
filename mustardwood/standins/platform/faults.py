"""Faults that the platform stand-in can show."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of ``POST /switch``; omitted fields keep their values.

    Attributes:
        outage: Whether all requests are refused with status 503.
        store_outage: Whether all requests except those for the VM list are
            refused with status 503.
        hang: Whether requests are accepted and never answered.
        delay_seconds: Delay before each request is executed.
        lost_answers: How many of the next writes take effect but have their
            connection reset instead of a response.
        reads_per_second: Rate limit of reads; 0 for no limit.
        writes_per_second: Rate limit of writes; 0 for no limit.
        vms_lag_seconds: Time until a change of the VM list becomes visible.
    """

    outage: bool = False
    store_outage: bool = False
    hang: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0
    vms_lag_seconds: float = 0.0
