"""Requests that crash endpoints."""

import datetime

from mustardwood import errors
from mustardwood import messages
from mustardwood import routing
from mustardwood.routing.tests import world as world_module

_LOST = routing.AttemptEnd.LOST


def crash(world, endpoint):
    """Loses every connection to an endpoint."""
    running = [
        each for each in world.started
        if each.endpoint.name == endpoint and world.router.find_phase(
            each.request_id) in (routing.RequestPhase.SENDING,
                                 routing.RequestPhase.STREAMING)
    ]
    for each in running:
        world.end(_LOST, each)


def test_poison_is_convicted_after_two_crashes_and_innocents_run():
    world = world_module.World()
    for name in ("poison", "innocent"):
        world.ask(name)
        world.grant(name, "e1")
    crash(world, "e1")
    suspicion = world.last(messages.Suspicion)[1]
    assert suspicion.fingerprints == ("f-innocent", "f-poison")
    receivers = {
        peer for peer, each in world.sent
        if isinstance(each, messages.Suspicion)
    }
    assert receivers == {
        messages.Peer(ip, messages.Role.AGENT)
        for ip in world_module.IPS.values()
    }
    world.wait_for_ask("poison")
    world.wait_for_ask("innocent")
    assert world.last(messages.Ask, "poison")[1].suspect
    world.grant("poison", "e2")
    world.grant("innocent", "e3")
    crash(world, "e2")
    notice = world.last(messages.ConvictionNotice)[1]
    assert [each.fingerprint for each in notice.convictions] == ["f-poison"]
    error = world.errors["poison"]
    assert error.request_code is errors.RequestCode.SUSPECTED_POISON
    assert error.retry_after > datetime.timedelta()
    world.head(world.started[-1])
    world.finish("fine", world.started[-1])
    assert world.text("innocent") == "fine"
    world.ask("again", prompt="poison")
    assert world.errors["again"].status == 422
    assert world.errors["again"].ran is errors.RunState.NOT_RUN


def test_crash_with_two_suspects_convicts_nobody():
    world = world_module.World()
    world.view(version=2, suspects=("f-a", "f-b"))
    for name in ("a", "b"):
        world.ask(name)
        world.grant(name, "e1")
    crash(world, "e1")
    assert world.last(messages.ConvictionNotice) == (None, None)
    assert not world.errors


def test_suspect_of_another_vm_is_convicted_by_its_next_crash():
    world = world_module.World()
    world.view(version=2, suspects=("f-a",))
    for name in ("a", "b"):
        world.ask(name)
        world.grant(name, "e1")
    crash(world, "e1")
    assert world.errors["a"].status == 422
    assert "b" not in world.errors


def test_conviction_in_the_view_refuses_waiting_and_new_requests():
    world = world_module.World()
    world.ask("a")
    until = world.clock.now() + datetime.timedelta(minutes=5)
    world.view(version=2, convictions=(messages.Conviction("f-a", until),))
    assert world.errors["a"].status == 422
    sent = len(world.sent)
    world.ask("b", prompt="a", idempotency_key="k")
    assert world.errors["b"].status == 422
    assert len(world.sent) == sent
    assert not world.claims


def test_conviction_ends():
    world = world_module.World()
    until = world.clock.now() + datetime.timedelta(minutes=5)
    world.view(version=2, convictions=(messages.Conviction("f-a", until),))
    world.clock.advance(datetime.timedelta(minutes=5))
    world.ask("a")
    assert not world.errors


def test_suspects_run_apart_without_an_owner():
    world = world_module.World(world_module.make_document(endpoints=1))
    world.view(version=2, suspects=("f-a", "f-b"))
    world.ask("a")
    world.ask("b")
    world.wait(2.2)
    assert [each.request_id for each in world.started] == ["a"]
    world.head()
    world.finish("x")
    world.wait(0.1)
    assert [each.request_id for each in world.started] == ["a", "b"]
