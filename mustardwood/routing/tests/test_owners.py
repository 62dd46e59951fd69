"""Owners that fall silent, decline, come back or grant late."""

import datetime

from mustardwood import configuration
from mustardwood import messages
from mustardwood import routing
from mustardwood.routing.tests import world as world_module


def reply(world, peer, cell, delay=0.0):
    world.deliver(
        messages.OpenWorkReply(cell, 1, datetime.timedelta(seconds=delay)),
        peer)


def list_receivers(world, kind):
    return [peer.ip for peer, each in world.sent if isinstance(each, kind)]


def test_silent_owner_is_passed_over():
    world = world_module.World()
    world.ask()
    first, ask = world.last(messages.Ask)
    world.wait(1.1)
    silence = world.last(messages.Silence)
    assert silence[0] == world_module.AGENT
    assert world_module.IPS[silence[1].vm] == first.ip
    second, work = world.last(messages.OpenWork)
    receivers = list_receivers(world, messages.OpenWork)
    assert any(ip != first.ip for ip in receivers)
    assert work.cell == ask.cell
    taken = [
        each for peer, each in world.sent
        if isinstance(each, messages.OpenWork) and peer.ip != first.ip
    ]
    assert taken[-1].waiting[0].request_id == "r1"
    del second


def test_running_work_is_told_to_the_next_owner():
    world = world_module.World()
    world.ask()
    first = world.last(messages.Ask)[0]
    world.grant()
    world.head()
    world.token("a")
    world.wait(1.5)
    taken = [
        each for peer, each in world.sent
        if isinstance(each, messages.OpenWork) and peer.ip != first.ip
    ]
    assert taken[-1].running[0].endpoint == "e1"
    world.finish("b")
    assert world.text() == "ab"


def test_first_choice_is_asked_again_when_it_answers():
    world = world_module.World()
    world.ask()
    first, ask = world.last(messages.Ask)
    world.wait(1.1)
    reply(world, first, ask.cell)
    assert world.last(messages.OpenWork)[0] == first
    world.ask("r2")
    assert world.last(messages.Ask, "r2")[0] == first


def test_heartbeats_keep_an_owner_with_a_long_queue():
    world = world_module.World()
    world.ask()
    owner, ask = world.last(messages.Ask)
    for _ in range(20):
        world.wait(0.5)
        reply(world, owner, ask.cell)
    assert world.last(messages.Silence) == (None, None)
    assert set(list_receivers(world, messages.OpenWork)) == {owner.ip}
    assert not world.started


def test_declining_owner_is_passed_over_at_once():
    world = world_module.World()
    world.ask()
    first, ask = world.last(messages.Ask)
    world.deliver(
        messages.Refusal("r1", 1, ask.cell, messages.RefusalReason.STOPPING,
                         datetime.timedelta()), first)
    peer, work = world.last(messages.OpenWork)
    assert peer.ip != first.ip
    assert work.waiting[0].request_id == "r1"
    assert not world.errors
    reply(world, first, ask.cell)
    assert world.last(messages.OpenWork)[0].ip != first.ip
    for _ in range(8):
        world.wait(0.5)
        reply(world, peer, ask.cell)
    assert first.ip not in list_receivers(world, messages.OpenWork)


def test_entry_grants_to_itself_in_tier_order_without_owners():
    document = world_module.make_document(endpoints=1)
    world = world_module.World(document)
    for number in range(3):
        world.ask(f"low{number}", request_class=document.classes[1])
    for number in range(2):
        world.ask(f"high{number}")
    world.wait(2.2)
    assert [each.request_id for each in world.started] == ["high0", "high1"]
    world.head(world.started[0])
    world.finish("x", world.started[0])
    world.wait(0.1)
    assert world.started[-1].request_id == "low0"


def test_late_grant_is_given_back():
    world = world_module.World()
    world.ask()
    owner, ask = world.last(messages.Ask)
    world.run(world.router.handle_caller_disconnect("r1"))
    world.sent.clear()
    world.deliver(messages.Grant("r1", 1, ask.cell, "e1", 0), owner)
    withdrawal = messages.Withdrawal("r1", 1, ask.cell)
    assert world.sent == [(owner, withdrawal)]
    assert not world.started


def test_second_grant_of_another_owner_is_given_back():
    world = world_module.World()
    world.ask()
    owner, ask = world.last(messages.Ask)
    world.grant()
    other = messages.Peer("127.0.0.9", messages.Role.SCHEDULER)
    before = len(world.sent)
    world.grant(endpoint="e2", peer=other)
    assert world.sent[before:] == [(other,
                                    messages.Withdrawal("r1", 1, ask.cell))]
    world.grant(peer=owner)
    assert len(world.sent) == before + 1
    assert len(world.started) == 1


def test_grant_of_a_leaving_endpoint_is_not_used():
    world = world_module.World()
    world.ask()
    world.view(version=2, leaving=("e1",))
    world.grant()
    assert not world.started
    ask = world.last(messages.Ask)[1]
    assert ask.attempt == 2
    assert ask.excluded == ("e1",)


def test_grant_of_an_endpoint_marked_by_the_operators_is_not_used():
    world = world_module.World()
    world.ask()
    old = world.document.endpoints[0]
    marked = configuration.Endpoint(old.name,
                                    old.serves,
                                    old.url,
                                    old.zone,
                                    old.region,
                                    state=configuration.EndpointState.LEAVING)
    world.document = configuration.Document(
        classes=world.document.classes,
        default_class="tag",
        organisations=world.document.organisations,
        models=world.document.models,
        services=world.document.services,
        endpoints=(marked,) + world.document.endpoints[1:])
    world.view(version=2)
    world.grant()
    assert not world.started


def test_older_configuration_is_refused():
    world = world_module.World()
    world.view(version=5)
    world.view(version=4)
    assert world.router.view.version == 5
    assert world.last(messages.ViewAck)[1].version == 5


def test_refusal_is_final_with_the_time_to_come_back():
    world = world_module.World()
    world.ask()
    owner, ask = world.last(messages.Ask)
    world.deliver(
        messages.Refusal("r1", 1, ask.cell, messages.RefusalReason.QUEUE_FULL,
                         datetime.timedelta(seconds=7)), owner)
    error = world.errors["r1"]
    assert error.status == 429
    assert error.retry_after == datetime.timedelta(seconds=7)
    assert world.router.find_phase("r1") is routing.RequestPhase.ENDED


def test_shorter_queue_is_chosen_of_two_cells():
    world = world_module.World(world_module.make_document(endpoints=20))
    delays = {"m/r/0": 9.0, "m/r/1": 1.0}
    for cell, delay in delays.items():
        for ip in world_module.IPS.values():
            reply(world, messages.Peer(ip, messages.Role.SCHEDULER), cell,
                  delay)
    for number in range(5):
        world.ask(f"r{number}")
        assert world.last(messages.Ask)[1].cell == "m/r/1"
