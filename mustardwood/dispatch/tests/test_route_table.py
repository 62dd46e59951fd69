"""Tests of the services to which earlier versions of routes led."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_NOW = ms(100_000)


def _make_table(**services):
    """Returns a table with a route for each path, in which _ stands for /."""
    return dispatch.RouteTable(1, [
        dispatch.Route(
            path, "h", path.replace("_", "/"),
            tuple(dispatch.RouteTarget(each, 1)
                  for each in names.split()), 0, ms(1), ms(1), ms(1),
            dispatch.RetryPolicy.RESUMABLE, True, 1, True)
        for path, names in services.items()
    ], ())


def _find_past(tables, path="/a/b/c", since=ms(0), interval=ms(1000)):
    """Returns the past services of the last of several tables."""
    for index, (old, new) in enumerate(zip(tables, tables[1:])):
        new.record_previous(old, _NOW + index * interval)
    return tables[-1].find_past_services("h", path, since)


@pytest.mark.parametrize("old, new, expected", [
    ({
        "_a_": "x"
    }, {
        "_a_": "x"
    }, set()),
    ({
        "_a_": "x"
    }, {
        "_a_": "y"
    }, {"x"}),
    ({
        "_a_": "x y"
    }, {
        "_a_": "y"
    }, {"x", "y"}),
    ({
        "_a_": "x"
    }, {
        "_a_": "x",
        "_a_b_": "y"
    }, {"x"}),
    ({
        "_a_": "x",
        "_a_b_": "y"
    }, {
        "_a_": "x"
    }, {"y"}),
    ({
        "_a_": "x"
    }, {
        "_a_": "x",
        "_c_": "y"
    }, set()),
    ({
        "_c_": "x"
    }, {
        "_a_": "x"
    }, set()),
    ({}, {
        "_a_": "x"
    }, set()),
],
                         ids=[
                             "same", "moved", "weights", "split", "joined",
                             "other", "replaced", "new"
                         ])
def test_past_services_of_a_path_are_found(old, new, expected):
    tables = [_make_table(**each) for each in (old, new)]
    assert _find_past(tables) == expected


def test_past_services_outlast_further_versions():
    tables = [_make_table(_a_=each) for each in ("x", "y", "z", "z")]
    assert _find_past(tables) == {"x", "y"}


def test_only_recent_versions_count():
    tables = [_make_table(_a_=each) for each in ("x", "y", "z")]
    assert _find_past(tables, since=_NOW + ms(500)) == {"y"}


def test_past_services_are_forgotten():
    tables = [_make_table(_a_=each) for each in ("x", "y", "z")]
    assert _find_past(tables, interval=ms(61_000)) == {"y"}


def test_only_moves_of_streams_that_callers_resume_are_reported():
    old, new = _make_table(_a_="x"), _make_table(_a_="y")
    assert new.record_previous(old, _NOW)
    assert not _make_table(_a_="y").record_previous(new, _NOW)
