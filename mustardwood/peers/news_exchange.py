"""What a VM tells its peers and concludes from their news."""

import collections
import dataclasses
import datetime
import math
import random

import msgspec

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.peers import news as news_module

_MOST_REMEMBERED = 256
"""Own messages whose time is kept; they are about ten seconds' worth."""
_NUMBER_BITS = 48
"""Size of the first message number."""
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass
class _Peer:
    heard: int = 0
    heard_at: datetime.timedelta = datetime.timedelta()
    revision: int = 0
    sent: "collections.OrderedDict[int, datetime.timedelta]" = (
        dataclasses.field(default_factory=collections.OrderedDict))


class NewsExchange:
    """Builds and reads the messages of one VM; it does no I/O.

    A peer's proof of currency counts from a time on this VM's own clock: the
    peer names a message of ours and how long before its receipt the proof was
    asked for. Since the receipt is later than our send, the proof is at least
    as new as our send less that time, however long the answer was under way.
    """

    def __init__(self, vm: str, clock: timing.Clock, loads: dispatch.LoadTable,
                 memory: dispatch.PrefixMemory, crashes: dispatch.CrashRecord,
                 proof: dispatch.CurrencyProof, rng: random.Random) -> None:
        """Creates an exchange without peers.

        Args:
            vm: Name of this VM.
            clock: Its monotonic time counts suspension.
            loads: This VM's own work, and its peers'.
            memory: Where prompts were read.
            crashes: Which requests crash endpoints.
            proof: Gets the peers' proofs.
            rng: Draws the first message number, so that an echo of a number
                from before a restart names no message of this process.
        """
        self._vm = vm
        self._clock = clock
        self._loads = loads
        self._memory = memory
        self._crashes = crashes
        self._proof = proof
        self._peers: dict[str, _Peer] = {}
        self._sequence = rng.getrandbits(_NUMBER_BITS)

    def build_news(self, receiver: str, revision: int) -> bytes:
        """Returns the next message for a peer.

        Args:
            receiver: Name of the peer.
            revision: Revision of the configuration in force here.
        """
        now = self._clock.monotonic()
        peer = self._peers.setdefault(receiver, _Peer())
        self._sequence += 1
        peer.sent[self._sequence] = now
        if len(peer.sent) > _MOST_REMEMBERED:
            peer.sent.popitem(last=False)
        loads = {
            name: (each.prefill_tokens, each.places, each.brisk_streams,
                   each.held_tokens
                  ) for name, each in self._loads.list_own().items()
        }
        return msgspec.msgpack.encode(
            news_module.News(self._vm, self._sequence, peer.heard,
                             self._find_lead(peer), revision, loads,
                             self._memory.list_moves(),
                             self._crashes.list_news()))

    def take_news(self, data: bytes, revision: int) -> news_module.News | None:
        """Takes over a message.

        Args:
            data: The datagram.
            revision: Revision of the configuration in force here.

        Returns:
            The message; None if it can't be read or is older than one known.
        """
        try:
            found = msgspec.msgpack.decode(data, type=news_module.News)
        except msgspec.MsgspecError:
            return None
        peer = self._peers.setdefault(found.sender, _Peer())
        if found.sequence <= peer.heard and not _is_restart(found, peer):
            return None
        peer.heard = found.sequence
        peer.heard_at = self._clock.monotonic()
        peer.revision = found.revision
        self._loads.set_peer(
            found.sender, {
                name: dispatch.EndpointLoad(*figures)
                for name, figures in found.loads.items()
            })
        for endpoint, subject in found.moves:
            self._memory.record_subject(endpoint, subject)
        for fingerprint, endpoint in found.losses:
            self._crashes.record_peer_loss(fingerprint, endpoint)
        asked_from = peer.sent.get(found.echo)
        if (asked_from is not None and found.proof_lead_ms >= 0 and
                found.revision <= revision):
            self._proof.record(asked_from - found.proof_lead_ms * _MILLISECOND)
        return found

    def forget_peer(self, name: str) -> None:
        """Forgets a VM that has left."""
        self._peers.pop(name, None)

    def _find_lead(self, peer: _Peer) -> int:
        age = self._proof.age()
        if age is None:
            return -1
        asked = self._clock.monotonic() - age
        return max(0, math.ceil((peer.heard_at - asked) / _MILLISECOND))


def _is_restart(found: news_module.News, peer: _Peer) -> bool:
    """Returns whether the sender counts anew, as after its restart.

    A late datagram of the old process is far closer to the last number.
    """
    return found.sequence < peer.heard - _MOST_REMEMBERED or found.echo == 0
