"""Requests that crash the endpoints that run them."""

from mustardwood import dispatch
from mustardwood.dispatch import crash_record
from mustardwood.dispatch.tests import world as world_module

ms = world_module.ms


def _crash_next(world, request):
    """Sends a request once; the endpoint that gets it is lost."""
    known = len(world.client.sent)
    _, caller = world.start(request)
    if len(world.client.sent) == known:
        return caller, None
    attempt = world.client.sent[-1]
    attempt.listener.receive_failure(True, "connection lost")
    return caller, attempt.endpoint.name


def _make_poison(world, request_id):
    return world_module.make_request(world,
                                     request_id=request_id,
                                     repeat=dispatch.RepeatPolicy.AT_MOST_ONCE,
                                     body=b"poison")


def test_request_that_crashed_three_endpoints_reaches_no_fourth():
    world = world_module.World(endpoints=6)
    lost = set()
    for index in range(8):
        caller, endpoint = _crash_next(world,
                                       _make_poison(world, f"id-{index}"))
        assert caller.status == 502
        lost.add(endpoint)
        world.scheduler.advance(ms(500))
    assert len(lost - {None}) == 3
    assert len(world.client.sent) == 3


def test_repeat_within_one_attempt_ends_with_the_third_crash():
    world = world_module.World(endpoints=6)
    _, caller = world.start(
        world_module.make_request(world, body=b"poison", most_runs=9))
    for _ in range(3):
        world.client.sent[-1].listener.receive_failure(True, "connection lost")
    assert len(world.client.sent) == 3
    assert caller.status == 502


def test_other_requests_are_served_after_a_conviction():
    world = world_module.World(endpoints=6)
    for index in range(3):
        _crash_next(world, _make_poison(world, f"id-{index}"))
    _, caller = world.start(world_module.make_request(world, body=b"sound"))
    world.client.sent[-1].answer(body=b"whole")
    assert caller.status == 200


def test_answers_lost_by_the_way_do_not_convict_a_request_that_succeeds():
    world = world_module.World(endpoints=9)
    for index in range(6):
        _crash_next(world, _make_poison(world, f"id-{index}"))
        world.crashes.record_success(
            crash_record.find_fingerprint(_make_poison(world, "other")))
    assert len(world.client.sent) == 6


def test_request_that_succeeded_before_is_served_after_an_outage_of_all():
    """Many callers send it, and each endpoint resets it for a while."""
    world = world_module.World(endpoints=4)
    world.start(_make_poison(world, "before"))
    world.client.sent[-1].answer(body=b"whole")
    for index in range(8):
        _crash_next(world, _make_poison(world, f"id-{index}"))
    assert len(world.client.sent) == 9


def test_broken_answer_with_a_head_is_no_crash_of_the_start():
    world = world_module.World(endpoints=9)
    for index in range(5):
        world.start(_make_poison(world, f"id-{index}"))
        world.client.sent[-1].begin()
        world.client.sent[-1].listener.receive_failure(True, "connection lost")
    assert len(world.client.sent) == 5


def test_conviction_ends_after_a_minute():
    world = world_module.World(endpoints=6)
    for index in range(3):
        _crash_next(world, _make_poison(world, f"id-{index}"))
    world.scheduler.advance(ms(61_000))
    _crash_next(world, _make_poison(world, "later"))
    assert len(world.client.sent) == 4


def test_losses_are_told_for_a_moment_and_in_bounded_number():
    world = world_module.World()
    for index in range(100):
        world.crashes.record_loss(f"request-{index}", "endpoint-1")
    assert 0 < len(world.crashes.list_news()) <= 32
    world.scheduler.advance(ms(1100))
    assert not world.crashes.list_news()
