"""The clock interface, clocks of the operating system and a manual clock."""

from mustardwood.timing.clock import Clock
from mustardwood.timing.manual_clock import ManualClock
from mustardwood.timing.suspend_aware_clock import SuspendAwareClock
from mustardwood.timing.system_clock import SystemClock

__all__ = ["Clock", "ManualClock", "SuspendAwareClock", "SystemClock"]
