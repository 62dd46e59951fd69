"""Base test case: an entry on sockets, with a fake engine and a fake link."""

import hashlib
import json

import msgspec
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from mustardwood import configuration
from mustardwood import messages
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.entry import entry_daemon
from mustardwood.entry.tests import fake_engine
from mustardwood.entry.tests import fake_link
from mustardwood.entry.tests import raw_caller

IP = "127.6.1.1"
ENGINE_IP = "127.6.1.9"
KEY = "key-of-tatra"


def make_document(engine_port):
    """Returns a configuration with one engine and one service."""
    return configuration.Document(
        classes=(configuration.RequestClass("long", 2, 5.0),),
        default_class="long",
        organisations=(configuration.Organisation(
            "tatra", (hashlib.sha256(KEY.encode()).hexdigest(),)),),
        models=(configuration.Model("m"),),
        services=(configuration.Service("ledger", "long"),),
        endpoints=(configuration.Endpoint("e1", "m",
                                          f"http://{ENGINE_IP}:{engine_port}",
                                          "z", "r"),
                   configuration.Endpoint("e1s", "ledger",
                                          f"http://{ENGINE_IP}:{engine_port}",
                                          "z", "r")))


class EntryCase(unittest.TestCase):
    """Runs one entry in the process of the test."""

    timeout = 60

    def setUp(self):
        return defer.ensureDeferred(self.start_entry())

    def tearDown(self):
        return defer.ensureDeferred(self.stop_entry())

    async def start_entry(self):
        """Starts an entry and gives it a configuration."""
        self.stopped = False
        self.engine = fake_engine.Engine()
        self.listener = reactor.listenTCP(0, self.engine, interface=ENGINE_IP)
        self.link = fake_link.FakeLink()
        settings = settings_module.Settings(vm="vm1",
                                            ip=IP,
                                            zone="z",
                                            region="r",
                                            platform_url="http://127.6.1.8:1",
                                            callers_port=0,
                                            entry_operators_port=0,
                                            drain_seconds=20.0)
        self.daemon = entry_daemon.EntryDaemon(settings, reactor,
                                               timing.SystemClock(), self.link)
        await self.daemon.start()
        self.port = self.daemon.callers_port
        text = msgspec.json.encode(make_document(
            self.listener.getHost().port)).decode()
        member = messages.Member("vm1", IP, "z", "r",
                                 messages.MemberState.ALIVE)
        self.link.deliver(
            messages.View(1, 1, configuration.VersionedDocument(1, "a", text),
                          (member,)), messages.Role.AGENT)

    async def stop_entry(self):
        """Stops the entry and the engine."""
        if not self.stopped:
            await self.daemon.stop()
        await defer.maybeDeferred(self.listener.stopListening)

    async def send_bytes(self, data):
        """Sends bytes; returns the caller that collects the response."""
        caller = raw_caller.Caller(data)
        factory = protocol.Factory.forProtocol(lambda: caller)
        factory.noisy = False
        await endpoints.TCP4ClientEndpoint(reactor, IP,
                                           self.port).connect(factory)
        return caller

    async def send_request(self,
                           fields,
                           path="/v1/chat/completions",
                           headers=""):
        """Sends a request; returns status, head and body of the response."""
        body = fields if isinstance(fields,
                                    bytes) else json.dumps(fields).encode()
        caller = await self.send_bytes(
            f"POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
            f"authorization: Bearer {KEY}\r\n{headers}"
            f"content-length: {len(body)}\r\n\r\n".encode() + body)
        await caller.disconnected
        head, _, rest = caller.data.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        return status, head.decode().lower(), rest

    async def wait_until(self, condition):
        """Waits up to 10 s until a condition is true."""
        for _ in range(500):
            if condition():
                return
            await task.deferLater(reactor, 0.02)
        self.fail("the condition is still false after 10 s")

    @staticmethod
    def make_fields(**more):
        """Returns the JSON fields of a valid request."""
        return {
            "model": "m",
            "messages": [{
                "role": "user",
                "content": "x"
            }],
            "my_field": 7,
            **more
        }
