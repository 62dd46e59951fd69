"""Exchange of messages between agents."""

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
from mustardwood.agent import configuration_keeper
from mustardwood.agent import conviction_board
from mustardwood.agent import document_codec
from mustardwood.agent import leaving_marks

PULL_PERIOD = datetime.timedelta(milliseconds=500)
"""Shortest time between two pulls of a configuration."""

_log = runtime.make_logger("agent")


class Gossip:
    """Passes configurations, leaving VMs and convictions on.

    What is new to this VM goes on at once to the agents that
    `membership.choose_peers` chooses; what is not, goes no further. A version
    that was missed is found by comparing versions in probes, and pulled.
    """

    def __init__(
        self, link: links.Link, detector: membership.FailureDetector,
        keeper: configuration_keeper.ConfigurationKeeper,
        marks: leaving_marks.LeavingMarks,
        board: conviction_board.ConvictionBoard, own_vm: str,
        clock: timing.Clock, rng: random.Random,
        on_conviction: collections.abc.Callable[[messages.RequestBlock], None]
    ) -> None:
        self._link = link
        self._detector = detector
        self._keeper = keeper
        self._marks = marks
        self._board = board
        self._own_vm = own_vm
        self._clock = clock
        self._rng = rng
        self._on_conviction = on_conviction
        self._pulled_at: datetime.timedelta | None = None
        self._packed: messages.ConfigurationPush | None = None

    def spread(self, message: messages.Message) -> None:
        """Sends a message to the chosen agents."""
        peers = membership.choose_peers(self._detector.members(), self._own_vm,
                                        self._rng)
        for peer in peers:
            self._link.send(peer, message)

    def spread_document(self,
                        document: configuration.VersionedDocument) -> None:
        """Tells of a configuration that was just adopted.

        Only its version is sent. The document is large, and most of the
        chosen agents hear of it several times; each pulls it once.
        """
        self._packed = document_codec.pack_document(document)
        self.pull_configuration()

    def pull_configuration(self) -> None:
        """Asks other agents for a newer configuration."""
        self.spread(messages.ConfigurationPull(self._keeper.version))

    def compare_version(self, sender: messages.Peer, version: int) -> None:
        """Pulls the sender's configuration when it is newer."""
        now = self._clock.monotonic()
        if version <= self._keeper.version:
            return
        if (self._pulled_at is not None and
                now - self._pulled_at < PULL_PERIOD):
            return
        self._pulled_at = now
        pull = messages.ConfigurationPull(self._keeper.version)
        self._link.send(sender, pull)

    def accept_pull(self, sender: messages.Peer,
                    pull: messages.ConfigurationPull) -> None:
        """Answers a pull when ours is newer, and pulls when ours is older."""
        if self._packed is not None and self._keeper.version > pull.version:
            self._link.send(sender, self._packed)
        else:
            self.compare_version(sender, pull.version)

    def accept_push(self, push: messages.ConfigurationPush) -> None:
        """Takes a configuration of another agent."""
        if push.document.version <= self._keeper.version:
            return
        try:
            document = document_codec.unpack_document(push)
        except errors.LinkError as error:
            _log.warning("%s", error)
            return
        self._keeper.accept_neighbour(document)

    def accept_leaving(self, notice: messages.LeavingNotice) -> None:
        """Takes marks of endpoint VMs."""
        self.spread_leaving(
            self._marks.mark(notice.vms, self._clock.monotonic()))

    def spread_leaving(self, vms: tuple[str, ...]) -> None:
        """Passes newly marked endpoint VMs on."""
        if vms:
            self.spread(messages.LeavingNotice(vms))

    def accept_suspicion(self, suspicion: messages.CrashReport) -> None:
        """Takes a report of a crash, and passes it on once."""
        fresh = self._board.accept_suspicion(suspicion, self._clock.now())
        if fresh is None:
            return
        self.spread(suspicion)
        self._spread_convictions(fresh)

    def accept_convictions(self, notice: messages.RequestBlockNotice) -> None:
        """Takes convictions, and passes on those that are new."""
        fresh = self._board.accept_convictions(notice.convictions,
                                               self._clock.now())
        self._spread_convictions(fresh)

    def _spread_convictions(self, fresh: tuple[messages.RequestBlock,
                                               ...]) -> None:
        if not fresh:
            return
        self.spread(messages.RequestBlockNotice(fresh))
        for each in fresh:
            _log.warning("request %s crashes endpoints and may not run",
                         each.fingerprint)
            self._on_conviction(each)
