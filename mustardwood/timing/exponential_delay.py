"""Delays that double with each repetition."""

import datetime


def double_delay(initial: datetime.timedelta, times: int,
                 maximum: datetime.timedelta) -> datetime.timedelta:
    """Returns a delay that has been doubled a number of times.

    The number may grow without bound, while a `timedelta` can't.

    Args:
        initial: The delay before the first doubling; positive.
        times: Number of doublings, from 0.
        maximum: The longest delay.

    Examples:
        >>> second = datetime.timedelta(seconds=1)
        >>> double_delay(second, 3, 60 * second) / second
        8.0
        >>> double_delay(second, 10**9, 60 * second) / second
        60.0
    """
    # From this number on, the delay exceeds the maximum.
    needed = (maximum // initial).bit_length()
    return min(initial * 2**min(times, needed), maximum)
