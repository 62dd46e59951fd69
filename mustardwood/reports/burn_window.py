"""The burn of an error budget over one window."""

import msgspec


class BurnWindow(msgspec.Struct, frozen=True):
    """Rate at which an error budget is spent in a window.

    Attributes:
        name: Length of the window, for example ``1h``.
        asked: Number of requests that ended in it.
        attainment: Share of them that met their targets; 1 if there are none.
        burn_rate: Share of requests that missed their targets, divided by the
            share that the objective allows; at 1 the budget is spent exactly.
    """

    name: str
    asked: int
    attainment: float
    burn_rate: float


def compute_window(name: str, asked: int, met: int,
                   objective: float) -> BurnWindow:
    """Computes the burn rate of a window [1]_.

    Args:
        name: Length of the window.
        asked: Number of requests that ended in it.
        met: Number of them that met their targets.
        objective: Share of requests that should meet their targets; below 1.

    Returns:
        The window with its burn rate.

    References:
        .. [1] B. Beyer et al., "The Site Reliability Workbook", chapter 5,
           O'Reilly, 2018.

    Examples:
        >>> window = compute_window("1h", asked=100, met=90, objective=0.95)
        >>> round(window.burn_rate, 6)
        2.0
    """
    attainment = met / asked if asked else 1.0
    return BurnWindow(name, asked, attainment,
                      (1.0 - attainment) / (1.0 - objective))
