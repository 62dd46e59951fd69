"""Tests of true time from the clocks of VMs."""

import datetime

import pytest

from mustardwood import timing
from mustardwood import usage
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.usage.tests import fleet as fleet_module

ms = harness_module.ms


class _Vm:

    def __init__(self, skew_ms=0, peers=8):
        self.true = timing.ManualClock()
        self.clock = fleet_module.SkewedClock(self.true, ms(skew_ms))
        self.peers = peers
        self.time = usage.TrueTime(self.clock, lambda: self.peers)

    def hear(self, skews, late=ms(0)):
        """Receives the clocks of peers, which were sent `late` before."""
        for number, skew in enumerate(skews):
            self.time.record_peer_clock(f"peer-{number}",
                                        self.true.now() + ms(skew) - late)

    def run(self, skews, seconds):
        """Receives the clocks of peers each second."""
        for _ in range(seconds):
            self.true.advance(ms(1000))
            self.hear(skews)

    @property
    def error(self):
        """Error of true time in milliseconds."""
        return (self.time.now() - self.true.now()) / ms(1)


def test_median_outvotes_wrong_clocks():
    """Failure: VMs with a wrong clock count into other windows."""
    vm = _Vm(skew_ms=6000)
    vm.run([0, 10, -10, 5, 20, -6000, 6000, 3], 2)
    assert vm.time.is_settled
    assert abs(vm.error) <= 20
    assert abs(vm.time.own_deviation - ms(6000)) <= ms(20)


@pytest.mark.parametrize("heard, seconds, is_settled", [(8, 1, False),
                                                        (8, 2, True),
                                                        (5, 2, False),
                                                        (5, 3, True),
                                                        (0, 3, True)])
def test_true_time_is_awaited_but_not_forever(heard, seconds, is_settled):
    """Failure: requests are counted by the own clock, or never."""
    vm = _Vm()
    vm.run([0] * heard, seconds)
    assert vm.time.is_settled == is_settled


def test_clocks_that_arrive_late_after_a_suspension_change_nothing():
    """Failure: a VM that was suspended counts into earlier windows."""
    vm = _Vm()
    vm.run([0] * 8, 5)
    vm.true.advance(ms(9000))
    vm.hear([0] * 8, late=ms(8000))
    for _ in range(9):
        vm.true.advance(ms(100))
        assert abs(vm.error) <= 1
    vm.run([0] * 8, 4)
    assert abs(vm.error) <= 1


def test_change_of_most_clocks_is_followed():
    """Failure: a VM keeps a wrong time that it learned at its start."""
    vm = _Vm()
    vm.run([-3000] * 8, 3)
    assert vm.error == pytest.approx(-3000)
    vm.run([0] * 8, 5)
    assert vm.error == pytest.approx(0)


def test_vm_that_is_cut_off_keeps_true_time():
    """Failure: a VM without its peers counts by its own clock."""
    vm = _Vm(skew_ms=5000)
    vm.run([0] * 8, 3)
    vm.true.advance(ms(60_000))
    assert abs(vm.error) <= 1
    for number in range(8):
        vm.time.forget_peer(f"peer-{number}")
    vm.peers = 0
    vm.true.advance(ms(1000))
    vm.time.now()
    vm.true.advance(ms(5000))
    assert vm.error == pytest.approx(5000)


def test_convert_gives_the_time_of_earlier_events():
    """Failure: a request is counted in the window in which its answer came."""
    vm = _Vm()
    vm.run([0] * 8, 3)
    earlier = vm.clock.monotonic() - ms(700)
    assert vm.true.now() - vm.time.convert(earlier) == datetime.timedelta(
        milliseconds=700)
