"""Tests of the service stand-in on real sockets."""

import json

import pytest
import treq
from twisted.web import client as web_client

from mustardwood.standins.service import service_site
from mustardwood.standins.tests import reactor_runner


async def _post(url: str, body: str, **headers: str):
    return await treq.post(
        url,
        body.encode(),
        headers={
            name.replace("_", "-"): value for name, value in headers.items()
        },
        persistent=False)


def test_executed_calls_are_logged_and_refused_calls_are_not():

    async def run() -> None:
        site = service_site.ServiceSite(reactor_runner.reactor, "127.78.0.3", 0)
        site.port.open()
        url = site.port.url
        response = await _post(f"{url}/post?q=1",
                               "á",
                               idempotency_key="k",
                               x_echo_status="201",
                               x_echo_tag="t")
        assert response.code == 201
        assert response.headers.getRawHeaders("x-echo-tag") == ["t"]
        assert (await response.json())["path"] == "/post?q=1"
        faults = {"refuse_calls": 1, "lose_answers": 1, "crash_answers": 1}
        await _post(f"{url}/switch", json.dumps(faults))
        refused = await _post(f"{url}/refused", "")
        assert refused.headers.getRawHeaders("x-not-started") == ["1"]
        with pytest.raises(web_client.ResponseNeverReceived):
            await _post(f"{url}/lost", "")
        with pytest.raises(web_client.ResponseFailed):
            await (await _post(f"{url}/crashed", "")).content()
        log = await (await treq.get(f"{url}/log", persistent=False)).json()
        assert [call["path"] for call in log
               ] == ["/post?q=1", "/lost", "/crashed"]
        assert log[0]["idempotency_key"] == "k"
        await site.port.close()
        site.port.drop_connections()

    reactor_runner.run_coroutine(run)
