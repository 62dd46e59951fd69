"""Tests of the platform stand-in with the real adapters and sockets."""
# pylint: disable=redefined-outer-name

import datetime
import json

import pytest
import treq
from twisted.internet import defer

from mustardwood import errors
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood import vmlist
from mustardwood.keyvalue import http_key_value_service
from mustardwood.standins.platform import main as platform_main
from mustardwood.standins.tests import reactor_runner
from mustardwood.vmlist import http_vm_list

_IP = "127.78.0.1"
_KEY = "mustardwood/claims/a b"
_SECOND = datetime.timedelta(seconds=1)


class _PlatformClient:
    """A platform stand-in and the adapters that call it, on one reactor."""

    def __init__(self) -> None:
        self.port = platform_main.start_platform(reactor_runner.reactor, _IP, 0)
        settings = settings_module.Settings(vm="vm",
                                            ip=_IP,
                                            zone="z",
                                            region="r",
                                            platform_url=self.port.url,
                                            platform_timeout_seconds=1.0)
        self.service = http_key_value_service.HttpKeyValueService.from_settings(
            settings, reactor_runner.reactor, timing.SystemClock())
        self.vms = http_vm_list.HttpVmList.from_settings(
            settings, reactor_runner.reactor)

    async def set_faults(self, **changes) -> None:
        response = await treq.post(f"{self.port.url}/switch",
                                   json.dumps(changes).encode(),
                                   persistent=False)
        assert response.code == 200

    async def read_counts(self) -> dict[str, int]:
        response = await treq.get(f"{self.port.url}/counts", persistent=False)
        return await response.json()


def _run(scenario) -> None:

    async def run() -> None:
        platform = _PlatformClient()
        try:
            await scenario(platform)
        finally:
            await platform.port.close()
            platform.port.drop_connections()

    reactor_runner.run_coroutine(run)


def test_only_one_of_two_compare_and_swap_writes_succeeds():

    async def scenario(platform: _PlatformClient) -> None:
        first = await platform.service.put(_KEY, "á", expected_revision=0)
        with pytest.raises(errors.ConflictError) as caught:
            await platform.service.put(_KEY, "b", expected_revision=0)
        assert caught.value.revision == first
        stored = await platform.service.get(_KEY)
        assert (stored.value, stored.revision) == ("á", first)
        assert await platform.service.list("mustardwood/claims/") == (stored,)
        await platform.service.delete(_KEY, expected_revision=first)
        assert await platform.service.get(_KEY) is None

    _run(scenario)


def test_write_with_a_lost_response_is_uncertain_and_took_effect():

    async def scenario(platform: _PlatformClient) -> None:
        await platform.set_faults(lost_answers=1)
        with pytest.raises(errors.UncertainWriteError):
            await platform.service.put(_KEY, "a", expected_revision=0)
        assert (await platform.service.get(_KEY)).value == "a"
        assert platform.service.counts["put", "key_value_uncertain"] == 1

    _run(scenario)


def test_delete_with_a_lost_response_is_uncertain_and_not_retried():

    async def scenario(platform: _PlatformClient) -> None:
        revision = await platform.service.put(_KEY, "a", expected_revision=0)
        await platform.set_faults(lost_answers=1)
        with pytest.raises(errors.UncertainWriteError):
            await platform.service.delete(_KEY, expected_revision=revision)
        assert await platform.service.get(_KEY) is None
        assert (await platform.read_counts())["delete"] == 1

    _run(scenario)


def test_errors_distinguish_failed_from_uncertain_writes():

    async def scenario(platform: _PlatformClient) -> None:
        service = platform.service
        await platform.set_faults(outage=True)
        with pytest.raises(errors.UnavailableError):
            await service.put(_KEY, "a", expected_revision=0)
        await platform.set_faults(outage=False, store_outage=True)
        with pytest.raises(errors.UnavailableError):
            await service.get(_KEY)
        assert await platform.vms.fetch() == ()
        await platform.set_faults(store_outage=False, writes_per_second=1.0)
        await service.put("other", "a", expected_revision=0)
        with pytest.raises(errors.RateLimitedError) as caught:
            await service.put(_KEY, "a", expected_revision=0)
        assert caught.value.retry_after == _SECOND
        await platform.set_faults(hang=True)
        with pytest.raises(errors.UnavailableError):
            await service.get(_KEY)
        with pytest.raises(errors.UncertainWriteError):
            await service.put(_KEY, "a", expected_revision=0)
        await platform.port.close()
        platform.port.drop_connections()
        with pytest.raises(errors.UnavailableError):
            await service.put(_KEY, "a", expected_revision=0)

    _run(scenario)


def test_expired_lease_deletes_its_keys_and_fencing_numbers_increase():

    async def scenario(platform: _PlatformClient) -> None:
        service = platform.service
        lease = await service.grant_lease(datetime.timedelta(seconds=0.2))
        await service.put(_KEY,
                          "a",
                          expected_revision=0,
                          lease_id=lease.lease_id)
        await service.renew_lease(lease.lease_id)
        while await service.get(_KEY) is not None:
            pass
        with pytest.raises(errors.LeaseLostError):
            await service.renew_lease(lease.lease_id)
        with pytest.raises(errors.LeaseLostError):
            await service.put(_KEY,
                              "b",
                              expected_revision=0,
                              lease_id=lease.lease_id)
        later = await service.grant_lease(_SECOND)
        assert later.fencing_number > lease.fencing_number

    _run(scenario)


def test_watch_returns_on_a_write_and_is_counted_once():

    async def scenario(platform: _PlatformClient) -> None:
        service = platform.service
        pending_watch = defer.ensureDeferred(
            service.watch(_KEY, 0, 20 * _SECOND))
        while "watch" not in await platform.read_counts():
            pass
        revision = await service.put(_KEY, "a", expected_revision=0)
        assert (await pending_watch).value == "a"
        short_timeout = datetime.timedelta(seconds=0.05)
        assert await service.watch(_KEY, revision, short_timeout) is None
        assert (await platform.read_counts())["watch"] == 2

    _run(scenario)


def test_restore_returns_to_the_values_and_revisions_of_a_snapshot():

    async def scenario(platform: _PlatformClient) -> None:
        service = platform.service
        first = await service.put(_KEY, "old", expected_revision=0)
        await platform.set_faults(snapshot="before")
        await service.put(_KEY, "new", expected_revision=first)
        await platform.set_faults(restore="before")
        stored = await service.get(_KEY)
        assert (stored.value, stored.revision) == ("old", first)

    _run(scenario)


def test_vm_list_is_served():

    async def scenario(platform: _PlatformClient) -> None:
        assert await platform.vms.fetch() == ()
        record = vmlist.VmRecord("vm-1", "127.0.0.9", "z", "r", leaving=True)
        await platform.set_faults(vms=[{
            "vm": "vm-1",
            "ip": "127.0.0.9",
            "zone": "z",
            "region": "r",
            "leaving": True,
        }])
        assert await platform.vms.fetch() == (record,)

    _run(scenario)
