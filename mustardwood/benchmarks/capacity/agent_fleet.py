"""Agents of a whole fleet in simulated time."""

import random

from mustardwood import configuration
from mustardwood import messages
from mustardwood import settings as settings_module
from mustardwood import vmlist
from mustardwood.agent import agent as agent_module
from mustardwood.agent import configuration_synchronizer
from mustardwood.agent import document_codec
from mustardwood.benchmarks.capacity import memory_link
from mustardwood.benchmarks.capacity import memory_platform
from mustardwood.benchmarks.capacity import virtual_reactor

_ZONES = 9
_REGIONS = 4


class _ViewReceiver:
    """An entry or scheduler that acknowledges the views of its agent.

    Attributes:
        version: Configuration version of the last view; 0 for none.
        dead: VMs that the last view reports as dead.
        link: Link to the agent.
    """

    def __init__(self, network: memory_link.Network,
                 peer: messages.Peer) -> None:
        self.version = 0
        self.dead: frozenset[str] = frozenset()
        self.link = memory_link.MemoryLink(network, peer, 1)
        self.link.set_handler(self._handle_message)
        self.link.open()

    def _handle_message(self, envelope: messages.Envelope) -> None:
        body = envelope.body
        if not isinstance(body, messages.View):
            return
        self.dead = frozenset(each.vm
                              for each in body.members
                              if each.state is messages.MemberState.DEAD)
        if body.configuration is not None:
            self.version = body.configuration.version
        self.link.send(envelope.sender,
                       messages.ViewAck(body.sequence, self.version))


class AgentFleet:
    """Real agents with an in-memory network and platform.

    Attributes:
        reactor: Timers and clock in simulated time.
        platform: The platform.
        network: Network between all links.
        agents: Agents by VM.
        agent_links: Links of the agents by VM.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.reactor = virtual_reactor.VirtualReactor()
        self._rng = random.Random(seed)
        self.network = memory_link.Network(self.reactor, self._rng)
        records = tuple(
            vmlist.VmRecord(f"vm-{i}", f"10.9.{i // 250}.{i % 250 + 1}",
                            f"zone-{i % _ZONES}",
                            f"region-{i % _ZONES % _REGIONS}")
            for i in range(size))
        self.platform = memory_platform.MemoryPlatform(self.reactor, records)
        self.agents: dict[str, agent_module.Agent] = {}
        self.agent_links: dict[str, memory_link.MemoryLink] = {}
        self._receivers: dict[str, list[_ViewReceiver]] = {}
        self._dead: set[str] = set()

    def start(self) -> None:
        """Starts all VMs at random times within one second."""
        for record in self.platform.records:
            self.reactor.callLater(self._rng.random(), self._start_vm, record)

    def write_configuration(self, version: int,
                            document: configuration.Document) -> None:
        """Writes a configuration version to the platform."""
        versioned = configuration.VersionedDocument(
            version, f"apply-{version}", configuration.dump_document(document))
        self.platform.write(configuration_synchronizer.CONFIGURATION_KEY,
                            document_codec.encode_stored(versioned))

    def is_in_force(self, version: int) -> bool:
        """Returns whether all entries and schedulers have this version."""
        return all(each.version == version
                   for group in self._receivers.values()
                   for each in group)

    def kill(self, vm: str) -> None:
        """Stops all processes of a VM without notifying the others."""
        self._dead.add(vm)
        self.agent_links[vm].close()
        for each in self._receivers.pop(vm):
            each.link.close()

    def count_vms_seeing_dead(self, vm: str) -> int:
        """Returns the number of VMs whose entry considers a VM dead."""
        return sum(vm in group[0].dead for group in self._receivers.values())

    def count_falsely_dead(self) -> int:
        """Returns the number of live VMs that some entry considers dead."""
        reported_dead = {
            vm for group in self._receivers.values() for vm in group[0].dead
        }
        return len(reported_dead - self._dead)

    def _start_vm(self, record: vmlist.VmRecord) -> None:
        self._receivers[record.vm] = [
            _ViewReceiver(self.network, messages.Peer(record.ip, role))
            for role in (messages.Role.ENTRY, messages.Role.SCHEDULER)
        ]
        link = memory_link.MemoryLink(
            self.network, messages.Peer(record.ip, messages.Role.AGENT),
            int(self.reactor.now().timestamp() * 1e9))
        settings = settings_module.Settings(record.vm, record.ip, record.zone,
                                            record.region, "")
        agent = agent_module.Agent(settings, self.reactor, self.reactor, link,
                                   self.platform, self.platform,
                                   random.Random(self._rng.random()))
        self.agent_links[record.vm] = link
        self.agents[record.vm] = agent
        agent.start_loops()
