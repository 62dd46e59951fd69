"""A fleet of agents with fake entries and schedulers in simulated time."""

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
from mustardwood.agent.tests import fake_platform

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_STEP_SECONDS = 0.02


class ReactorClock:
    """A clock that returns the time of a simulated reactor."""

    def __init__(self, reactor: task.Clock) -> None:
        self._reactor = reactor

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time."""
        return _EPOCH + self.monotonic()

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the reactor was created."""
        return datetime.timedelta(seconds=self._reactor.seconds())


class FakeLink:
    """A link of a simulated network.

    Attributes:
        handler: Called with each message received.
    """

    def __init__(self, fleet: "Fleet", own_peer: messages.Peer) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.incarnation = int(fleet.clock.now().timestamp() * 1e9) + 1
        self._fleet = fleet
        self._own_peer = own_peer
        self.handler: links.Handler = lambda envelope: None

    def open(self) -> None:
        """Connects the link to the network."""
        self._fleet.links[self._own_peer] = self

    def close(self) -> None:
        """Disconnects the link from the network."""
        if self._fleet.links.get(self._own_peer) is self:
            del self._fleet.links[self._own_peer]

    def close_idle_connections(self) -> None:
        """Does nothing."""

    def set_handler(self, handler: links.Handler) -> None:
        """Sets the function that is called with each message received."""
        self.handler = handler

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends a message through the network."""
        if self._fleet.links.get(self._own_peer) is not self:
            return
        envelope = messages.Envelope(self._own_peer, self.incarnation, message)
        data = messages.encode_envelope(envelope)
        self._fleet.deliver(self, peer, data)


class FakeProcess:
    """An entry or scheduler that acknowledges views and answers queries.

    Attributes:
        view: The last view received.
        version: Configuration version in force.
        configuration_views: Number of views received with a configuration.
        body: Answer to each query.
    """

    def __init__(self, fleet: "Fleet", peer: messages.Peer) -> None:
        self.view: messages.View | None = None
        self.version = 0
        self.configuration_views = 0
        self.body: dict = {"ready": True}
        self._link = FakeLink(fleet, peer)
        self._link.set_handler(self._handle_message)
        self._link.open()

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends a message."""
        self._link.send(peer, message)

    def close(self) -> None:
        """Stops the process."""
        self._link.close()

    def _handle_message(self, envelope: messages.Envelope) -> None:
        body = envelope.body
        if isinstance(body, messages.View):
            self.view = body
            if body.configuration is not None:
                self.configuration_views += 1
                assert body.configuration.version >= self.version
                self.version = body.configuration.version
            self.send(envelope.sender,
                      messages.ViewAck(body.sequence, self.version))
        elif isinstance(body, messages.Query):
            answer = json.dumps(self.body).encode()
            self.send(envelope.sender,
                      messages.QueryReply(body.query_id, "", answer))


class Fleet:
    """Agents of VMs in three zones, each with an entry and a scheduler.

    Args:
        size: Number of VMs.
        seed: Seed of the randomness.
        start: Whether all VMs are started.

    Attributes:
        rng: Source of randomness.
        reactor: Simulated time.
        clock: Clock of the simulated time.
        links: Connected links by process.
        loss_rate: Share of messages that are lost.
        records: The platform's list: the VMs and one endpoint VM.
        platform: The platform.
        agents: Running agents by VM.
        processes: Running entries and schedulers.
        highest_versions: Highest configuration version seen in force, by
            process.
    """

    def __init__(self, size: int, seed: int = 1, *, start: bool = True) -> None:
        self.rng = random.Random(seed)
        self.reactor = task.Clock()
        self.clock = ReactorClock(self.reactor)
        self.links: dict[messages.Peer, FakeLink] = {}
        self.loss_rate = 0.0
        self.records = tuple(
            vmlist.VmRecord(f"vm{i}", f"127.9.1.{i + 1}", f"zone{i % 3}", "r")
            for i in range(size)) + (vmlist.VmRecord(
                "ep", "127.9.2.1", "zone0", "r", kind="endpoint"),)
        self.platform = fake_platform.FakePlatform(self.reactor, self.records)
        self.agents: dict[str, agent_module.Agent] = {}
        self.processes: dict[messages.Peer, FakeProcess] = {}
        self.highest_versions: dict[str, int] = {}
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
        """Starts the agent of a VM."""
        record = self.find_record(vm)
        vm_settings = settings.Settings(vm, record.ip, record.zone,
                                        record.region, "")
        peer = messages.Peer(record.ip, messages.Role.AGENT)
        agent = agent_module.Agent(vm_settings, self.reactor, self.clock,
                                   FakeLink(self, peer), self.platform,
                                   self.platform,
                                   random.Random(self.rng.random()))
        self.agents[vm] = agent
        agent.start_loops()

    def kill_vm(self, vm: str) -> None:
        """Kills the three processes of a VM without a graceful shutdown."""
        for role in messages.Role:
            peer = messages.Peer(self.find_record(vm).ip, role)
            self.links[peer].close()
            self.processes.pop(peer, None)
            self.highest_versions.pop(f"{peer.ip} {role}", None)
        for loop in self.agents.pop(vm)._loops:  # pylint: disable=protected-access
            loop.stop()

    def find_record(self, vm: str) -> vmlist.VmRecord:
        """Returns the record of a VM."""
        return next(each for each in self.records if each.vm == vm)

    def find_process(self, vm: str, role: messages.Role) -> FakeProcess:
        """Returns the entry or the scheduler of a VM."""
        return self.processes[messages.Peer(self.find_record(vm).ip, role)]

    def deliver(self, sender: FakeLink, peer: messages.Peer,
                data: bytes) -> None:
        """Delivers an encoded message after a random delay, or drops it."""
        if self.rng.random() < self.loss_rate:
            return

        def arrive() -> None:
            link = self.links.get(peer)
            if link is not None:
                link.handler(messages.decode_envelope(data))

        del sender
        self.reactor.callLater(self.rng.uniform(0.0005, 0.002), arrive)

    def run(self, seconds: float) -> None:
        """Advances the time; checks that no version in force decreases."""
        for _ in range(round(seconds / _STEP_SECONDS)):
            self.reactor.advance(_STEP_SECONDS)
            for peer, each in self.processes.items():
                name = f"{peer.ip} {peer.role}"
                assert each.version >= self.highest_versions.get(name, 0)
                self.highest_versions[name] = each.version

    def run_until(self, condition: collections.abc.Callable[[], bool],
                  timeout: float) -> None:
        """Advances the time until a condition is true or a timeout passes."""
        started_at = self.reactor.seconds()
        while not condition():
            assert self.reactor.seconds() - started_at < timeout, "timed out"
            self.run(0.1)

    def list_versions(self) -> set[int]:
        """Returns the versions in force at all entries and schedulers."""
        return {each.version for each in self.processes.values()}

    def apply(self,
              vm: str,
              apply_id: str,
              expected_version: int | None = None) -> defer.Deferred:
        """Applies the example document through a VM's agent."""
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
    """Returns the platform's value for a version of the example document."""
    return document_codec.encode_stored(
        configuration.VersionedDocument(version, apply_id, EXAMPLE))
