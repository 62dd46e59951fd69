"""Tests of links over sockets of the loopback interface."""
# pylint: disable=protected-access

import asyncio

import pytest

from mustardwood import messages
from mustardwood import settings
from mustardwood import timing
from mustardwood.links import pynng_link


def _make_link(ip: str, role: messages.Role) -> pynng_link.PynngLink:
    link_settings = settings.Settings(vm=ip,
                                      ip=ip,
                                      zone="z",
                                      region="r",
                                      platform_url="http://127.0.0.1:1")
    return pynng_link.PynngLink(link_settings, role, timing.SystemClock())


async def _wait_until(condition) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition is not met after 10 s")


@pytest.mark.processes
def test_message_sent_before_peer_listens_is_delivered():
    received = []

    async def run() -> None:
        first = _make_link("127.77.0.1", messages.Role.ENTRY)
        second = _make_link("127.77.0.2", messages.Role.SCHEDULER)
        second.set_handler(received.append)
        first.open()
        first.send(messages.Peer("127.77.0.2", messages.Role.SCHEDULER),
                   messages.Withdrawal("a", 1, "c"))
        second.open()
        await _wait_until(lambda: received)
        first.close()
        second.close()

    asyncio.run(run())
    assert received[0].body == messages.Withdrawal("a", 1, "c")
    assert received[0].sender == messages.Peer("127.77.0.1",
                                               messages.Role.ENTRY)


@pytest.mark.processes
def test_malformed_messages_are_counted_and_later_ones_are_delivered():
    received = []

    async def run() -> pynng_link.PynngLink:
        link = _make_link("127.77.0.3", messages.Role.AGENT)
        link.set_handler(received.append)
        link.open()
        link._deliver(b"\xff\x00")
        link._deliver(b"")
        link.send(messages.Peer("127.77.0.3", messages.Role.AGENT),
                  messages.SchedulerTimeout("v", "c"))
        await _wait_until(lambda: received)
        link.close()
        return link

    link = asyncio.run(run())
    assert link.malformed == 2
    assert received[0].body == messages.SchedulerTimeout("v", "c")
