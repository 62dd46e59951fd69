"""Decides how many windows are finalized now."""

import collections.abc
import datetime

from mustardwood.usage import usage_ledger
from mustardwood.usage import usage_windows

_SETTLING_TIME = datetime.timedelta(seconds=2.5)
"""Time after the end of a window after which missing reports are not awaited.

VMs report once a second, with an update that is sent at most a second later; it
thus covers the loss of one datagram in deployments of up to 200 VMs.
"""
_SENDING_TIME = datetime.timedelta(seconds=2)
"""Time before a report is due that is reserved for writing and sending.

It covers one call to the store and one to the API that are slow, and a repeat.
"""


def count_ready_windows(first: int, now: datetime.datetime,
                        windows: usage_windows.UsageWindows,
                        ledger: usage_ledger.UsageLedger,
                        vms: collections.abc.Collection[str]) -> int:
    """Returns how many consecutive windows are to be finalized now.

    Each write of the record ends the pending watch of every VM and so costs
    about a call for each of them. Two windows are therefore finalized by one
    write if the reports of the second are in before the first is due.

    Args:
        first: The first window that is not finalized.
        now: True time.
        windows: The windows.
        ledger: The counts, and which VMs have reported them.
        vms: Names of all VMs.
    """
    ready = 0
    last_ended = windows.find_last_ended(now)
    while first + ready <= last_ended and (
            now >= windows.find_end(first + ready) + _SETTLING_TIME or
            ledger.is_complete(first + ready, vms)):
        ready += 1
    latest = windows.find_due_time(first) - _SENDING_TIME
    pair_ready_at = windows.find_end(first + 1) + _SETTLING_TIME
    if ready == 1 and now < latest and pair_ready_at <= latest:
        return 0
    return ready
