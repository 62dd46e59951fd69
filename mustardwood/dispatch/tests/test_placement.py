"""Tests of the placement under various load patterns, and of routes."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch import placement as placement_module
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _choose(harness, request, tried=()):
    choice = harness.placement.choose(request, harness.list_usable(),
                                      set(tried))
    return choice if isinstance(choice, placement_module.Choice) else None


def _place(harness, request):
    choice = _choose(harness, request)
    if choice is not None:
        harness.loads.add(choice.endpoint.name, choice.load)
        harness.prefix_caches.record_request(choice.endpoint.name, request,
                                             choice.is_preferred)
    return choice


def _finish_prefill(harness, choice):
    """Removes the prefill of a choice from the load table."""
    harness.loads.subtract(
        choice.endpoint.name,
        dispatch.EndpointLoad(prefill_tokens=choice.load.prefill_tokens))


def test_prefix_is_sent_to_the_same_engine_by_all_vms():
    harness = harness_module.Harness(endpoints=6)
    preferred_engines = {
        _choose(harness,
                harness_module.make_long_request(harness,
                                                 "subject-7")).endpoint.name
        for _ in range(5)
    }
    assert len(preferred_engines) == 1
    other = harness_module.Harness(endpoints=6)
    assert {
        _choose(other,
                harness_module.make_long_request(other,
                                                 "subject-7")).endpoint.name
    } == preferred_engines


def test_removed_engine_moves_only_its_own_prefixes():
    harness = harness_module.Harness(endpoints=8)
    prefix_keys = [f"subject-{index}" for index in range(60)]
    before = {
        each:
            _choose(harness,
                    harness_module.make_long_request(harness,
                                                     each)).endpoint.name
        for each in prefix_keys
    }
    lost = before[prefix_keys[0]]
    harness.directory.remove_endpoint(lost)
    after = {
        each:
            _choose(harness,
                    harness_module.make_long_request(harness,
                                                     each)).endpoint.name
        for each in prefix_keys
    }
    moved = [each for each in prefix_keys if before[each] != after[each]]
    # Besides the removed engine, one may change sides of the partition.
    assert len(moved) <= 2 * len(prefix_keys) / 5


def _start_interactive_streams(harness, count):
    for index in range(count):
        _place(
            harness,
            harness_module.make_stream_request(
                harness,
                prompt=harness_module.make_prompt(f"q-{index}", 800, 200)))
        harness.clock.advance(ms(250))


def test_interactive_streams_get_a_gap_between_prefills():
    """Continuous prefill would delay every event of the streams slightly."""
    harness = harness_module.Harness(endpoints=1)
    stream = harness_module.make_stream_request(
        harness,
        inter_event_target=ms(250),
        prompt=harness_module.make_prompt("interactive", 800, 200))
    _finish_prefill(harness, _place(harness, stream))
    prompt = harness_module.make_prompt("other", 3000, 0)
    placed = []
    for _ in range(2):
        placed.append(
            _place(harness,
                   harness_module.make_stream_request(harness, prompt=prompt)))
    assert None not in placed
    # A slow engine takes 250 ms for six steps, four of which prefill a chunk.
    harness.clock.advance(ms(60))
    _finish_prefill(harness, placed[0])
    assert _place(harness,
                  harness_module.make_stream_request(harness,
                                                     prompt=prompt)) is None
    harness.clock.advance(ms(60))
    for choice in placed[1:]:
        _finish_prefill(harness, choice)
    assert _place(harness,
                  harness_module.make_stream_request(harness, prompt=prompt))


def test_prefills_are_continuous_without_interactive_streams():
    harness = harness_module.Harness(endpoints=1)
    prompt = harness_module.make_prompt("other", 3000, 0)
    for _ in range(6):
        assert _place(
            harness,
            harness_module.make_stream_request(harness,
                                               inter_event_target=ms(1000),
                                               prompt=prompt))


def test_burst_of_long_prompts_avoids_reserved_engines():
    harness = harness_module.Harness(endpoints=8)
    _start_interactive_streams(harness, 24)
    engines = harness.placement.find_long_prompt_engines(
        "engine", harness.list_usable())
    choices = [
        _place(harness, harness_module.make_long_request(harness, f"s-{index}"))
        for index in range(40)
    ]
    taken = {each.endpoint.name for each in choices if each is not None}
    assert 4 <= len(engines) <= 6
    assert taken <= engines
    # Prompts wait if the engines can't prefill them within half a second.
    assert None in choices


def test_long_prompt_waits_if_only_reserved_engines_have_room():
    """Engines for long prompts crash during a burst, and the last is full."""
    harness = harness_module.Harness(endpoints=9)
    for index in range(60):
        prompt = harness_module.make_prompt(f"q-{index}", 800, 200)
        _finish_prefill(
            harness,
            _place(harness,
                   harness_module.make_stream_request(harness, prompt=prompt)))
        harness.clock.advance(ms(250))
    long_prompt_engines = harness.placement.find_long_prompt_engines(
        "engine", harness.list_usable())
    for each in harness.list_usable():
        if each.name not in long_prompt_engines:
            harness.loads.add(
                each.name,
                dispatch.EndpointLoad(requests=5, interactive_streams=5))
    for lost in sorted(long_prompt_engines)[:-1]:
        harness.health.record_unreachable(lost)
    harness.loads.add(max(long_prompt_engines),
                      dispatch.EndpointLoad(requests=64))
    request = harness_module.make_long_request(harness, "burst")
    assert _choose(harness, request) is None
    # The crashed engines are tried again after their avoid time.
    harness.clock.advance(ms(800))
    assert _choose(harness, request).endpoint.name in long_prompt_engines


@pytest.mark.parametrize("inter_event_target, max_count", [(250, 5), (400, 7)])
def test_shorter_event_targets_reserve_more_engines(inter_event_target,
                                                    max_count):
    harness = harness_module.Harness(endpoints=10)
    for index in range(60):
        choice = _place(
            harness,
            harness_module.make_stream_request(
                harness,
                inter_event_target=ms(inter_event_target),
                prompt=harness_module.make_prompt(f"q-{index}", 800, 200)))
        _finish_prefill(harness, choice)
        harness.clock.advance(ms(250))
    engines = harness.placement.find_long_prompt_engines(
        "engine", harness.list_usable())
    assert max_count - 1 <= len(engines) <= max_count


@pytest.mark.parametrize("per_second, reserved", [(8, 2), (20, 2), (64, 3)])
def test_no_more_engines_are_reserved_than_interactive_streams_need(
        per_second, reserved):
    """Streams of 2 s with 400 tokens, each of which needs 0.07 s of an engine.
    """
    harness = harness_module.Harness(endpoints=5)
    running = []
    for index in range(per_second * 10):
        request = harness_module.make_stream_request(
            harness,
            request_id=f"id-{index}",
            prompt=harness_module.make_prompt(f"q-{index}", 800, 200))
        harness.admission.record_arrival(request, harness.list_usable())
        choice = _place(harness, request)
        if choice is not None:
            _finish_prefill(harness, choice)
            running.append(choice)
        if len(running) > 2 * per_second:
            ended = running.pop(0)
            harness.loads.subtract(
                ended.endpoint.name,
                dispatch.EndpointLoad(requests=1,
                                      interactive_streams=1,
                                      held_tokens=ended.load.held_tokens))
        harness.clock.advance(ms(1_000 / per_second))
    engines = harness.placement.find_long_prompt_engines(
        "engine", harness.list_usable())
    assert len(engines) == 5 - reserved


def test_reserved_engines_are_released_when_interactive_streams_end():
    harness = harness_module.Harness(endpoints=10)
    _start_interactive_streams(harness, 60)
    before = harness.placement.find_long_prompt_engines("engine",
                                                        harness.list_usable())
    for name, load in harness.loads.list_own_loads().items():
        harness.loads.subtract(name, load)
    for _ in range(60):
        harness.clock.advance(ms(250))
        after = harness.placement.find_long_prompt_engines(
            "engine", harness.list_usable())
    assert before < after


def test_interactive_streams_are_spread_over_the_engines():
    harness = harness_module.Harness(endpoints=8)
    _start_interactive_streams(harness, 40)
    max_count = max(
        load.requests for load in harness.loads.list_own_loads().values())
    assert max_count <= 20


def test_long_prompt_waits_for_its_preferred_engine_then_uses_another():
    harness = harness_module.Harness(endpoints=6)
    preferred = _place(harness,
                       harness_module.make_long_request(harness)).endpoint.name
    while (choice :=
           _place(harness,
                  harness_module.make_long_request(harness))) is not None:
        assert choice.endpoint.name == preferred
    waiting = harness_module.make_long_request(harness)
    assert _choose(harness, waiting) is None
    harness.clock.advance(harness.settings.affinity_targets *
                          waiting.first_byte_target)
    assert _choose(harness, waiting).endpoint.name != preferred


def test_prompt_above_the_prefill_limit_is_sent_to_an_idle_engine():
    harness = harness_module.Harness(endpoints=2)
    assert _place(harness,
                  harness_module.make_long_request(harness, tokens=54_000))


def test_load_of_peers_is_considered():
    harness = harness_module.Harness(endpoints=2)
    harness.loads.set_peer_loads("vm-2", {
        "endpoint-0": dispatch.EndpointLoad(requests=50),
    })
    choice = _choose(harness, harness_module.make_request(harness))
    assert choice.endpoint.name == "endpoint-1"


def test_load_report_of_a_silent_peer_expires():
    harness = harness_module.Harness(endpoints=2)
    harness.loads.set_peer_loads("vm-2", {
        "endpoint-0": dispatch.EndpointLoad(requests=50),
    })
    harness.clock.advance(ms(1100))
    assert harness.loads.find_load("endpoint-0").requests == 0
    assert harness.loads.count_peers() == 0


def test_nearly_full_engines_accept_urgent_requests_only():
    harness = harness_module.Harness(endpoints=2, slots=10)
    for name in ("endpoint-0", "endpoint-1"):
        harness.loads.add(name, dispatch.EndpointLoad(requests=9))
    assert _choose(harness, harness_module.make_long_request(harness)) is None
    assert _choose(harness,
                   harness_module.make_stream_request(harness,
                                                      tier=0)) is not None


@pytest.mark.parametrize("field, step, count", [("requests", 1, 40),
                                                ("prefill_tokens", 500, 120),
                                                ("held_tokens", 500, 220)])
def test_each_more_urgent_tier_has_room_where_a_less_urgent_one_has_none(
        field, step, count):
    """Requests of the least urgent tier fill the engine during a burst."""
    tier_count = 6
    limits = []
    for tier in range(tier_count):
        harness = harness_module.Harness(endpoints=1,
                                         slots=12,
                                         memory_tokens=100_000)
        request = harness_module.make_long_request(harness,
                                                   tokens=5_000,
                                                   tier=tier,
                                                   tier_count=tier_count)
        harness.loads.add("endpoint-0", dispatch.EndpointLoad(requests=1))
        added = 0
        while _choose(harness, request) is not None and added < count:
            harness.loads.add("endpoint-0",
                              dispatch.EndpointLoad(**{field: step}))
            added += 1
        limits.append(added)
    assert limits == sorted(set(limits), reverse=True)
    assert limits[0] < count


def test_each_more_urgent_tier_may_prolong_continuous_prefill():
    tier_count = 6
    longest = []
    for tier in range(tier_count):
        harness = harness_module.Harness(endpoints=1)
        request = harness_module.make_stream_request(harness,
                                                     tier=tier,
                                                     tier_count=tier_count)
        _finish_prefill(harness, _place(harness, request))
        harness.loads.add("endpoint-0",
                          dispatch.EndpointLoad(prefill_tokens=4_000))
        waited = 0
        while _choose(harness, request) is not None and waited < 1_000:
            harness.clock.advance(ms(1))
            waited += 1
        longest.append(waited)
    assert longest == sorted(set(longest), reverse=True)
    assert longest[0] < 1_000


def test_requests_on_an_engine_are_limited_by_its_memory():
    harness = harness_module.Harness(endpoints=1, memory_tokens=100_000)
    placed = 0
    while (choice :=
           _place(harness,
                  harness_module.make_long_request(harness,
                                                   f"s-{placed}"))) is not None:
        # The prompt is prefilled, and its stream continues.
        harness.loads.subtract(
            choice.endpoint.name,
            dispatch.EndpointLoad(prefill_tokens=choice.load.prefill_tokens))
        placed += 1
    assert 5 <= placed <= 12


def test_failing_endpoint_is_ranked_last_but_not_excluded():
    harness = harness_module.Harness(endpoints=2)
    for _ in range(5):
        harness.health.record_failure("endpoint-0")
    assert _choose(
        harness,
        harness_module.make_request(harness)).endpoint.name == "endpoint-1"
    assert _choose(harness, harness_module.make_request(harness),
                   ["endpoint-1"]).endpoint.name == "endpoint-0"


def test_unreachable_endpoint_is_avoided_for_a_limited_time():
    harness = harness_module.Harness(endpoints=2)
    harness.health.record_unreachable("endpoint-0")
    assert harness.health.is_avoided("endpoint-0")
    harness.clock.advance(ms(800))
    assert not harness.health.is_avoided("endpoint-0")


def test_restarted_endpoint_has_an_empty_cache():
    harness = harness_module.Harness(endpoints=2)
    request = harness_module.make_long_request(harness)
    harness.prefix_caches.record_request("endpoint-0",
                                         request,
                                         is_preferred=True)
    assert "endpoint-0" in harness.prefix_caches.list_holders(request)
    harness.prefix_caches.forget_endpoint("endpoint-0")
    assert "endpoint-0" not in harness.prefix_caches.list_holders(request)


@pytest.mark.parametrize("share", [0.2, 0.8])
def test_requests_are_divided_by_backend_weights(share):
    route = dispatch.Route("r", "h", "/", (dispatch.RouteTarget(
        "a", share), dispatch.RouteTarget("b", 1 - share)), 0, ms(1), ms(1),
                           ms(1), dispatch.RetryPolicy.IDEMPOTENT, False, 1,
                           True)
    count = sum(
        route.choose_service(f"id-{index}") == "a" for index in range(2000))
    assert abs(count / 2000 - share) < 0.04


def test_route_with_the_longest_path_prefix_is_found():
    routes = [
        dispatch.Route(name, "h", prefix, (dispatch.RouteTarget("a", 1),), 0,
                       ms(1), ms(1), ms(1), dispatch.RetryPolicy.IDEMPOTENT,
                       False, 1, True)
        for name, prefix in (("root", "/"), ("deep", "/a/b/"), ("mid", "/a/"))
    ]
    table = dispatch.RouteTable(1, routes, ())
    assert table.find_route("h", "/a/b/c").name == "deep"
    assert table.find_route("h", "/a/bc").name == "mid"
    assert table.find_route("h", "/x").name == "root"
    assert table.find_route("other", "/x") is None
