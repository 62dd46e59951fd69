"""Tiers while a cell's owner changes, in virtual time."""

import datetime
import random

import pytest

from mustardwood import messages
from mustardwood.tests import virtual_fleet

_SEEDS = (0, 1, 2)
_CHANGE_SECONDS = 6.0
"""Time of the change, in seconds."""
_CHANGE_END_SECONDS = 10.0
"""Time of its end."""
_LAST_ARRIVAL_SECONDS = 20.0
_RUN_END_SECONDS = 60.0
_HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Time in which entries bring their work to the right owner."""
_AGENT_LOSS_RECOVERY = datetime.timedelta(seconds=4)
"""Time in which an entry without views agrees with the others."""

_State = messages.MemberState


class _FullQueueRun:
    """A fleet with full queues, requests of all tiers at all entries."""

    def __init__(self, seed):
        self.fleet = virtual_fleet.VirtualFleet(
            virtual_fleet.make_document(queue_limit=4, concurrency=4))
        self._rng = random.Random(seed)
        self.run(_CHANGE_SECONDS)
        assert not self.fleet.tier_inversions
        assert set(self.fleet.refused) >= {1, 2, 3, 4, 5}

    def run(self, until):
        """Runs with arrivals."""
        self.fleet.run(until, self._arrive)

    def finish(self):
        """Runs to the end; each request has ended and ran once at most."""
        self.run(_LAST_ARRIVAL_SECONDS)
        self.fleet.run(_RUN_END_SECONDS)
        assert self.fleet.count_open() == 0
        assert max(self.fleet.runs.values()) == 1

    def find_last_inversion(self):
        """Returns the time of the last violation."""
        return max((at for at, _ in self.fleet.tier_inversions),
                   default=datetime.timedelta())

    def _arrive(self):
        for vm in virtual_fleet.VMS:
            if self._rng.random() < 0.5:
                self.fleet.send(vm, self._rng.randrange(virtual_fleet.TIERS))


@pytest.mark.parametrize("seed", _SEEDS)
@pytest.mark.parametrize("change_end",
                         [_CHANGE_SECONDS + 1.5, _CHANGE_END_SECONDS])
def test_no_higher_tier_is_refused_while_an_owner_is_frozen(seed, change_end):
    run = _FullQueueRun(seed)
    owner = run.fleet.find_owner()
    run.fleet.freeze(owner)
    run.run(change_end)
    run.fleet.resume(owner)
    run.finish()
    assert not run.fleet.tier_inversions


@pytest.mark.parametrize("seed", _SEEDS)
def test_no_higher_tier_is_refused_when_all_see_the_owner_leave(seed):
    run = _FullQueueRun(seed)
    owner = run.fleet.find_owner()
    for vm in virtual_fleet.VMS:
        run.fleet.set_member_state(vm, owner, _State.LEAVING)
    run.finish()
    assert not run.fleet.tier_inversions


@pytest.mark.parametrize("seed", _SEEDS)
def test_split_views_refuse_out_of_order_until_a_heartbeat_after_their_end(
        seed):
    run = _FullQueueRun(seed)
    owner = run.fleet.find_owner()
    viewer = next(vm for vm in virtual_fleet.VMS if vm != owner)
    run.fleet.set_member_state(viewer, owner, _State.DEAD)
    run.run(_CHANGE_END_SECONDS)
    run.fleet.set_member_state(viewer, owner, _State.ALIVE)
    run.finish()
    change_end = datetime.timedelta(seconds=_CHANGE_END_SECONDS)
    assert run.find_last_inversion() <= change_end + _HEARTBEAT_INTERVAL


@pytest.mark.parametrize("seed", _SEEDS)
def test_an_entry_without_agent_agrees_with_the_others_in_the_end(seed):
    run = _FullQueueRun(seed)
    owner = run.fleet.find_owner()
    run.fleet.stop_views(owner)
    for vm in virtual_fleet.VMS:
        if vm != owner:
            run.fleet.set_member_state(vm, owner, _State.DEAD)
    run.finish()
    change = datetime.timedelta(seconds=_CHANGE_SECONDS)
    assert run.find_last_inversion() <= change + _AGENT_LOSS_RECOVERY
