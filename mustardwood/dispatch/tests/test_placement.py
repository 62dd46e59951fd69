"""Where requests go under the loads that the placement answers."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _choose(harness, request, tried=()):
    return harness.placement.choose(request, harness.usable(), set(tried))


def _place(harness, request):
    choice = _choose(harness, request)
    if choice is not None:
        harness.loads.add(choice.endpoint.name, choice.load)
        harness.prefix_caches.record_request(choice.endpoint.name, request,
                                             choice.is_preferred)
    return choice


def _read(harness, choice):
    """Ends the prefill of a choice."""
    harness.loads.subtract(
        choice.endpoint.name,
        dispatch.EndpointLoad(prefill_tokens=choice.load.prefill_tokens))


def test_subject_returns_to_the_engine_that_read_it():
    harness = harness_module.Harness(endpoints=6)
    homes = {
        _choose(harness,
                harness_module.make_long_request(harness,
                                                 "subject-7")).endpoint.name
        for _ in range(5)
    }
    assert len(homes) == 1
    other = harness_module.Harness(endpoints=6)
    assert {
        _choose(other,
                harness_module.make_long_request(other,
                                                 "subject-7")).endpoint.name
    } == homes


def test_loss_of_an_engine_moves_only_its_own_subjects():
    harness = harness_module.Harness(endpoints=8)
    subjects = [f"subject-{index}" for index in range(60)]
    before = {
        each:
            _choose(harness,
                    harness_module.make_long_request(harness,
                                                     each)).endpoint.name
        for each in subjects
    }
    lost = before[subjects[0]]
    harness.directory.remove_endpoint(lost)
    after = {
        each:
            _choose(harness,
                    harness_module.make_long_request(harness,
                                                     each)).endpoint.name
        for each in subjects
    }
    moved = [each for each in subjects if before[each] != after[each]]
    # One engine may change sides of the split besides the lost one.
    assert len(moved) <= 2 * len(subjects) / 5


def _start_brisk_streams(harness, count):
    for index in range(count):
        _place(
            harness,
            harness_module.make_stream_request(
                harness,
                prompt=harness_module.make_prompt(f"q-{index}", 800, 200)))
        harness.clock.advance(ms(250))


def test_streams_with_tight_pauses_get_a_break_between_prompts():
    """Prompts that follow each other would delay every piece by a little."""
    harness = harness_module.Harness(endpoints=1)
    stream = harness_module.make_stream_request(
        harness,
        inter_event_target=ms(250),
        prompt=harness_module.make_prompt("brisk", 800, 200))
    _read(harness, _place(harness, stream))
    prompt = harness_module.make_prompt("other", 3000, 0)
    placed = []
    for _ in range(2):
        placed.append(
            _place(harness,
                   harness_module.make_stream_request(harness, prompt=prompt)))
    assert None not in placed
    # A slow engine takes 250 ms for six steps of which four read a chunk.
    harness.clock.advance(ms(60))
    _read(harness, placed[0])
    assert _place(harness,
                  harness_module.make_stream_request(harness,
                                                     prompt=prompt)) is None
    harness.clock.advance(ms(60))
    for choice in placed[1:]:
        _read(harness, choice)
    assert _place(harness,
                  harness_module.make_stream_request(harness, prompt=prompt))


def test_prompts_follow_each_other_where_no_stream_is_tight():
    harness = harness_module.Harness(endpoints=1)
    prompt = harness_module.make_prompt("other", 3000, 0)
    for _ in range(6):
        assert _place(
            harness,
            harness_module.make_stream_request(harness,
                                               inter_event_target=ms(1000),
                                               prompt=prompt))


def test_rush_of_long_prompts_stays_off_the_engines_of_brisk_streams():
    harness = harness_module.Harness(endpoints=8)
    _start_brisk_streams(harness, 24)
    engines = harness.placement.find_long_prompt_engines(
        "engine", harness.usable())
    requests = [
        _place(harness, harness_module.make_long_request(harness, f"s-{index}"))
        for index in range(40)
    ]
    taken = {each.endpoint.name for each in requests if each is not None}
    assert 4 <= len(engines) <= 6
    assert taken <= engines
    # What the engines can't read within half a second waits.
    assert None in requests


def test_long_prompt_waits_rather_than_delay_the_streams_of_other_engines():
    """Engines of long prompts crash in a rush, and the last one is full."""
    harness = harness_module.Harness(endpoints=9)
    for index in range(60):
        prompt = harness_module.make_prompt(f"q-{index}", 800, 200)
        _read(
            harness,
            _place(harness,
                   harness_module.make_stream_request(harness, prompt=prompt)))
        harness.clock.advance(ms(250))
    long_prompt_engines = harness.placement.find_long_prompt_engines(
        "engine", harness.usable())
    for each in harness.usable():
        if each.name not in long_prompt_engines:
            harness.loads.add(
                each.name,
                dispatch.EndpointLoad(requests=5, interactive_streams=5))
    for lost in sorted(long_prompt_engines)[:-1]:
        harness.health.record_unreachable(lost)
    harness.loads.add(max(long_prompt_engines),
                      dispatch.EndpointLoad(requests=64))
    request = harness_module.make_long_request(harness, "rush")
    assert _choose(harness, request) is None
    # The lost engines are tried again after a moment.
    harness.clock.advance(ms(800))
    assert _choose(harness, request).endpoint.name in long_prompt_engines


@pytest.mark.parametrize("inter_event_target, most", [(250, 5), (400, 7)])
def test_tighter_pauses_keep_more_engines_free_of_long_prompts(
        inter_event_target, most):
    harness = harness_module.Harness(endpoints=10)
    for index in range(60):
        choice = _place(
            harness,
            harness_module.make_stream_request(
                harness,
                inter_event_target=ms(inter_event_target),
                prompt=harness_module.make_prompt(f"q-{index}", 800, 200)))
        _read(harness, choice)
        harness.clock.advance(ms(250))
    engines = harness.placement.find_long_prompt_engines(
        "engine", harness.usable())
    assert most - 1 <= len(engines) <= most


def test_free_engines_return_when_brisk_streams_end():
    harness = harness_module.Harness(endpoints=10)
    _start_brisk_streams(harness, 60)
    before = harness.placement.find_long_prompt_engines("engine",
                                                        harness.usable())
    for name, load in harness.loads.list_own_loads().items():
        harness.loads.subtract(name, load)
    for _ in range(60):
        harness.clock.advance(ms(250))
        after = harness.placement.find_long_prompt_engines(
            "engine", harness.usable())
    assert before < after


def test_brisk_streams_spread_before_one_engine_is_full():
    harness = harness_module.Harness(endpoints=8)
    _start_brisk_streams(harness, 40)
    most = max(
        load.requests for load in harness.loads.list_own_loads().values())
    assert most <= 20


def test_long_prompt_waits_for_its_home_then_goes_elsewhere():
    harness = harness_module.Harness(endpoints=6)
    home = _place(harness,
                  harness_module.make_long_request(harness)).endpoint.name
    while (choice :=
           _place(harness,
                  harness_module.make_long_request(harness))) is not None:
        assert choice.endpoint.name == home
    waiting = harness_module.make_long_request(harness)
    assert _choose(harness, waiting) is None
    harness.clock.advance(harness.settings.cache_affinity_targets *
                          waiting.first_byte_target)
    assert _choose(harness, waiting).endpoint.name != home


def test_prompt_longer_than_the_bound_goes_to_an_engine_without_others():
    harness = harness_module.Harness(endpoints=2)
    assert _place(harness,
                  harness_module.make_long_request(harness, tokens=54_000))


def test_load_of_peers_counts():
    harness = harness_module.Harness(endpoints=2)
    harness.loads.set_peer_loads("vm-2", {
        "endpoint-0": dispatch.EndpointLoad(requests=50),
    })
    choice = _choose(harness, harness_module.make_request(harness))
    assert choice.endpoint.name == "endpoint-1"


def test_load_of_silent_peer_stops_counting():
    harness = harness_module.Harness(endpoints=2)
    harness.loads.set_peer_loads("vm-2", {
        "endpoint-0": dispatch.EndpointLoad(requests=50),
    })
    harness.clock.advance(ms(1100))
    assert harness.loads.find_load("endpoint-0").requests == 0
    assert harness.loads.count_peers() == 0


def test_full_engines_leave_no_room_for_the_least_urgent():
    harness = harness_module.Harness(endpoints=2, slots=10)
    for name in ("endpoint-0", "endpoint-1"):
        harness.loads.add(name, dispatch.EndpointLoad(requests=9))
    assert _choose(harness, harness_module.make_long_request(harness)) is None
    assert _choose(harness,
                   harness_module.make_stream_request(harness,
                                                      tier=0)) is not None


def test_memory_bounds_what_an_engine_is_given():
    harness = harness_module.Harness(endpoints=1, memory_tokens=100_000)
    placed = 0
    while (choice :=
           _place(harness,
                  harness_module.make_long_request(harness,
                                                   f"s-{placed}"))) is not None:
        # The prompt is read, and its stream goes on.
        harness.loads.subtract(
            choice.endpoint.name,
            dispatch.EndpointLoad(prefill_tokens=choice.load.prefill_tokens))
        placed += 1
    assert 5 <= placed <= 12


def test_failing_endpoint_is_last_but_not_excluded():
    harness = harness_module.Harness(endpoints=2)
    for _ in range(5):
        harness.health.record_failure("endpoint-0")
    assert _choose(
        harness,
        harness_module.make_request(harness)).endpoint.name == "endpoint-1"
    assert _choose(harness, harness_module.make_request(harness),
                   ["endpoint-1"]).endpoint.name == "endpoint-0"


def test_unreachable_endpoint_is_tried_again_after_a_while():
    harness = harness_module.Harness(endpoints=2)
    harness.health.record_unreachable("endpoint-0")
    assert harness.health.is_avoided("endpoint-0")
    harness.clock.advance(ms(800))
    assert not harness.health.is_avoided("endpoint-0")


def test_restarted_endpoint_holds_nothing():
    harness = harness_module.Harness(endpoints=2)
    request = harness_module.make_long_request(harness)
    harness.prefix_caches.record_request("endpoint-0",
                                         request,
                                         is_preferred=True)
    assert "endpoint-0" in harness.prefix_caches.list_holders(request)
    harness.prefix_caches.forget_endpoint("endpoint-0")
    assert "endpoint-0" not in harness.prefix_caches.list_holders(request)


@pytest.mark.parametrize("share", [0.2, 0.8])
def test_weights_divide_a_route(share):
    route = dispatch.Route(
        "r", "h", "/",
        (dispatch.Backend("a", share), dispatch.Backend("b", 1 - share)), 0,
        ms(1), ms(1), ms(1), dispatch.RetryPolicy.IDEMPOTENT, False, 1, True)
    count = sum(
        route.choose_service(f"id-{index}") == "a" for index in range(2000))
    assert abs(count / 2000 - share) < 0.04


def test_longest_prefix_selects_the_route():
    routes = [
        dispatch.Route(name, "h", prefix, (dispatch.Backend("a", 1),), 0, ms(1),
                       ms(1), ms(1), dispatch.RetryPolicy.IDEMPOTENT, False, 1,
                       True)
        for name, prefix in (("root", "/"), ("deep", "/a/b/"), ("mid", "/a/"))
    ]
    table = dispatch.RouteTable(1, routes, ())
    assert table.find_route("h", "/a/b/c").name == "deep"
    assert table.find_route("h", "/a/bc").name == "mid"
    assert table.find_route("h", "/x").name == "root"
    assert table.find_route("other", "/x") is None
