"""Tests of the order of tiers while a cell's owner changes.

Queues are full, so each refusal can be a tier inversion: a request is refused
while one of a less urgent tier waits. Uses simulated time.
"""

import datetime
import random

import pytest

from mustardwood import messages
from mustardwood.tests import virtual_fleet

_SEEDS = (0, 1, 2)
_CHANGE_SECONDS = 6.0
"""Time at which the owner or the views change, in seconds."""
_CHANGE_END_SECONDS = 10.0
"""Time at which the change ends, in seconds."""
_LAST_ARRIVAL_SECONDS = 20.0
_RUN_END_SECONDS = 60.0
_HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
"""Maximum time until entries move their requests to the right owner."""
_AGENT_LOSS_RECOVERY = datetime.timedelta(seconds=4)
"""Maximum time until an entry without views agrees with the others."""

_State = messages.MemberState


class _FullQueueRun:
    """A fleet with full queues and requests of all tiers at all entries."""

    def __init__(self, seed):
        self.fleet = virtual_fleet.VirtualFleet(
            virtual_fleet.make_document(queue_limit=4, concurrency=4))
        self._rng = random.Random(seed)
        self.run(_CHANGE_SECONDS)
        assert not self.fleet.tier_inversions
        assert set(self.fleet.refused) >= {1, 2, 3, 4, 5}

    def run(self, until):
        """Runs until a time in seconds while requests arrive."""
        self.fleet.run(until, self._arrive)

    def finish(self):
        """Runs to the end; checks that requests ended and ran at most once."""
        self.run(_LAST_ARRIVAL_SECONDS)
        self.fleet.run(_RUN_END_SECONDS)
        assert self.fleet.count_open() == 0
        assert max(self.fleet.runs.values()) == 1

    def find_last_inversion(self):
        """Returns the time of the last tier inversion; 0 if there is none."""
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
def test_split_views_cause_inversions_only_until_a_heartbeat_after_their_end(
        seed):
    """Covers an entry whose view wrongly shows the owner as dead.

    It asks another owner, so that two schedulers order separate queues.
    """
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
def test_entry_without_agent_causes_no_inversion_after_it_detects_the_loss(
        seed):
    """Covers the loss of the agent on the owner's VM.

    The entry and scheduler of that VM keep their last view while all others
    consider the VM dead and use another owner.
    """
    run = _FullQueueRun(seed)
    owner = run.fleet.find_owner()
    run.fleet.stop_views(owner)
    for vm in virtual_fleet.VMS:
        if vm != owner:
            run.fleet.set_member_state(vm, owner, _State.DEAD)
    run.finish()
    change = datetime.timedelta(seconds=_CHANGE_SECONDS)
    assert run.find_last_inversion() <= change + _AGENT_LOSS_RECOVERY
