"""Tests of the environment variables of hedged requests."""

import datetime

import pytest

from mustardwood import errors
from mustardwood import hedging
from mustardwood.platform import hedge_variables
from mustardwood.platform import settings


def _read(**values):
    environment = {
        f"MUSTARDWOOD_HEDGE_{name}": text for name, text in values.items()
    }
    return hedge_variables.read_hedge_settings(environment, 0.1)


def test_hedging_is_off_without_variables():
    """Failure: a deployment that configures nothing is served differently."""
    found = _read()
    assert found == hedging.HedgeSettings(0.0, 0.95,
                                          datetime.timedelta(milliseconds=50))
    assert _read(SHARE="") == found


def test_variables_are_read():
    assert _read(SHARE="0.02", QUANTILE="0.99",
                 MIN_DELAY_MS="20") == hedging.HedgeSettings(
                     0.02, 0.99, datetime.timedelta(milliseconds=20))


@pytest.mark.parametrize(("name", "text", "message"), [
    ("SHARE", "2%", "not a number"),
    ("SHARE", "nan", "not a number"),
    ("SHARE", "inf", "not a number"),
    ("SHARE", "-0.01", "not a share from 0 to 1"),
    ("SHARE", "2", "not a share from 0 to 1"),
    ("SHARE", "0.11", "above the 0.1 retries per request"),
    ("QUANTILE", "1", "not between 0 and 1"),
    ("QUANTILE", "95", "not between 0 and 1"),
    ("QUANTILE", "high", "not a number"),
    ("MIN_DELAY_MS", "-1", "not from 0 to 60000"),
    ("MIN_DELAY_MS", "50ms", "not a number"),
])
def test_invalid_value_is_refused_with_the_reason(name, text, message):
    """Failure: a typing error switches hedging off, or lets it exceed limits.
    """
    with pytest.raises(errors.SettingsError, match=message) as caught:
        _read(**{name: text})
    assert caught.value.key == f"MUSTARDWOOD_HEDGE_{name}"
    assert caught.value.key in str(caught.value)


def test_names_are_those_of_the_settings():
    assert settings.HEDGE_SHARE_VARIABLE == "MUSTARDWOOD_HEDGE_SHARE"
    assert settings.HEDGE_QUANTILE_VARIABLE == "MUSTARDWOOD_HEDGE_QUANTILE"
    assert (
        settings.HEDGE_MIN_DELAY_VARIABLE == "MUSTARDWOOD_HEDGE_MIN_DELAY_MS")
