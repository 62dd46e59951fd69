"""Tests of streams while endpoints of several software versions serve."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch import stream_version_table
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_EVENT = b"id: 1\ndata: a\n\n"
_HIGH_LOAD = dispatch.EndpointLoad(requests=50)
"""Load of an endpoint that has room but is avoided if another one is idle."""


def _make_harness(*versions, **settings):
    harness = harness_module.Harness(endpoints=0, **settings)
    for index, version in enumerate(versions):
        _set_version(harness, index, version)
    return harness


def _set_version(harness, index, version, **changes):
    harness.directory.set_endpoint(
        harness_module.make_endpoint(index, version=version, **changes))


def _start_stream(harness, event=_EVENT, **changes):
    """Starts a stream and returns it with the endpoint that sent an event."""
    request = harness_module.make_stream_request(harness, **changes)
    forwarding, caller = harness.start(request)
    attempt = harness.client.sent[-1]
    attempt.begin()
    attempt.listener.receive_data(event)
    return forwarding, caller, attempt


def _break_stream(harness, **changes):
    """Lets a stream with one event break off at its caller's connection."""
    forwarding, _, attempt = _start_stream(harness, **changes)
    forwarding.handle_caller_disconnect()
    return attempt.endpoint


def _resume(harness, request_id, **changes):
    request = harness_module.make_stream_request(harness,
                                                 last_event_id=1,
                                                 resumed_request_id=request_id,
                                                 **changes)
    return harness.start(request)


def test_broken_stream_does_not_go_on_at_another_software_version():
    harness = _make_harness("v1", "v1.1")
    _, caller, attempt = _start_stream(harness)
    attempt.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 1
    assert (caller.body, caller.end) == (_EVENT, "broken")


def test_broken_stream_goes_on_at_the_software_version_that_began_it():
    harness = _make_harness("v1", "v1.1", "v1", "v1.1")
    _, caller, first = _start_stream(harness)
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.endpoint.name != first.endpoint.name
    assert second.endpoint.version == first.endpoint.version
    second.respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_silent_stream_is_not_handed_over_to_another_software_version():
    harness = _make_harness("v1", "v1.1")
    _, caller, attempt = _start_stream(harness)
    harness.scheduler.advance(ms(1900))
    assert len(harness.client.sent) == 1
    attempt.respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_broken_stream_waits_for_room_at_its_software_version():
    harness = _make_harness("v1", "v1.1", "v1", "v1.1")
    _, caller, first = _start_stream(harness)
    version = first.endpoint.version
    other = next(
        each for each in harness.list_usable()
        if each.version == version and each.name != first.endpoint.name)
    full = dispatch.EndpointLoad(requests=200)
    harness.loads.add(other.name, full)
    first.listener.receive_failure(True, "reset")
    harness.scheduler.advance(ms(100))
    assert len(harness.client.sent) == 1 and not caller.end
    harness.loads.subtract(other.name, full)
    harness.scheduler.advance(ms(100))
    assert harness.client.sent[1].endpoint.version == version


def test_stream_does_not_go_on_at_an_endpoint_restarted_with_another_version():
    harness = _make_harness("v1", "v1")
    _, caller, attempt = _start_stream(harness)
    index = int(attempt.endpoint.name.rpartition("-")[2])
    _set_version(harness, 1 - index, "v1.1", started=5)
    attempt.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 1
    assert caller.end == "broken"


def test_stream_of_an_unknown_software_version_does_not_go_on():
    harness = _make_harness("", "")
    _, caller, attempt = _start_stream(harness)
    attempt.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 1
    assert caller.end == "broken"


def test_stream_without_an_event_starts_again_at_any_software_version():
    harness = _make_harness("v1", "v1.1")
    _, caller, first = _start_stream(harness, event=b"id: 1\nda")
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.endpoint.version != first.endpoint.version
    second.respond(body=_EVENT)
    assert (caller.body, caller.end) == (_EVENT, "complete")


def test_resumed_stream_goes_on_at_the_software_version_that_began_it():
    for number in range(8):
        harness = _make_harness("v1", "v1.1")
        endpoint = _break_stream(harness, request_id=f"id-{number}")
        harness.loads.add(endpoint.name, _HIGH_LOAD)
        _resume(harness, f"id-{number}")
        assert harness.client.sent[-1].endpoint.version == endpoint.version


def test_stream_is_resumed_twice_at_the_software_version_that_began_it():
    harness = _make_harness("v1", "v1.1")
    endpoint = _break_stream(harness, request_id="first")
    harness.loads.add(endpoint.name, _HIGH_LOAD)
    _break_stream(harness,
                  event=b"id: 2\ndata: b\n\n",
                  request_id="second",
                  last_event_id=1,
                  resumed_request_id="first")
    _resume(harness, "first")
    assert [each.endpoint.version for each in harness.client.sent
           ] == [endpoint.version] * 3


@pytest.mark.parametrize("request_id", ["", "unknown", "x" * 200, "\xff\x00"],
                         ids=["missing", "unknown", "long", "not-ascii"])
def test_resumption_of_an_unknown_stream_is_refused_as_not_run(request_id):
    harness = _make_harness("v1", "v1.1")
    _, caller = _resume(harness, request_id)
    harness.scheduler.advance(ms(1000))
    assert not harness.client.sent
    assert caller.status == 503
    assert caller.refusal.retry_after is not None


def test_resumption_without_an_endpoint_of_its_version_is_refused_at_once():
    harness = _make_harness("v1", "v1.1")
    endpoint = _break_stream(harness, request_id="first")
    index = int(endpoint.name.rpartition("-")[2])
    _set_version(harness, index, endpoint.version, is_leaving=True)
    _, caller = _resume(harness, "first")
    assert len(harness.client.sent) == 1
    assert caller.status == 503


def test_request_that_never_brought_an_event_can_not_be_resumed():
    harness = _make_harness("v1", "v1.1")
    forwarding, _ = harness.start(
        harness_module.make_stream_request(harness, request_id="first"))
    forwarding.handle_caller_disconnect()
    _, caller = _resume(harness, "first")
    harness.scheduler.advance(ms(1000))
    assert len(harness.client.sent) == 1
    assert caller.status == 503


def test_stream_that_may_run_once_is_not_held_to_a_software_version():
    harness = _make_harness("v1", "v1.1")
    harness.start(
        harness_module.make_long_request(harness,
                                         last_event_id=1,
                                         resumed_request_id="unknown"))
    assert len(harness.client.sent) == 1


def test_resumption_waits_for_a_peer_that_knows_the_stream():
    harness = _make_harness("v1", "v1.1")
    _resume(harness, "first")
    key = harness.streams.take_questions()
    harness.scheduler.advance(ms(50))
    assert not harness.client.sent
    harness.streams.record_peer_streams({"v1.1": key})
    harness.scheduler.advance(ms(20))
    assert [each.endpoint.version for each in harness.client.sent] == ["v1.1"]


def test_caller_that_disconnects_ends_the_search_for_its_stream():
    harness = _make_harness("v1", "v1.1")
    forwarding, caller = _resume(harness, "first")
    forwarding.handle_caller_disconnect()
    harness.scheduler.advance(ms(1000))
    assert forwarding.is_done and caller.status is None


def test_streams_that_wait_for_their_version_do_not_hold_up_other_requests():
    harness = _make_harness("v1", "v1.1")
    endpoint = _break_stream(harness, request_id="first")
    full = dispatch.EndpointLoad(prefill_tokens=50_000, requests=200)
    for each in harness.list_usable():
        harness.loads.add(each.name, full)
    for _ in range(7):
        _resume(harness, "first", tier=0)
    harness.start(harness_module.make_stream_request(harness, request_id="new"))
    other = next(
        each for each in harness.list_usable() if each.name != endpoint.name)
    harness.loads.subtract(other.name, full)
    harness.scheduler.advance(ms(20))
    assert harness.client.sent[-1].request.request_id == "new"
    assert harness.client.sent[-1].endpoint == other


def _observe_list(harness, duration):
    """Lets time pass while the list of endpoints is confirmed."""
    peer_loads = {"endpoint-0": dispatch.EndpointLoad()}
    end = harness.clock.monotonic() + duration
    while harness.clock.monotonic() < end:
        harness.directory.record_listing(harness.clock.monotonic())
        harness.scheduler.advance(ms(500))
    harness.loads.set_peer_loads("peer", peer_loads)


@pytest.mark.parametrize("request_id", ["", "unknown"])
def test_unknown_stream_goes_on_where_only_one_version_has_served(request_id):
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(61_000))
    _resume(harness, request_id)
    harness.loads.set_peer_loads("peer", {})
    harness.scheduler.advance(ms(300))
    assert len(harness.client.sent) == 1


def test_only_the_time_for_which_a_stream_may_last_counts():
    harness = _make_harness("v1", "v1")
    _add_and_remove_version(harness)
    _observe_list(harness, ms(13_000))
    harness.loads.set_peer_loads("peer", {})
    for time_limit, expected in ((ms(15_000), None), (ms(12_000), "v1")):
        assert harness.directory.find_only_version("engine",
                                                   time_limit) == expected


def test_copy_of_the_store_may_lack_a_version():
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(13_000))
    harness.directory.record_store_restore()
    _observe_list(harness, ms(11_000))
    assert harness.directory.find_only_version("engine", ms(12_000)) is None
    _observe_list(harness, ms(2_000))
    assert harness.directory.find_only_version("engine", ms(12_000)) == "v1"


def test_resumption_that_names_no_stream_tells_no_version_of_another_one():
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(61_000))
    _, _ = _resume(harness, "")
    attempt = harness.client.sent[0]
    attempt.begin()
    attempt.listener.receive_data(b"id: 2\ndata: b\n\n")
    _set_version(harness, 2, "v1.1")
    _, caller = _resume(harness, "")
    assert caller.status == 503


def _add_version(harness):
    _set_version(harness, 2, "v1.1")


def _add_and_remove_version(harness):
    _set_version(harness, 2, "v1.1")
    harness.directory.remove_endpoint("endpoint-2")


def _add_unknown_version(harness):
    _set_version(harness, 2, "")


def _lose_store(harness):
    harness.scheduler.advance(ms(8000))
    harness.loads.set_peer_loads("peer", {})


def _regain_store(harness):
    _lose_store(harness)
    harness.directory.record_listing(harness.clock.monotonic())


def _lose_peers(harness):
    harness.scheduler.advance(ms(1500))


@pytest.mark.parametrize("change", [
    _add_version, _add_and_remove_version, _add_unknown_version, _lose_store,
    _regain_store, _lose_peers
])
def test_unknown_stream_is_refused_where_its_version_is_uncertain(change):
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(61_000))
    change(harness)
    _, caller = _resume(harness, "")
    assert not harness.client.sent
    assert caller.status == 503


@pytest.mark.parametrize("request_id", ["", "unknown"])
def test_version_that_joined_unseen_is_found_before_a_stream_goes_on(
        request_id):
    """The VM was out of step, and its list of endpoints is seconds old.

    The stream began at the new version, and replies of peers do not arrive.
    """
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(61_000))
    harness.scheduler.advance(ms(4000))
    harness.loads.set_peer_loads("peer", {})
    harness.registrations.on_read = lambda: _add_version(harness)
    _, caller = _resume(harness, request_id)
    harness.scheduler.advance(ms(1100))
    assert not harness.client.sent
    assert caller.status == 503


@pytest.mark.parametrize("request_id", ["", "unknown"])
def test_unknown_stream_is_refused_without_a_list_read_since_its_request(
        request_id):
    """Neither the store nor a peer shows which versions have joined."""
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(61_000))
    harness.registrations.is_available = False
    _, caller = _resume(harness, request_id)
    for _ in range(11):
        harness.loads.set_peer_loads("peer", {})
        harness.scheduler.advance(ms(100))
    assert not harness.client.sent
    assert caller.status == 503


def test_registrations_are_not_read_for_a_stream_that_a_peer_knows():
    """Reads are billed, and all VMs may be asked to resume streams at once."""
    harness = _make_harness("v1", "v1.1")
    _resume(harness, "known")
    harness.scheduler.advance(ms(50))
    harness.streams.record_peer_streams(
        {"v1.1": stream_version_table.find_key("engine", "known")})
    harness.scheduler.advance(ms(50))
    assert harness.client.sent[0].endpoint.version == "v1.1"
    assert not harness.registrations.reads


def test_unknown_stream_is_refused_at_a_vm_that_has_just_started():
    harness = _make_harness("v1", "v1")
    _observe_list(harness, ms(20_000))
    _, caller = _resume(harness, "")
    assert caller.status == 503


def _set_service(harness, index, service, version):
    _set_version(harness, index, version, service=service)


def test_stream_is_not_resumed_at_the_service_to_which_its_route_was_moved():
    """What another service writes does not fit, whatever its version."""
    harness = _make_harness("v1")
    _set_service(harness, 1, "engine-b", "v2")
    _observe_list(harness, ms(61_000))
    _break_stream(harness, request_id="first")
    _, caller = _resume(harness, "first", service="engine-b")
    harness.scheduler.advance(ms(1000))
    assert len(harness.client.sent) == 1
    assert caller.status == 503


def test_stream_that_a_peer_began_at_another_service_is_not_resumed():
    harness = _make_harness("v1")
    _set_service(harness, 1, "engine-b", "v2")
    _observe_list(harness, ms(61_000))
    _, caller = _resume(harness, "first", service="engine-b")
    asked = harness.streams.take_questions()
    key = stream_version_table.find_key("engine", "first")
    assert key in asked
    harness.streams.record_peer_streams({"v1": key})
    harness.scheduler.advance(ms(1000))
    assert not harness.client.sent
    assert caller.status == 503


@pytest.mark.parametrize("past, count", [(frozenset({"engine-a"}), 0),
                                         (frozenset(), 1)])
def test_unknown_stream_of_a_moved_route_is_not_resumed(past, count):
    """No VM knows it, and it may have begun at the past service."""
    harness = _make_harness("v1")
    _observe_list(harness, ms(61_000))
    _resume(harness, "first", past_services=past)
    harness.loads.set_peer_loads("peer", {})
    harness.scheduler.advance(ms(400))
    assert len(harness.client.sent) == count


def _start_unlisted_stream(harness, **changes):
    """Starts a stream; the store is silent, and no connection is older."""
    harness.registrations.is_available = False
    _, caller, first = _start_stream(harness, **changes)
    harness.client.unconnected.update(
        each.name for each in harness.list_usable())
    harness.clock.advance(ms(100))
    return caller, first


def test_stream_does_not_go_on_where_a_restart_may_be_unseen():
    """An endpoint may have another version since, under the same name."""
    harness = _make_harness("v1", "v1")
    harness.directory.record_listing(harness.clock.monotonic())
    caller, first = _start_unlisted_stream(harness)
    first.listener.receive_failure(True, "reset")
    harness.scheduler.advance(ms(900))
    assert len(harness.client.sent) == 1 and not caller.end
    harness.scheduler.advance(ms(200))
    assert len(harness.client.sent) == 1
    assert caller.end == "broken"


@pytest.mark.parametrize("version, count", [("v1", 2), ("v2", 1)])
def test_broken_stream_goes_on_as_the_registrations_show(version, count):
    harness = _make_harness("v1", "v1")
    harness.directory.record_listing(harness.clock.monotonic())
    _, first = _start_unlisted_stream(harness)
    index = 1 - int(first.endpoint.name.rpartition("-")[2])
    harness.registrations.on_read = lambda: _set_version(
        harness, index, version, started=5)
    harness.registrations.is_available = True
    first.listener.receive_failure(True, "reset")
    harness.scheduler.advance(ms(60))
    assert len(harness.client.sent) == count


def test_stream_goes_on_where_a_connection_shows_that_nothing_restarted():
    """Without the store, and without a call that it bills."""
    harness = _make_harness("v1", "v1")
    harness.directory.record_listing(harness.clock.monotonic())
    _, first = _start_unlisted_stream(harness)
    harness.client.unconnected.clear()
    first.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2
    assert not harness.registrations.reads


def test_silent_stream_is_handed_over_when_the_registrations_are_read():
    harness = _make_harness("v1", "v1")
    harness.directory.record_listing(harness.clock.monotonic())
    _, first = _start_unlisted_stream(harness)
    harness.scheduler.advance(ms(1300))
    assert len(harness.client.sent) == 1 and not first.has_ended_sending
    harness.registrations.is_available = True
    harness.scheduler.advance(ms(100))
    assert len(harness.client.sent) == 2
    assert harness.client.sent[1].is_written


def test_resumption_by_a_caller_needs_a_certain_version_too():
    harness = _make_harness("v1", "v1")
    harness.directory.record_listing(harness.clock.monotonic())
    harness.registrations.is_available = False
    harness.streams.record_peer_streams(
        {"v1": stream_version_table.find_key("engine", "first")})
    harness.client.unconnected.update(
        each.name for each in harness.list_usable())
    harness.clock.advance(ms(100))
    _, caller = _resume(harness, "first")
    harness.scheduler.advance(ms(1100))
    assert not harness.client.sent
    assert caller.status == 503
