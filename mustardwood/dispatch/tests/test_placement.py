"""Where requests go under the loads that the placement answers."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import world as world_module

ms = world_module.ms


def _choose(world, request, tried=()):
    return world.placement.choose(request, world.usable(), set(tried))


def _place(world, request):
    choice = _choose(world, request)
    if choice is not None:
        world.loads.add(choice.endpoint.name, choice.load)
        world.memory.record(choice.endpoint.name, request, choice.is_home)
    return choice


def _read(world, choice):
    """Ends the prefill of a choice."""
    world.loads.subtract(
        choice.endpoint.name,
        dispatch.EndpointLoad(prefill_tokens=choice.load.prefill_tokens))


def test_subject_returns_to_the_engine_that_read_it():
    world = world_module.World(endpoints=6)
    homes = {
        _choose(world, world_module.make_long(world, "subject-7")).endpoint.name
        for _ in range(5)
    }
    assert len(homes) == 1
    other = world_module.World(endpoints=6)
    assert {
        _choose(other, world_module.make_long(other, "subject-7")).endpoint.name
    } == homes


def test_loss_of_an_engine_moves_only_its_own_subjects():
    world = world_module.World(endpoints=8)
    subjects = [f"subject-{index}" for index in range(60)]
    before = {
        each: _choose(world, world_module.make_long(world, each)).endpoint.name
        for each in subjects
    }
    lost = before[subjects[0]]
    world.directory.remove_endpoint(lost)
    after = {
        each: _choose(world, world_module.make_long(world, each)).endpoint.name
        for each in subjects
    }
    moved = [each for each in subjects if before[each] != after[each]]
    # One engine may change sides of the split besides the lost one.
    assert len(moved) <= 2 * len(subjects) / 5


def _start_brisk_streams(world, count):
    for index in range(count):
        _place(
            world,
            world_module.make_stream(world,
                                     prompt=world_module.make_prompt(
                                         f"q-{index}", 800, 200)))
        world.clock.advance(ms(250))


def test_streams_with_tight_pauses_get_a_break_between_prompts():
    """Prompts that follow each other would delay every piece by a little."""
    world = world_module.World(endpoints=1)
    stream = world_module.make_stream(world,
                                      piece_aim=ms(250),
                                      prompt=world_module.make_prompt(
                                          "brisk", 800, 200))
    _read(world, _place(world, stream))
    prompt = world_module.make_prompt("other", 3000, 0)
    placed = []
    for _ in range(2):
        placed.append(
            _place(world, world_module.make_stream(world, prompt=prompt)))
    assert None not in placed
    # A slow engine takes 250 ms for six steps of which four read a chunk.
    world.clock.advance(ms(60))
    _read(world, placed[0])
    assert _place(world, world_module.make_stream(world, prompt=prompt)) is None
    world.clock.advance(ms(60))
    for choice in placed[1:]:
        _read(world, choice)
    assert _place(world, world_module.make_stream(world, prompt=prompt))


def test_prompts_follow_each_other_where_no_stream_is_tight():
    world = world_module.World(endpoints=1)
    prompt = world_module.make_prompt("other", 3000, 0)
    for _ in range(6):
        assert _place(
            world,
            world_module.make_stream(world, piece_aim=ms(1000), prompt=prompt))


def test_rush_of_long_prompts_stays_off_the_engines_of_brisk_streams():
    world = world_module.World(endpoints=8)
    _start_brisk_streams(world, 24)
    engines = world.placement.find_long_engines("engine", world.usable())
    places = [
        _place(world, world_module.make_long(world, f"s-{index}"))
        for index in range(40)
    ]
    taken = {each.endpoint.name for each in places if each is not None}
    assert 4 <= len(engines) <= 6
    assert taken <= engines
    # What the engines can't read within half a second waits.
    assert None in places


def test_long_prompt_waits_rather_than_delay_the_streams_of_other_engines():
    """Engines of long prompts crash in a rush, and the last one is full."""
    world = world_module.World(endpoints=9)
    for index in range(60):
        prompt = world_module.make_prompt(f"q-{index}", 800, 200)
        _read(world,
              _place(world, world_module.make_stream(world, prompt=prompt)))
        world.clock.advance(ms(250))
    long_engines = world.placement.find_long_engines("engine", world.usable())
    for each in world.usable():
        if each.name not in long_engines:
            world.loads.add(each.name,
                            dispatch.EndpointLoad(places=5, brisk_streams=5))
    for lost in sorted(long_engines)[:-1]:
        world.health.record_unreachable(lost)
    world.loads.add(max(long_engines), dispatch.EndpointLoad(places=64))
    request = world_module.make_long(world, "rush")
    assert _choose(world, request) is None
    # The lost engines are tried again after a moment.
    world.clock.advance(ms(800))
    assert _choose(world, request).endpoint.name in long_engines


@pytest.mark.parametrize("piece_aim, most", [(250, 5), (400, 7)])
def test_tighter_pauses_keep_more_engines_free_of_long_prompts(piece_aim, most):
    world = world_module.World(endpoints=10)
    for index in range(60):
        choice = _place(
            world,
            world_module.make_stream(world,
                                     piece_aim=ms(piece_aim),
                                     prompt=world_module.make_prompt(
                                         f"q-{index}", 800, 200)))
        _read(world, choice)
        world.clock.advance(ms(250))
    engines = world.placement.find_long_engines("engine", world.usable())
    assert most - 1 <= len(engines) <= most


def test_free_engines_return_when_brisk_streams_end():
    world = world_module.World(endpoints=10)
    _start_brisk_streams(world, 60)
    before = world.placement.find_long_engines("engine", world.usable())
    for name, load in world.loads.list_own().items():
        world.loads.subtract(name, load)
    for _ in range(60):
        world.clock.advance(ms(250))
        after = world.placement.find_long_engines("engine", world.usable())
    assert before < after


def test_brisk_streams_spread_before_one_engine_is_full():
    world = world_module.World(endpoints=8)
    _start_brisk_streams(world, 40)
    most = max(load.places for load in world.loads.list_own().values())
    assert most <= 20


def test_long_prompt_waits_for_its_home_then_goes_elsewhere():
    world = world_module.World(endpoints=6)
    home = _place(world, world_module.make_long(world)).endpoint.name
    while (choice := _place(world, world_module.make_long(world))) is not None:
        assert choice.endpoint.name == home
    waiting = world_module.make_long(world)
    assert _choose(world, waiting) is None
    world.clock.advance(world.settings.moving_aims * waiting.first_byte_aim)
    assert _choose(world, waiting).endpoint.name != home


def test_prompt_longer_than_the_bound_goes_to_an_engine_without_others():
    world = world_module.World(endpoints=2)
    assert _place(world, world_module.make_long(world, tokens=54_000))


def test_load_of_peers_counts():
    world = world_module.World(endpoints=2)
    world.loads.set_peer("vm-2", {
        "endpoint-0": dispatch.EndpointLoad(places=50),
    })
    choice = _choose(world, world_module.make_request(world))
    assert choice.endpoint.name == "endpoint-1"


def test_load_of_silent_peer_stops_counting():
    world = world_module.World(endpoints=2)
    world.loads.set_peer("vm-2", {
        "endpoint-0": dispatch.EndpointLoad(places=50),
    })
    world.clock.advance(ms(1100))
    assert world.loads.find_load("endpoint-0").places == 0
    assert world.loads.count_peers() == 0


def test_full_engines_leave_no_room_for_the_least_urgent():
    world = world_module.World(endpoints=2, slots=10)
    for name in ("endpoint-0", "endpoint-1"):
        world.loads.add(name, dispatch.EndpointLoad(places=9))
    assert _choose(world, world_module.make_long(world)) is None
    assert _choose(world, world_module.make_stream(world, tier=0)) is not None


def test_memory_bounds_what_an_engine_is_given():
    world = world_module.World(endpoints=1, memory_tokens=100_000)
    placed = 0
    while (choice := _place(world,
                            world_module.make_long(world,
                                                   f"s-{placed}"))) is not None:
        # The prompt is read, and its stream goes on.
        world.loads.subtract(
            choice.endpoint.name,
            dispatch.EndpointLoad(prefill_tokens=choice.load.prefill_tokens))
        placed += 1
    assert 5 <= placed <= 12


def test_failing_endpoint_is_last_but_not_excluded():
    world = world_module.World(endpoints=2)
    for _ in range(5):
        world.health.record_failure("endpoint-0")
    assert _choose(
        world, world_module.make_request(world)).endpoint.name == "endpoint-1"
    assert _choose(world, world_module.make_request(world),
                   ["endpoint-1"]).endpoint.name == "endpoint-0"


def test_unreachable_endpoint_is_tried_again_after_a_while():
    world = world_module.World(endpoints=2)
    world.health.record_unreachable("endpoint-0")
    assert world.health.is_avoided("endpoint-0")
    world.clock.advance(ms(800))
    assert not world.health.is_avoided("endpoint-0")


def test_restarted_endpoint_holds_nothing():
    world = world_module.World(endpoints=2)
    request = world_module.make_long(world)
    world.memory.record("endpoint-0", request, is_home=True)
    assert "endpoint-0" in world.memory.list_holders(request)
    world.memory.forget("endpoint-0")
    assert "endpoint-0" not in world.memory.list_holders(request)


@pytest.mark.parametrize("share", [0.2, 0.8])
def test_weights_divide_a_route(share):
    route = dispatch.Route(
        "r", "h",
        "/", (dispatch.Target("a", share), dispatch.Target("b", 1 - share)), 0,
        ms(1), ms(1), ms(1), dispatch.RepeatPolicy.IDEMPOTENT, False, 1, True)
    count = sum(
        route.choose_service(f"id-{index}") == "a" for index in range(2000))
    assert abs(count / 2000 - share) < 0.04


def test_longest_prefix_selects_the_route():
    routes = [
        dispatch.Route(name, "h", prefix, (dispatch.Target("a", 1),), 0, ms(1),
                       ms(1), ms(1), dispatch.RepeatPolicy.IDEMPOTENT, False, 1,
                       True)
        for name, prefix in (("root", "/"), ("deep", "/a/b/"), ("mid", "/a/"))
    ]
    table = dispatch.RouteTable(1, routes, ())
    assert table.find_route("h", "/a/b/c").name == "deep"
    assert table.find_route("h", "/a/bc").name == "mid"
    assert table.find_route("h", "/x").name == "root"
    assert table.find_route("other", "/x") is None
