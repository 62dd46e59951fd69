"""Soak test of the election under all failures at once, in virtual time.

The world asserts after each step that no two VMs hold the term at a time, no
token is used by two VMs, the API receives no lower token after a higher one,
and no VM acts again too soon after another one.

`python -m mustardwood.platform.tests.test_duty_soak 50` runs more seeds.
"""

import sys

import pytest

from mustardwood.platform.tests import duty_fleet

ms = duty_fleet.ms
_MAX_VACANCY_MS = 12_000
"""Time after the last failure in which a VM must hold the term.

It covers two leases, the exclusion of former holders and the calls between.
"""


def _disturb(world):
    """Causes a random failure, which is mended some seconds later."""
    rng = world.rng
    vm = rng.choice(list(world.vms.values()))
    mend_after = ms(rng.uniform(100, 6000))
    kind = rng.choice(("kill", "terminate", "freeze", "cut", "deaf", "slow",
                       "late", "away", "restore", "end"))
    if kind in ("kill", "terminate"):
        if vm.is_frozen:
            return
        if kind == "terminate":
            vm.terminate()
        world.scheduler.call_later(
            ms(rng.uniform(2500, 5000)) if kind == "terminate" else ms(1),
            lambda: _replace(world, vm))
    elif kind == "freeze" and not vm.is_frozen:
        vm.freeze()
        world.scheduler.call_later(mend_after, lambda: vm.thaw(world.now))
    elif kind == "cut":
        vm.pool.is_cut = True
        world.scheduler.call_later(mend_after,
                                   lambda: setattr(vm.pool, "is_cut", False))
    elif kind == "deaf":
        vm.pool.loses_answers = True
        world.scheduler.call_later(
            mend_after, lambda: setattr(vm.pool, "loses_answers", False))
    elif kind == "slow":
        vm.pool.slowdown_ms = 200
        world.scheduler.call_later(mend_after,
                                   lambda: setattr(vm.pool, "slowdown_ms", 0))
    elif kind == "late":
        for each in world.vms.values():
            each.pool.late_writes = 1
            each.pool.late_by = ms(rng.uniform(10, 5000))
    elif kind == "away" and not world.store.is_away:
        world.store.leave(rng)
        world.scheduler.call_later(
            mend_after, lambda: setattr(world.store, "is_away", False))
    elif kind == "restore" and not world.store.is_away and world.copies:
        world.store.restore(rng.choice(world.copies[-20:]))
    elif kind == "end":
        vm.leadership.end_term("token_refused")


def _replace(world, vm):
    if not vm.is_frozen and world.vms.get(vm.name) is vm:
        world.kill_vm(vm.name)
        world.start_vm(vm.name)


def _run(seed, steps=60):
    world = duty_fleet.World(seed, 4)
    world.copies = []
    for _ in range(steps):
        if world.rng.random() < 0.5:
            _disturb(world)
        for _ in range(6):
            world.run(200)
            if not world.store.is_away:
                world.copies.append(world.store.copy())
    world.run(6000)
    for _ in range(_MAX_VACANCY_MS // 200):
        world.run(200)
        if world.find_holders():
            break
    assert world.find_holders(), "nobody holds the term after the failures"
    return world


@pytest.mark.parametrize("seed", range(6))
def test_promises_hold_under_random_failures(seed):
    _run(seed)


def _run_seeds(count):
    for seed in range(count):
        world = _run(seed)
        terms = len({token for _, _, token in world.calls})
        print("seed", seed, "passed with", terms, "terms", flush=True)


if __name__ == "__main__":
    _run_seeds(int(sys.argv[1]))
