"""Clocks, and delays that double."""

from mustardwood.timing.clock import Clock
from mustardwood.timing.exponential_delay import double_delay
from mustardwood.timing.manual_clock import ManualClock
from mustardwood.timing.suspend_aware_clock import SuspendAwareClock
from mustardwood.timing.system_clock import SystemClock

__all__ = [
    "Clock",
    "ManualClock",
    "SuspendAwareClock",
    "SystemClock",
    "double_delay",
]
