"""Tests of the election by VMs around the simulated store, in virtual time.

`duty_fleet.World` asserts the promises of leadership after each step.
"""

import base64

import pytest

from mustardwood.platform import duty_leadership
from mustardwood.platform.tests import duty_fleet

ms = duty_fleet.ms
_MAX_TAKEOVER_MS = 5000
"""Time within which a killed holder must be replaced."""


def _make_world(count=4, seed=1):
    """Returns a world in which a VM holds the term, and that VM."""
    world = duty_fleet.World(seed, count)
    name, _ = world.wait_for_holder()
    world.run(5000)
    assert world.find_holders() == [name]
    return world, world.vms[name]


def _count_calls(vm, path):
    return len([target for _, target in vm.pool.calls if path in target])


def _list_reasons(vm):
    return [fields["reason"] for fields in vm.find_events("term_ended")]


def test_all_vms_know_the_holder_and_its_token():
    """Duties that send to the holder need its name on every VM."""
    world, holder = _make_world()
    item = world.store.find(duty_leadership.LEADER_KEY)
    assert holder.name.encode() in base64.b64decode(item["value"])
    for vm in world.vms.values():
        assert vm.leadership.holder == holder.name
        assert vm.leadership.token == 2**40 + item["revision"]
        assert vm.leadership.candidates == holder.leadership.candidates


@pytest.mark.parametrize("seed", range(5))
def test_killed_holder_is_replaced_in_time(seed):
    """The holder is killed; its lease must run out first."""
    world, holder = _make_world(seed=seed)
    world.kill_vm(holder.name)
    successor, took_ms = world.wait_for_holder()
    assert successor != holder.name
    assert took_ms <= _MAX_TAKEOVER_MS


def test_killed_holder_is_replaced_although_the_store_is_slow():
    """Each answer takes 0.4 s; the term must not move before the kill."""
    world, holder = _make_world()
    for vm in world.vms.values():
        vm.pool.slowdown_ms = 200
    world.run(20_000)
    assert world.find_holders() == [holder.name]
    world.kill_vm(holder.name)
    _, took_ms = world.wait_for_holder()
    assert took_ms <= _MAX_TAKEOVER_MS + 1500


def test_terminated_holder_is_replaced_without_waiting_for_its_lease():
    """SIGTERM ends the lease, so that duties pause for a second or two."""
    world, holder = _make_world()
    holder.terminate()
    assert holder.leadership.find_term() is None
    _, took_ms = world.wait_for_holder()
    assert took_ms <= 2000
    assert _list_reasons(holder) == ["stopped"]


def test_frozen_holder_does_not_act_when_it_is_resumed():
    """A VM that was suspended for longer than its lease is frozen."""
    world, holder = _make_world()
    holder.freeze()
    world.run(10_000)
    successor, _ = world.wait_for_holder()
    assert successor != holder.name
    holder.thaw(world.now)
    assert holder.leadership.find_term() is None
    world.run(10_000)
    assert world.find_holders() == [successor]
    assert _list_reasons(holder) == ["expired"]
    assert holder.leadership.holder == successor


@pytest.mark.parametrize("direction", ["both", "answers"])
def test_holder_that_is_cut_off_is_replaced(direction):
    """Its calls do not arrive, or their answers do not.

    In the latter case its renewals would keep the key without a holder.
    """
    world, holder = _make_world()
    if direction == "both":
        holder.pool.is_cut = True
    else:
        holder.pool.loses_answers = True
    start = world.now
    while holder.leadership.find_term() is not None:
        world.run(20)
    successor, _ = world.wait_for_holder()
    assert successor != holder.name
    assert world.now - start <= ms(6500)
    holder.pool.is_cut = holder.pool.loses_answers = False
    world.run(15_000)
    assert world.find_holders() == [successor]


def test_short_outage_of_the_store_does_not_move_the_term():
    """A handover costs calls of all VMs."""
    world, holder = _make_world()
    world.store.leave(world.rng)
    world.run(1200)
    world.store.is_away = False
    world.run(10_000)
    assert world.find_holders() == [holder.name]
    assert not _list_reasons(holder)


def test_term_is_acquired_again_after_a_long_outage_of_the_store():
    """Nobody can tell who holds the term while the store is away."""
    world, holder = _make_world()
    world.store.leave(world.rng)
    world.run(10_000)
    assert not world.find_holders()
    world.store.is_away = False
    world.wait_for_holder(limit_ms=8000)
    assert _list_reasons(holder) == ["expired"]


@pytest.mark.parametrize("age_ms", [1000, 4000, 30_000])
def test_restore_ends_the_term_and_its_successor_has_a_higher_token(age_ms):
    """The copy shows the key or is older than the term.

    The holder of that time acquires the term again, since the others have to
    wait for its lease.
    """
    world = duty_fleet.World(1, 4)
    early = world.store.copy()
    name, _ = world.wait_for_holder()
    world.run(20_000)
    holder = world.vms[name]
    copy = world.store.copy()
    token = holder.leadership.find_term().token
    if age_ms == 30_000:
        copy = early
    else:
        world.run(age_ms)
    world.store.restore(copy)
    while holder.leadership.find_term() is not None:
        world.run(20)
    assert _list_reasons(holder) == ["store_restored"]
    successor, _ = world.wait_for_holder(limit_ms=4000)
    assert successor == name
    assert holder.leadership.find_term().token > token
    world.run(15_000)
    assert world.find_holders() == [name]


def test_holder_that_does_not_learn_of_a_restore_is_waited_for():
    """The copy is older than the term, and no answer reaches the holder.

    It acts until its lease would have ended, which the store has forgotten.
    """
    world = duty_fleet.World(1, 4)
    copy = world.store.copy()
    name, _ = world.wait_for_holder()
    world.run(6000)
    world.vms[name].pool.loses_answers = True
    world.store.restore(copy)
    world.run(1500)
    assert world.find_holders() == [name]
    world.run(1500)
    successor, _ = world.wait_for_holder(limit_ms=4000)
    assert successor != name


def test_answer_to_a_renewal_that_was_held_up_does_not_prolong_the_term():
    """The holder is suspended after it sent the renewal, and then cut off.

    Its lease ends in the store a lease's time after the renewal arrived there,
    whenever the answer is read.
    """
    world, holder = _make_world()
    holder.pool.slowdown_ms = 30
    world.run(2000)
    lease_id = world.store.find(duty_leadership.LEADER_KEY)["lease_id"]
    sent = _count_calls(holder, f"kv-keep/{lease_id}")
    while _count_calls(holder, f"kv-keep/{lease_id}") == sent:
        world.run(20)
    sent_at = world.now
    holder.freeze()
    # The term has not ended yet when the answer is read.
    expires_at = holder.leadership.find_term().expires_at
    world.run((expires_at - world.now) // ms(1) - 40)
    holder.thaw(world.now)
    holder.pool.is_cut = True
    term = holder.leadership.find_term()
    assert sent_at + ms(2400) < term.expires_at <= sent_at + ms(2500)
    successor = holder.name
    while successor == holder.name:
        world.run(20)
        successor = (world.find_holders() or [holder.name])[0]
    world.run(5000)
    assert world.find_holders() == [successor]


def test_others_acquire_the_term_when_the_holder_is_lost_in_a_restore():
    """Nobody ends a lease that the store has forgotten."""
    world, holder = _make_world()
    copy = world.store.copy()
    world.kill_vm(holder.name)
    world.run(1000)
    world.store.restore(copy)
    _, took_ms = world.wait_for_holder()
    assert took_ms <= 2 * _MAX_TAKEOVER_MS


@pytest.mark.parametrize("late_ms", [10, 1000, 2500, 5000])
def test_lost_answers_to_acquiring_writes_do_no_harm(late_ms):
    """Such a write may take effect seconds later, or be repeated."""
    world, holder = _make_world()
    for vm in world.vms.values():
        vm.pool.late_writes = 1
        vm.pool.late_by = ms(late_ms)
    world.kill_vm(holder.name)
    world.wait_for_holder(limit_ms=12_000)
    world.run(20_000)
    assert len(world.find_holders()) == 1


def test_key_written_by_someone_else_ends_the_term():
    """Two VMs believe that they hold the term; the store decides."""
    world, holder = _make_world()
    value = base64.b64encode(b'{"holder":"vm-x","lease_id":0}').decode()
    world.store.write(duty_leadership.LEADER_KEY, value)
    world.run(500)
    assert _list_reasons(holder) == ["replaced"]
    assert all(vm.leadership.holder == "vm-x" for vm in world.vms.values())
    assert not world.find_holders()


def test_unreadable_key_is_respected():
    """A later version of the software may write another form."""
    world, _ = _make_world()
    value = base64.b64encode(b"\xff").decode()
    world.store.write(duty_leadership.LEADER_KEY, value)
    world.run(10_000)
    assert not world.find_holders()
    world.store.write(duty_leadership.LEADER_KEY, None)
    world.wait_for_holder()


def test_term_that_was_ended_for_a_refused_token_goes_to_another_vm():
    """The API has seen a higher token than that of the holder."""
    world, holder = _make_world()
    holder.leadership.end_term("token_refused")
    assert holder.leadership.find_term() is None
    successor, _ = world.wait_for_holder()
    assert successor != holder.name
    assert _list_reasons(holder) == ["token_refused"]


def test_a_single_vm_acquires_the_term_again_after_its_restart():
    """There is no other candidate."""
    world, holder = _make_world(count=1)
    world.kill_vm(holder.name)
    world.run(500)
    world.start_vm(holder.name)
    world.wait_for_holder(limit_ms=10_000)


def test_few_calls_are_made_by_eighty_vms():
    """Each call costs; those of all candidates together would be 160."""
    world = duty_fleet.World(1, 0)
    for number in range(80):
        world.start_vm(f"vm-{number}")
    name, _ = world.wait_for_holder()
    world.run(15_000)
    for vm in world.vms.values():
        vm.pool.calls.clear()
    world.kill_vm(name)
    name, took_ms = world.wait_for_holder()
    assert took_ms <= _MAX_TAKEOVER_MS
    world.run(10_000)
    calls = {
        path: sum(_count_calls(vm, path) for vm in world.vms.values())
        for path in ("kv-lease", "kv-txn", "kv-keep", "kv-key", "kv-range")
    }
    assert calls["kv-lease"] <= 2 and calls["kv-txn"] <= 2
    assert not calls["kv-key"] and not calls["kv-range"]
    renewals = _count_calls(world.vms[name], "kv-keep")
    registrations = 15_000 // 4000 + 1
    assert renewals <= 10_000 // 750 + 2 + registrations
    for vm in world.vms.values():
        # The removal of the key and the next write wake each watch once.
        assert _count_calls(vm, "kv-watch") <= 15_000 // 2000 + 6
