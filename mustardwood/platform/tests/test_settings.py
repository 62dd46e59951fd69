"""Tests of valid and invalid settings files."""

import pytest

from mustardwood import errors
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
