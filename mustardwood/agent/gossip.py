"""Gossip between agents."""

import collections.abc
import datetime
import random

from mustardwood import configuration
from mustardwood import errors
from mustardwood import links
from mustardwood import membership
from mustardwood import messages
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import configuration_synchronizer
from mustardwood.agent import crash_tracker
from mustardwood.agent import document_codec
from mustardwood.agent import leaving_vm_tracker

MIN_PULL_INTERVAL = datetime.timedelta(milliseconds=500)
"""Minimum interval between two pulls caused by a higher version."""

_log = runtime.make_logger("agent")


class Gossip:
    """Spreads configurations, leaving VMs, crash reports and request blocks.

    Information that is new to this VM is sent at once to the agents that
    `membership.choose_peers` returns; known information is not forwarded. If
    an agent missed a configuration, it notices the higher version in a probe
    or its acknowledgement and pulls the document from the sender.

    Args:
        link: Link to other agents.
        detector: Failure detector, which holds the known VMs.
        synchronizer: Holds the configuration in force on this VM.
        leaving_vms: Holds the endpoint VMs that are leaving.
        tracker: Holds suspected and blocked requests.
        own_vm: Name of this VM.
        clock: Source of wall-clock and monotonic time.
        rng: Source of randomness.
        on_block: Called with each new block of a request.
    """

    def __init__(
        self, link: links.Link, detector: membership.FailureDetector,
        synchronizer: configuration_synchronizer.ConfigurationSynchronizer,
        leaving_vms: leaving_vm_tracker.LeavingVmTracker,
        tracker: crash_tracker.CrashTracker, own_vm: str, clock: timing.Clock,
        rng: random.Random,
        on_block: collections.abc.Callable[[messages.RequestBlock],
                                           None]) -> None:
        self._link = link
        self._detector = detector
        self._synchronizer = synchronizer
        self._leaving_vms = leaving_vms
        self._crash_tracker = tracker
        self._own_vm = own_vm
        self._clock = clock
        self._rng = rng
        self._on_block = on_block
        self._last_pull_at: datetime.timedelta | None = None
        self._packed: messages.ConfigurationPush | None = None

    def send_to_peers(self, message: messages.Message) -> None:
        """Sends a message to the agents chosen for gossip."""
        peers = membership.choose_peers(self._detector.members(), self._own_vm,
                                        self._rng)
        for peer in peers:
            self._link.send(peer, message)

    def announce_document(self,
                          document: configuration.VersionedDocument) -> None:
        """Announces a configuration that has just come into force on this VM.

        Only its version is sent, as a pull with the new version. The document
        is large, and most agents receive several announcements of it but pull
        it only once.
        """
        self._packed = document_codec.pack_document(document)
        self.pull_configuration()

    def pull_configuration(self) -> None:
        """Asks the agents chosen for gossip for a newer configuration."""
        self.send_to_peers(
            messages.ConfigurationPull(self._synchronizer.version))

    def compare_version(self, sender: messages.Peer, version: int) -> None:
        """Pulls the sender's configuration if its version is higher."""
        now = self._clock.monotonic()
        if version <= self._synchronizer.version:
            return
        if (self._last_pull_at is not None and
                now - self._last_pull_at < MIN_PULL_INTERVAL):
            return
        self._last_pull_at = now
        pull = messages.ConfigurationPull(self._synchronizer.version)
        self._link.send(sender, pull)

    def handle_pull(self, sender: messages.Peer,
                    pull: messages.ConfigurationPull) -> None:
        """Sends this VM's configuration if newer, else pulls if older."""
        if (self._packed is not None and
                self._synchronizer.version > pull.version):
            self._link.send(sender, self._packed)
        else:
            self.compare_version(sender, pull.version)

    def handle_push(self, push: messages.ConfigurationPush) -> None:
        """Processes a configuration that another agent sent."""
        if push.document.version <= self._synchronizer.version:
            return
        try:
            document = document_codec.unpack_document(push)
        except errors.LinkError as error:
            _log.warning("%s", error)
            return
        self._synchronizer.handle_neighbour_document(document)

    def handle_leaving_notice(self, notice: messages.LeavingNotice) -> None:
        """Marks endpoint VMs as leaving, and forwards new marks."""
        self.announce_leaving(
            self._leaving_vms.mark_leaving(notice.vms, self._clock.monotonic()))

    def announce_leaving(self, vms: tuple[str, ...]) -> None:
        """Announces endpoint VMs that were newly marked as leaving."""
        if vms:
            self.send_to_peers(messages.LeavingNotice(vms))

    def handle_crash_report(self, report: messages.CrashReport) -> None:
        """Records a crash, and forwards its report once."""
        new_blocks = self._crash_tracker.handle_crash_report(
            report, self._clock.now())
        if new_blocks is None:
            return
        self.send_to_peers(report)
        self._announce_blocks(new_blocks)

    def handle_block_notice(self, notice: messages.RequestBlockNotice) -> None:
        """Adds blocks of requests, and forwards those that are new."""
        new_blocks = self._crash_tracker.add_blocks(notice.convictions,
                                                    self._clock.now())
        self._announce_blocks(new_blocks)

    def _announce_blocks(self, new_blocks: tuple[messages.RequestBlock,
                                                 ...]) -> None:
        if not new_blocks:
            return
        self.send_to_peers(messages.RequestBlockNotice(new_blocks))
        for each in new_blocks:
            _log.warning("request %s crashes endpoints and may not run",
                         each.fingerprint)
            self._on_block(each)
