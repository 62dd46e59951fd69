"""Faults of the platform stand-in."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What ``POST /switch`` can change; fields left out stay as they are.

    Attributes:
        outage: Whether each call is refused with status 503.
        store_outage: Whether each call but that of the VM list is refused so.
        hang: Whether calls are taken and never answered.
        delay_seconds: Time added before each call is carried out.
        lost_answers: How many of the next writes take effect but lose their
            answer.
        reads_per_second: Rate limit of reads; 0 for none.
        writes_per_second: Rate limit of writes; 0 for none.
        vms_lag_seconds: Time until a change of the VM list shows.
    """

    outage: bool = False
    store_outage: bool = False
    hang: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0
    vms_lag_seconds: float = 0.0
