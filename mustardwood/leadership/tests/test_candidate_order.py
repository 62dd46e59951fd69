"""Tests of the order in which VMs become candidates."""

from mustardwood import leadership


def _make_order(count):
    order = leadership.CandidateOrder()
    order.set_registrations(
        {f"vm-{number}": (1, 10 + number) for number in range(count)})
    return order


def test_vms_that_know_the_same_registrations_agree():
    """Otherwise several VMs would call the store at the same time."""
    first = _make_order(80)
    second = leadership.CandidateOrder()
    for number in reversed(range(80)):
        second.set_registration(f"vm-{number}", (1, 10 + number))
    assert first.list_candidates() == second.list_candidates()
    assert len(set(first.list_candidates())) == 80


def test_new_vms_come_last():
    """A VM that has just started may not know yet what it would take over."""
    order = _make_order(8)
    order.set_registration("vm-0", (1, 99))
    assert order.list_candidates()[-1] == "vm-0"
    assert set(order.list_candidates()[:4]) == {"vm-1", "vm-2", "vm-3", "vm-4"}


def test_registration_of_a_later_era_is_newer_whatever_its_revision():
    """A restored store gives low revisions out again."""
    order = _make_order(4)
    order.set_registration("vm-0", (2, 1))
    assert order.list_candidates()[-1] == "vm-0"


def test_last_holder_and_unregistered_vms_come_last():
    """The last holder was probably lost, so nobody should wait for it."""
    order = _make_order(4)
    first, second = order.list_candidates()[:2]
    assert order.find_rank(second, "") == 1
    assert order.find_rank(second, last_holder=first) == 0
    assert order.find_rank(first, last_holder=first) == 3
    assert order.find_rank("vm-9", "") == 4
    order.set_registration(first, None)
    assert order.find_rank(second, "") == 0


def test_rolling_restart_moves_the_term_rarely():
    """Each change of the holder wakes the watches of all VMs twice.

    Ordered by age alone, each of the restarts would move the term.
    """
    order = _make_order(80)
    holder = order.list_candidates()[0]
    moves = 0
    for number in range(80):
        vm = f"vm-{number}"
        order.set_registration(vm, None)
        if vm == holder:
            holder = order.list_candidates()[0]
            moves += 1
        order.set_registration(vm, (1, 1000 + number))
    assert moves < 20
