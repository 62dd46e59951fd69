"""The part of an update between VMs that concerns the usage."""

import typing

import msgspec

_Window = typing.Annotated[int, msgspec.Meta(ge=0, le=2**48)]
"""Number of a window; the limit keeps calculations with it safe."""

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
"""A number of requests."""

_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=10**14)]
"""Unix time in milliseconds; the limit is in the year 5138."""

_Incarnation = typing.Annotated[int, msgspec.Meta(ge=0, le=2**62)]

Counts = dict[_Window, dict[str, _Count]]
"""Numbers of requests by window and organisation."""


class UsageReport(msgspec.Struct, frozen=True, array_like=True):
    """A VM's clock, and for some receivers its counts of the last windows.

    Attributes:
        clock_ms: The sender's wall clock, as Unix time in milliseconds.
        incarnation: Random number above 0 of the sending process, since a
            restarted process counts from 0 again; 0 if there are no counts.
        first_window: Window in which the process started to count.
        is_whole: Whether the counts of all windows are included.
        counts: Requests that began to run, by window and organisation. They
            are totals, so a later report replaces an earlier one.
    """

    clock_ms: _Milliseconds
    incarnation: _Incarnation = 0
    first_window: _Window = 0
    is_whole: bool = True
    counts: Counts = {}
