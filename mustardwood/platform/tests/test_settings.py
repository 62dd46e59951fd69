"""Tests of valid and invalid settings files."""

import pytest

from mustardwood import errors
from mustardwood.platform import duty_settings
from mustardwood.platform import settings

_TEXT = """
node_name = "edge-a-1"
zone = "a"
ip = "192.0.2.1"
port_range = [7340, 7355]
heartbeat_ms = 900
unknown_field = 3
[listen]
front_addr = "192.0.2.1:8000"
ready = "192.0.2.1:8001"
control_plane = "192.0.2.1:8002"
[bounds]
grace_s = 8
revoke_ms = 5000
fail_closed = true
[platform]
address = "192.0.2.9:8223"
"""


def _write(tmp_path, text):
    path = tmp_path / "settings.toml"
    path.write_text(text, encoding="utf-8")
    return path


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    found = settings.read_settings(_write(tmp_path, _TEXT))
    assert found.vm == "edge-a-1"
    assert found.key_removal_time.total_seconds() == 5
    assert found.grace.total_seconds() == 8
    assert found.min_lapse_time.total_seconds() == 1.8


@pytest.mark.parametrize(("contact", "apply", "wait", "batch"), [
    (3000, 2000, 2.0, 0.3),
    (4000, 3000, 3.0, 0.45),
    (5000, 4000, 4.0, 0.6),
    (1000, 500, 1.0, 0.1),
    (60_000, 60_000, 4.0, 1.0),
])
def test_times_of_watches_follow_from_the_bounds(tmp_path, contact, apply, wait,
                                                 batch):
    bounds = (f"[bounds]\ncontact_ms = {contact}\nconfig_apply_ms = {apply}\n"
              f"drain_ms = {apply + 500}")
    found = settings.read_settings(
        _write(tmp_path, _TEXT.replace("[bounds]", bounds)))
    assert found.max_watch_wait.total_seconds() == wait
    assert round(found.batch_delay.total_seconds(), 2) == batch


@pytest.mark.parametrize("old, new, key", [
    ('front_addr = "192.0.2.1:8000"', 'front_addr = "192.0.2.1"',
     "$.listen.front_addr"),
    ("grace_s = 8", 'grace_s = "soon"', "$.bounds.grace_s"),
    ('node_name = "edge-a-1"', "", "$"),
    ("[bounds]", "[bounds", "$"),
])
def test_error_of_an_invalid_value_has_its_key_and_a_remedy(
        tmp_path, old, new, key):
    with pytest.raises(errors.SettingsError) as caught:
        settings.read_settings(_write(tmp_path, _TEXT.replace(old, new)))
    assert caught.value.key == key
    assert caught.value.remedy


def test_error_of_a_missing_file_names_it(tmp_path):
    with pytest.raises(errors.SettingsError, match="absent.toml"):
        settings.read_settings(tmp_path / "absent.toml")


_DUTIES = """
[cloud_api]
address = "192.0.2.9:8424"
rate_per_s = 50.0
duties = ["usage_report", "autoscale"]
duty_per_s = 40.0
"""


def _read_duties(tmp_path, api=_DUTIES, bounds=""):
    text = _TEXT.replace("[bounds]", f"[bounds]\n{bounds}") + api
    found = settings.read_settings(_write(tmp_path, text))
    return duty_settings.DutySettings.from_settings(found)


def test_settings_of_duties_are_read(tmp_path):
    found = _read_duties(
        tmp_path,
        bounds="fencing_enforced = true\nlease_ms = 2500\nthaw_ms = 200\n"
        "report_window_s = 4\nusage_error = 0.04\nusage_delay_s = 9\n"
        "max_skew_ms = 5000")
    assert found.duties == {"usage_report", "autoscale"}
    assert not found.unknown_duties
    assert found.address == ("192.0.2.9", 8424)
    assert found.duty_rate == 40
    assert found.is_fencing_enforced
    assert found.lease_time.total_seconds() == 2.5
    assert found.thaw_time.total_seconds() == 0.2
    assert found.report_window.total_seconds() == 4
    assert found.usage_error == 0.04
    assert found.usage_delay.total_seconds() == 9
    assert found.max_skew.total_seconds() == 5


def test_deployment_without_duties_is_not_held_to_their_bounds(tmp_path):
    """It must start as before, whatever these bounds are."""
    bounds = "lease_ms = 0\nreport_window_s = 0"
    assert _read_duties(tmp_path, "", bounds) is None
    assert _read_duties(tmp_path, '[cloud_api]\naddress = "no address"',
                        bounds) is None


def test_unknown_duties_do_not_keep_the_others_from_being_carried_out(tmp_path):
    """A later platform may name duties that this version does not know."""
    found = _read_duties(
        tmp_path,
        _DUTIES.replace('"autoscale"', '"compact", "autoscale", "compact"'))
    assert found.duties == {"usage_report", "autoscale"}
    assert found.unknown_duties == ("compact",)


@pytest.mark.parametrize("old, new, key", [
    ('address = "192.0.2.9:8424"', 'address = "192.0.2.9"',
     "$.cloud_api.address"),
    ('address = "192.0.2.9:8424"', "", "$.cloud_api"),
    ("duty_per_s = 40.0", "duty_per_s = 0.0", "$.cloud_api.duty_per_s"),
    ("rate_per_s = 50.0", "rate_per_s = -1", "$.cloud_api.rate_per_s"),
    ("rate_per_s = 50.0", "rate_per_s = inf", "$.cloud_api.rate_per_s"),
    ('["usage_report", "autoscale"]', '"usage_report"', "$.cloud_api.duties"),
])
def test_invalid_api_of_duties_is_an_error(tmp_path, old, new, key):
    with pytest.raises(errors.SettingsError) as caught:
        _read_duties(tmp_path, _DUTIES.replace(old, new, 1))
    assert caught.value.key == key


@pytest.mark.parametrize("bound, key", [
    ("report_window_s = 0", "$.bounds.report_window_s"),
    ("report_window_s = nan", "$.bounds.report_window_s"),
    ("lease_ms = -3000", "$.bounds.lease_ms"),
    ("lease_ms = 1e300", "$.bounds.lease_ms"),
    ("usage_error = 0", "$.bounds.usage_error"),
    ("usage_delay_s = 0", "$.bounds.usage_delay_s"),
    ("thaw_ms = -1", "$.bounds.thaw_ms"),
    ("max_skew_ms = -1", "$.bounds.max_skew_ms"),
    ('fencing_enforced = "perhaps"', "$.bounds.fencing_enforced"),
])
def test_invalid_bound_of_duties_is_an_error(tmp_path, bound, key):
    """A window of no length, say, can't be reported."""
    with pytest.raises(errors.SettingsError) as caught:
        _read_duties(tmp_path, bounds=bound)
    assert caught.value.key == key
    assert caught.value.remedy
