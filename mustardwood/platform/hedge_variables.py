"""The environment variables that configure hedged requests."""

import collections.abc
import datetime
import math

from mustardwood import errors
from mustardwood import hedging
from mustardwood.platform import settings as settings_module

_MAX_DELAY_MS = 60_000.0
"""Maximum delay in milliseconds; no request waits for a minute."""


def read_hedge_settings(environment: collections.abc.Mapping[str, str],
                        retry_ratio: float) -> hedging.HedgeSettings:
    """Reads and checks the settings of hedged requests.

    Args:
        environment: Environment variables; those that are missing or empty have
            their defaults.
        retry_ratio: Retries that the platform allows per request. Hedged
            requests count as retries.

    Raises:
        errors.SettingsError: If a value is not a number or out of its bounds.
    """
    defaults = hedging.HedgeSettings()
    share_name = settings_module.HEDGE_SHARE_VARIABLE
    share = _read_number(environment, share_name, defaults.share)
    if not 0.0 <= share <= 1.0:
        raise _make_error(share_name, f"{share:g}",
                          "which is not a share from 0 to 1",
                          "Set it to the hedged requests per request.")
    if share > retry_ratio:
        raise _make_error(
            share_name, f"{share:g}",
            f"above the {retry_ratio:g} retries per request that the platform "
            "allows (bounds.retry_ratio)",
            "Hedged requests count as retries: set it to a part of that.")
    quantile_name = settings_module.HEDGE_QUANTILE_VARIABLE
    quantile = _read_number(environment, quantile_name, defaults.quantile)
    if not 0.0 < quantile < 1.0:
        raise _make_error(quantile_name, f"{quantile:g}",
                          "which is not between 0 and 1",
                          "Set it to a high quantile as 0.95.")
    delay_name = settings_module.HEDGE_MIN_DELAY_VARIABLE
    default_delay = defaults.min_delay / datetime.timedelta(milliseconds=1)
    delay = _read_number(environment, delay_name, default_delay)
    if not 0.0 <= delay <= _MAX_DELAY_MS:
        raise _make_error(delay_name, f"{delay:g}",
                          f"which is not from 0 to {_MAX_DELAY_MS:g}",
                          "Set it to a time in milliseconds.")
    return hedging.HedgeSettings(share, quantile,
                                 datetime.timedelta(milliseconds=delay))


def _read_number(environment: collections.abc.Mapping[str, str], name: str,
                 default: float) -> float:
    text = environment.get(name, "")
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        raise _make_error(name, repr(text), "which is not a number",
                          f"Set it to a number or unset it for {default:g}.")
    return number


def _make_error(name: str, value: str, problem: str,
                remedy: str) -> errors.SettingsError:
    return errors.SettingsError(f"{name} is {value}, {problem}.",
                                remedy,
                                key=name)
