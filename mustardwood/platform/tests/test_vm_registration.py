"""Tests of a VM's registration when leases are lost or calls fail."""

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


def _start():
    scheduler = harness_module.FakeScheduler(timing.ManualClock())
    client = _Client()
    registration = vm_registration.VmRegistration(client, scheduler,
                                                  harness_module.FakeJournal(),
                                                  "vm-1", "192.0.2.1:8229")
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
