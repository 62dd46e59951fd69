"""A fleet of agents in virtual time, with fake entries and schedulers."""

import collections.abc
import datetime
import json
import random

import msgspec
from twisted.internet import defer
from twisted.internet import task

from mustardwood import configuration
from mustardwood import links
from mustardwood import messages
from mustardwood import settings
from mustardwood import vmlist
from mustardwood.agent import agent as agent_module
from mustardwood.agent import apply_request
from mustardwood.agent import document_codec
from mustardwood.agent.tests import platform as platform_module

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_STEP_SECONDS = 0.02


class ReactorClock:
    """A clock that follows the virtual reactor."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time."""
        return _EPOCH + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the reactor was made."""
        return datetime.timedelta(seconds=self._reactor.seconds())


class FakeLink:
    """A link of the fake network.

    Attributes:
        received: Bodies received, for processes without a handler of their own.
    """

    def __init__(self, fleet: "Fleet", me: messages.Peer) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.incarnation = int(fleet.clock.now().timestamp() * 1e9) + 1
        self._fleet = fleet
        self._me = me
        self.handler: links.Handler = lambda envelope: None

    def open(self) -> None:
        """Joins the network."""
        self._fleet.links[self._me] = self

    def close(self) -> None:
        """Leaves the network."""
        if self._fleet.links.get(self._me) is self:
            del self._fleet.links[self._me]

    def close_idle_connections(self) -> None:
        """Does nothing."""

    def set_handler(self, handler: links.Handler) -> None:
        """Sets what is called for each message received."""
        self.handler = handler

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends through the network."""
        if self._fleet.links.get(self._me) is not self:
            return
        envelope = messages.Envelope(self._me, self.incarnation, message)
        data = messages.encode_envelope(envelope)
        self._fleet.deliver(self, peer, data)


class FakeProcess:
    """An entry or scheduler that puts in force what it is told."""

    def __init__(self, fleet: "Fleet", peer: messages.Peer) -> None:
        self.view: messages.View | None = None
        self.version = 0
        self.whole_views = 0
        self.body: dict = {"ready": True}
        self._link = FakeLink(fleet, peer)
        self._link.set_handler(self._accept)
        self._link.open()

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends a message."""
        self._link.send(peer, message)

    def close(self) -> None:
        """Ends the process."""
        self._link.close()

    def _accept(self, envelope: messages.Envelope) -> None:
        body = envelope.body
        if isinstance(body, messages.View):
            self.view = body
            if body.configuration is not None:
                self.whole_views += 1
                assert body.configuration.version >= self.version
                self.version = body.configuration.version
            self.send(envelope.sender,
                      messages.ViewAck(body.sequence, self.version))
        elif isinstance(body, messages.Query):
            answer = json.dumps(self.body).encode()
            self.send(envelope.sender,
                      messages.QueryReply(body.query_id, "", answer))


class Fleet:
    """Agents of VMs in three zones, each with an entry and a scheduler."""

    def __init__(self, size: int, seed: int = 1, *, start: bool = True) -> None:
        self.rng = random.Random(seed)
        self.reactor = task.Clock()
        self.clock = ReactorClock(self.reactor)
        self.links: dict[messages.Peer, FakeLink] = {}
        self.loss = 0.0
        self.records = tuple(
            vmlist.VmRecord(f"vm{i}", f"127.9.1.{i + 1}", f"zone{i % 3}", "r")
            for i in range(size)) + (vmlist.VmRecord(
                "ep", "127.9.2.1", "zone0", "r", kind="endpoint"),)
        self.platform = platform_module.Platform(self.reactor, self.records)
        self.agents: dict[str, agent_module.Agent] = {}
        self.processes: dict[messages.Peer, FakeProcess] = {}
        self.highest: dict[str, int] = {}
        for each in self.records[:-1] if start else ():
            self.start_vm(each.vm)

    def start_vm(self, vm: str) -> None:
        """Starts the three processes of a VM."""
        record = self.find_record(vm)
        for role in (messages.Role.ENTRY, messages.Role.SCHEDULER):
            peer = messages.Peer(record.ip, role)
            self.processes[peer] = FakeProcess(self, peer)
        self.start_agent(vm)

    def start_agent(self, vm: str) -> None:
        """Starts an agent."""
        record = self.find_record(vm)
        plain = settings.Settings(vm, record.ip, record.zone, record.region, "")
        peer = messages.Peer(record.ip, messages.Role.AGENT)
        agent = agent_module.Agent(plain, self.reactor, self.clock,
                                   FakeLink(self, peer), self.platform,
                                   self.platform,
                                   random.Random(self.rng.random()))
        self.agents[vm] = agent
        agent.start_loops()

    def kill_vm(self, vm: str) -> None:
        """Ends the three processes of a VM without a word."""
        for role in messages.Role:
            peer = messages.Peer(self.find_record(vm).ip, role)
            self.links[peer].close()
            self.processes.pop(peer, None)
            self.highest.pop(f"{peer.ip} {role}", None)
        for loop in self.agents.pop(vm)._loops:  # pylint: disable=protected-access
            loop.stop()

    def find_record(self, vm: str) -> vmlist.VmRecord:
        """Returns the record of a VM."""
        return next(each for each in self.records if each.vm == vm)

    def find_process(self, vm: str, role: messages.Role) -> FakeProcess:
        """Returns an entry or scheduler."""
        return self.processes[messages.Peer(self.find_record(vm).ip, role)]

    def deliver(self, sender: FakeLink, peer: messages.Peer,
                data: bytes) -> None:
        """Delivers bytes after a delay, or loses them."""
        if self.rng.random() < self.loss:
            return

        def arrive() -> None:
            link = self.links.get(peer)
            if link is not None:
                link.handler(messages.decode_envelope(data))

        del sender
        self.reactor.callLater(self.rng.uniform(0.0005, 0.002), arrive)

    def run(self, seconds: float) -> None:
        """Lets time pass, and checks that no version goes back."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            self.reactor.advance(_STEP_SECONDS)
            for peer, each in self.processes.items():
                name = f"{peer.ip} {peer.role}"
                assert each.version >= self.highest.get(name, 0)
                self.highest[name] = each.version

    def run_until(self, condition: collections.abc.Callable[[], bool],
                  limit: float) -> None:
        """Runs until a condition holds."""
        began = self.reactor.seconds()
        while not condition():
            assert self.reactor.seconds() - began < limit, "too late"
            self.run(0.1)

    def versions(self) -> set[int]:
        """Returns the versions in force at all entries and schedulers."""
        return {each.version for each in self.processes.values()}

    def apply(self,
              vm: str,
              apply_id: str,
              expected_version: int | None = None) -> defer.Deferred:
        """Applies the example document at a VM."""
        request = apply_request.ApplyRequest(apply_id, EXAMPLE, apply_id,
                                             expected_version)
        applier = self.agents[vm]._applier  # pylint: disable=protected-access
        return defer.ensureDeferred(applier.apply(request))


EXAMPLE = msgspec.json.encode({
    "classes": [{
        "name": "tag",
        "tier": 1,
        "first_token_seconds": 1.0
    }],
    "default_class":
        "tag",
    "organisations": [],
    "models": [{
        "name": "model"
    }],
    "endpoints": [{
        "name": "replica",
        "serves": "model",
        "url": "http://127.9.2.1:1",
        "zone": "zone0",
        "region": "r",
        "vm": "ep"
    }]
}).decode()
"""A document with one endpoint on the VM ``ep``."""


def make_stored(version: int, apply_id: str = "old") -> str:
    """Returns the platform's value of a version."""
    return document_codec.encode_stored(
        configuration.VersionedDocument(version, apply_id, EXAMPLE))
