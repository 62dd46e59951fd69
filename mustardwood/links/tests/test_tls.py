"""Links by TLS: only peers of the authority, at their own address."""

import asyncio

import pytest

from mustardwood import messages
from mustardwood import settings
from mustardwood import timing
from mustardwood.links import pynng_link
from mustardwood.tests import certificates

_SERVER = "127.84.1.1"
_CLIENT = "127.84.1.2"
_MESSAGE = messages.Withdrawal("a", 1, "c")


def _make_link(ip, role, tls):
    return pynng_link.PynngLink(
        settings.Settings(ip,
                          ip,
                          "z",
                          "r",
                          "http://127.84.1.9:1",
                          links_tls=tls), role, timing.SystemClock())


async def _send(server_tls, client_tls, seconds):
    """Returns what a scheduler got from an entry."""
    received = []
    server = _make_link(_SERVER, messages.Role.SCHEDULER, server_tls)
    server.set_handler(received.append)
    server.open()
    client = _make_link(_CLIENT, messages.Role.ENTRY, client_tls)
    client.open()
    client.send(messages.Peer(_SERVER, messages.Role.SCHEDULER), _MESSAGE)
    for _ in range(int(seconds / 0.02)):
        if received:
            break
        await asyncio.sleep(0.02)
    client.close()
    server.close()
    return received


@pytest.fixture(name="authority")
def make_authority(tmp_path):
    return certificates.Authority.from_name("own", tmp_path)


@pytest.fixture(name="foreign")
def make_foreign_authority(tmp_path):
    return certificates.Authority.from_name("foreign", tmp_path)


@pytest.mark.processes
def test_peers_of_one_authority_talk(authority):
    received = asyncio.run(
        _send(authority.issue(_SERVER), authority.issue(_CLIENT), 20))
    assert [each.body for each in received] == [_MESSAGE]


@pytest.mark.processes
def test_nothing_comes_from_a_peer_of_another_authority(authority, foreign):
    received = asyncio.run(
        _send(authority.issue(_SERVER), foreign.issue(_CLIENT, authority), 2))
    assert not received


@pytest.mark.processes
def test_nothing_comes_from_a_peer_without_tls(authority):
    """A plain sender to the TLS port gets nothing through."""
    plain = _make_link(_CLIENT, messages.Role.ENTRY, None)

    async def run():
        received = []
        server = _make_link(_SERVER, messages.Role.SCHEDULER,
                            authority.issue(_SERVER))
        server.set_handler(received.append)
        server.open()
        plain.open()
        plain.send(messages.Peer(_SERVER, messages.Role.SCHEDULER), _MESSAGE)
        await asyncio.sleep(1.5)
        plain.close()
        server.close()
        return received

    assert not asyncio.run(run())


@pytest.mark.processes
def test_nothing_goes_to_a_server_of_another_authority(authority, foreign):
    received = asyncio.run(
        _send(foreign.issue(_SERVER, authority), authority.issue(_CLIENT), 2))
    assert not received


@pytest.mark.processes
def test_nothing_goes_to_a_server_with_another_address(authority):
    received = asyncio.run(
        _send(authority.issue("127.84.1.7"), authority.issue(_CLIENT), 2))
    assert not received
