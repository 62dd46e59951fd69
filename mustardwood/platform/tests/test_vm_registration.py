"""Tests of a VM's registration when leases are lost or calls fail."""

import random

from mustardwood import errors
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import vm_registration

ms = harness_module.ms


class _Client:

    def __init__(self):
        self.calls = []
        self.error = None

    def _call(self, *call):
        self.calls.append(call)
        if self.error is not None:
            raise self.error

    async def grant_lease(self, time_to_live):
        """Creates a lease."""
        self._call("open", time_to_live)
        return len(self.calls)

    async def write_key(self, key, value, lease_id):
        """Writes the registration."""
        self._call("write", key, value, lease_id)

    async def renew_lease(self, lease_id):
        """Renews the lease."""
        self._call("renew", lease_id)

    async def revoke_lease(self, lease_id):
        """Revokes the lease."""
        self._call("end", lease_id)


def _start(peer_count=8):
    scheduler = harness_module.FakeScheduler(timing.ManualClock())
    client = _Client()
    registration = vm_registration.VmRegistration(client, scheduler,
                                                  harness_module.FakeJournal(),
                                                  "vm-1", "192.0.2.1:8229",
                                                  lambda: peer_count,
                                                  random.Random(1))
    registration.start()
    return scheduler, client, registration


def _list_names(client):
    return [each[0] for each in client.calls]


def test_registration_is_written_once_and_its_lease_renewed():
    scheduler, client, _ = _start()
    scheduler.advance(ms(12_500))
    assert _list_names(client) == ["open", "write", "renew", "renew", "renew"]
    assert client.calls[1][1:3] == ("vms/vm-1", b"192.0.2.1:8229")


def test_registration_is_written_again_after_its_lease_was_lost():
    scheduler, client, _ = _start()
    client.error = errors.LeaseLostError("Ended.", "Open another one.")
    scheduler.advance(ms(4000))
    client.error = None
    client.calls.clear()
    scheduler.advance(ms(1000))
    assert _list_names(client) == ["open", "write"]


def test_calls_are_retried_each_second_while_the_store_is_unavailable():
    scheduler, client, _ = _start()
    client.calls.clear()
    client.error = errors.UnavailableError("Away.", "Call again.")
    scheduler.advance(ms(8000))
    assert 4 <= len(client.calls) <= 6


def test_shutdown_revokes_the_lease_and_ends_the_renewals():
    scheduler, client, registration = _start()
    registration.stop()
    assert client.calls[-1][0] == "end"
    client.calls.clear()
    scheduler.advance(ms(20_000))
    assert not client.calls


def test_registration_is_written_soon_after_a_restore_of_the_store():
    """The lease of the earlier era may belong to another VM by now."""
    scheduler, client, registration = _start()
    scheduler.advance(ms(1000))
    client.calls.clear()
    registration.handle_era_change()
    assert not client.calls
    scheduler.advance(ms(90))
    assert _list_names(client) == ["open", "write"]
    scheduler.advance(ms(3900))
    assert _list_names(client) == ["open", "write"]
    scheduler.advance(ms(200))
    assert _list_names(client) == ["open", "write", "renew"]


def test_registrations_after_a_restore_are_spread_over_time():
    """All VMs together must stay within the store's rate of writes."""
    scheduler, client, registration = _start(peer_count=399)
    client.calls.clear()
    delays = []
    for _ in range(50):
        registration.handle_era_change()
        delay = 0
        while not client.calls:
            scheduler.advance(ms(100))
            delay += 100
        delays.append(delay)
        client.calls.clear()
    assert max(delays) > 2000
    assert len(set(delays)) > 15


def test_shutdown_after_a_restore_revokes_no_lease_of_the_earlier_era():
    _, client, registration = _start()
    registration.handle_era_change()
    client.calls.clear()
    registration.stop()
    assert not client.calls
