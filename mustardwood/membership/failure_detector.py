"""Failure detection by probing random members."""

import collections.abc
import dataclasses
import datetime
import math
import random

import msgspec

from mustardwood import messages
from mustardwood import vmlist
from mustardwood.membership import fanout
from mustardwood.membership import gossip_queue
from mustardwood.membership import member_table
from mustardwood.membership import probe as probe_module

PROBE_PERIOD = datetime.timedelta(seconds=1)
"""Interval between probes in a large fleet."""

SMALL_PROBE_PERIOD = datetime.timedelta(milliseconds=250)
"""Interval between probes in a fleet of up to `SMALL_FLEET_MAX_VMS` VMs."""

DIRECT_PROBE_TIMEOUT = datetime.timedelta(milliseconds=200)
"""Time without a response after which indirect probes are sent."""

PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time without a response after which a VM is suspected."""

SMALL_FLEET_SUSPICION_TIMEOUT = datetime.timedelta(milliseconds=600)
"""Time after which a suspected VM is declared dead in a small fleet."""

SUSPICION_TIMEOUT_PER_DOUBLING = datetime.timedelta(milliseconds=600)
"""Factor of the suspicion timeout in a large fleet.

With n VMs, a suspected VM is declared dead after ``log2(n)`` times this value.
"""

DEAD_PROBE_PERIOD = datetime.timedelta(seconds=5)
"""Interval between probes of dead VMs, which detect a returned one."""

PAUSE_THRESHOLD = datetime.timedelta(milliseconds=500)
"""Time between two ticks above which this process is taken to have paused.

A response missing because of the pause is no evidence of a failed VM.
"""

DISPUTE_PROBE_INTERVAL = datetime.timedelta(seconds=1)
"""Minimum interval between probes caused by outdated suspicions."""

INDIRECT_PROBE_COUNT = 3
"""Number of VMs that are asked to send an indirect probe."""

MAX_UPDATES_PER_MESSAGE = 8
"""Maximum number of queued member updates in one message."""

_State = messages.MemberState
_Messages = tuple[messages.AddressedMessage, ...]


class FailureDetector:
    """Detects failed VMs by SWIM [1]_ with parts of Lifeguard [2]_.

    In each period one VM is probed, in a random round-robin order. A VM that
    does not respond is probed through three others, then suspected, then
    declared dead. A suspected VM is notified and refutes the suspicion by
    raising its incarnation number. Updates about members are piggybacked on
    probes and acknowledgements, in their field ``news``; in a small fleet they
    are also sent to all VMs at once. Each message holds the state of its
    sender.

    The number of messages sent per second is bounded, whatever the size of the
    fleet. The class does no I/O: methods that take part in the protocol return
    the messages to send.

    Args:
        own_member: This VM.
        rng: Source of randomness.

    References:
        .. [1] A. Das, I. Gupta and A. Motivala, "SWIM: scalable
           weakly-consistent infection-style process group membership
           protocol", DSN 2002.
        .. [2] A. Dadgar, J. Phillips and J. Currey, "Lifeguard: local health
           awareness for more accurate failure detection", DSN-W 2018.
    """

    def __init__(self, own_member: messages.Member, rng: random.Random) -> None:
        self._own_member = own_member
        self._rng = rng
        self._table = member_table.MemberTable()
        self._table.put(own_member, datetime.timedelta())
        self._gossip_queue = gossip_queue.GossipQueue()
        self._probes: dict[int, probe_module.Probe] = {}
        self._relays: dict[int, probe_module.Relay] = {}
        self._last_probe_number = 0
        self._probe_order: list[str] = []
        self._next_probe_at = datetime.timedelta()
        self._next_dead_probe_at = datetime.timedelta()
        self._next_dispute_probe_at = datetime.timedelta()
        self._last_tick_at: datetime.timedelta | None = None
        self._is_listed_as_leaving = False

    def members(self) -> tuple[messages.Member, ...]:
        """Returns all known VMs, this one included, sorted by name."""
        return self._table.members()

    def set_version(self, version: int) -> None:
        """Sets the configuration version in force, which each message holds."""
        self._own_member = msgspec.structs.replace(self._own_member,
                                                   version=version)
        self._table.put(self._own_member, datetime.timedelta())

    def tick(self, now: datetime.timedelta) -> _Messages:
        """Sends due probes and handles those whose timeout has passed.

        Args:
            now: Current monotonic time. Calling this about every 0.1 s is
                enough.

        Returns:
            The messages to send.
        """
        if self._detect_pause(now):
            self._discard_pending_probes(now)
        outgoing = list(self._check_probe_timeouts(now))
        outgoing += self._declare_suspects_dead(now)
        for vm in self._table.remove_expired_dead(now):
            self._gossip_queue.remove(vm)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._choose_probe_period()
            outgoing += self._probe_next(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + DEAD_PROBE_PERIOD
            outgoing += self._probe_dead(now)
        return tuple(outgoing)

    def handle_ping(self, sender: messages.Peer, ping: messages.Ping,
                    now: datetime.timedelta) -> _Messages:
        """Acknowledges a probe, or probes its target for the sender."""
        outgoing = self._merge_updates(ping.news, now)
        if not ping.target or ping.target == self._own_member.vm:
            return (*outgoing, self._make_ack(sender, ping.probe))
        target = self._table.get(ping.target)
        if target is None:
            return outgoing
        number = self._allocate_probe_number()
        self._relays[number] = probe_module.Relay(sender, ping.probe, now)
        return (*outgoing, self._make_ping(target, number))

    def handle_ack(self, sender: messages.Peer, ack: messages.PingAck,
                   now: datetime.timedelta) -> _Messages:
        """Processes the acknowledgement of a probe."""
        del sender
        outgoing = self._merge_updates(ack.news, now)
        self._probes.pop(ack.probe, None)
        relay = self._relays.pop(ack.probe, None)
        if relay is None:
            return outgoing
        news = self._choose_updates(ack.vm)
        relayed_ack = messages.PingAck(relay.probe, ack.vm, ack.version, news)
        return (*outgoing, messages.AddressedMessage(relay.origin, relayed_ack))

    def update_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                    now: datetime.timedelta) -> _Messages:
        """Processes the platform's list of VMs."""
        vm_records = tuple(records)
        changed = self._table.update_list(vm_records, now)
        for vm in changed:
            self._gossip_queue.add(vm)
        return self._apply_own_leaving_flag(vm_records, now)

    def probe_now(self, vm: str, now: datetime.timedelta) -> _Messages:
        """Probes a VM at once; called when it did not respond to a process."""
        member = self._table.get(vm)
        if member is None or vm == self._own_member.vm:
            return ()
        if any(each.vm == vm for each in self._probes.values()):
            return ()
        return (self._start_probe(member, now),)

    def announce_leaving(self, now: datetime.timedelta) -> _Messages:
        """Announces to other VMs that this one is about to stop."""
        self._update_own_member(_State.LEAVING, self._own_member.incarnation,
                                now)
        return self._push_updates()

    def _detect_pause(self, now: datetime.timedelta) -> bool:
        last, self._last_tick_at = self._last_tick_at, now
        return last is not None and now - last > PAUSE_THRESHOLD

    def _discard_pending_probes(self, now: datetime.timedelta) -> None:
        """Drops unanswered probes and restarts the suspicion timeouts."""
        self._probes.clear()
        for each in self._table.find_in_state(_State.SUSPECT):
            self._table.restart_timer(each.vm, now)

    def _choose_probe_period(self) -> datetime.timedelta:
        small = len(self._table) <= fanout.SMALL_FLEET_MAX_VMS
        return SMALL_PROBE_PERIOD if small else PROBE_PERIOD

    def _probe_next(self, now: datetime.timedelta) -> _Messages:
        for _ in range(len(self._table) + 1):
            if not self._probe_order:
                self._probe_order = [each.vm for each in self.members()]
                self._rng.shuffle(self._probe_order)
            member = self._table.get(self._probe_order.pop())
            if member is not None and self._is_probe_candidate(member):
                return (self._start_probe(member, now),)
        return ()

    def _is_probe_candidate(self, member: messages.Member) -> bool:
        return (member.vm != self._own_member.vm and
                member.state is not _State.DEAD)

    def _probe_dead(self, now: datetime.timedelta) -> _Messages:
        dead = self._table.find_in_state(_State.DEAD)
        if not dead:
            return ()
        return (self._start_probe(self._rng.choice(dead), now),)

    def _start_probe(self, member: messages.Member,
                     now: datetime.timedelta) -> messages.AddressedMessage:
        number = self._allocate_probe_number()
        self._probes[number] = probe_module.Probe(member.vm, now)
        return self._make_ping(member, number)

    def _allocate_probe_number(self) -> int:
        self._last_probe_number += 1
        return self._last_probe_number

    def _check_probe_timeouts(self, now: datetime.timedelta) -> _Messages:
        self._relays = {
            number: each
            for number, each in self._relays.items()
            if now - each.sent_at < PROBE_TIMEOUT
        }
        outgoing: list[messages.AddressedMessage] = []
        for number, each in tuple(self._probes.items()):
            if now - each.sent_at >= PROBE_TIMEOUT:
                del self._probes[number]
                outgoing += self._handle_probe_failure(each.vm, now)
            elif (now - each.sent_at >= DIRECT_PROBE_TIMEOUT and
                  not each.indirect):
                self._probes[number] = dataclasses.replace(each, indirect=True)
                outgoing += self._probe_indirectly(number, each.vm)
        return tuple(outgoing)

    def _probe_indirectly(self, number: int, vm: str) -> _Messages:
        helpers = [
            each for each in self._table.find_in_state(_State.ALIVE)
            if each.vm not in (vm, self._own_member.vm)
        ]
        chosen = self._rng.sample(helpers,
                                  min(INDIRECT_PROBE_COUNT, len(helpers)))
        return tuple(self._make_ping(each, number, vm) for each in chosen)

    def _handle_probe_failure(self, vm: str,
                              now: datetime.timedelta) -> _Messages:
        member = self._table.get(vm)
        if member is None:
            return ()
        if member.state is _State.ALIVE:
            return self._set_state(member, _State.SUSPECT, now)
        if member.state is _State.LEAVING:
            return self._set_state(member, _State.DEAD, now)
        return ()

    def _declare_suspects_dead(self, now: datetime.timedelta) -> _Messages:
        timeout = self._choose_suspicion_timeout()
        outgoing: list[messages.AddressedMessage] = []
        for each in self._table.find_in_state(_State.SUSPECT):
            if now - self._table.changed_at(each.vm) >= timeout:
                outgoing += self._set_state(each, _State.DEAD, now)
        return tuple(outgoing)

    def _choose_suspicion_timeout(self) -> datetime.timedelta:
        size = len(self._table)
        if size <= fanout.SMALL_FLEET_MAX_VMS:
            return SMALL_FLEET_SUSPICION_TIMEOUT
        return SUSPICION_TIMEOUT_PER_DOUBLING * math.log2(size)

    def _set_state(self, member: messages.Member, state: messages.MemberState,
                   now: datetime.timedelta) -> _Messages:
        changed = msgspec.structs.replace(member, state=state)
        self._table.put(changed, now)
        self._gossip_queue.add(member.vm)
        notification = self._make_ping(changed, self._allocate_probe_number())
        return (notification,
                *self._push_updates_in_small_fleet(skipped=member.vm))

    def _merge_updates(self, news: collections.abc.Iterable[messages.Member],
                       now: datetime.timedelta) -> _Messages:
        changed = False
        outgoing: _Messages = ()
        for each in news:
            if each.vm == self._own_member.vm:
                changed = self._refute(each, now) or changed
            elif self._table.merge(each, now):
                self._gossip_queue.add(each.vm)
                changed = True
            else:
                outgoing += self._probe_disputed_member(each, now)
        return (*outgoing,
                *self._push_updates_in_small_fleet()) if changed else outgoing

    def _probe_disputed_member(self, received: messages.Member,
                               now: datetime.timedelta) -> _Messages:
        """Probes a VM that is alive here but suspected by others.

        Their suspicion has a lower incarnation and is ignored here. It may
        still be right, as others may know the VM only from the platform's list
        and hence without its current incarnation.
        """
        known = self._table.get(received.vm)
        if known is None or received.state not in (_State.SUSPECT, _State.DEAD):
            return ()
        if known.state is not _State.ALIVE or now < self._next_dispute_probe_at:
            return ()
        self._next_dispute_probe_at = now + DISPUTE_PROBE_INTERVAL
        return self.probe_now(known.vm, now)

    def _refute(self, received: messages.Member,
                now: datetime.timedelta) -> bool:
        is_suspicion = received.state in (_State.SUSPECT, _State.DEAD)
        if (not is_suspicion or
                received.incarnation < self._own_member.incarnation):
            return False
        self._update_own_member(self._own_member.state,
                                received.incarnation + 1, now)
        return True

    def _update_own_member(self, state: messages.MemberState, incarnation: int,
                           now: datetime.timedelta) -> None:
        self._own_member = msgspec.structs.replace(self._own_member,
                                                   state=state,
                                                   incarnation=incarnation)
        self._table.put(self._own_member, now)
        self._gossip_queue.add(self._own_member.vm)

    def _apply_own_leaving_flag(self, records: tuple[vmlist.VmRecord, ...],
                                now: datetime.timedelta) -> _Messages:
        own_records = [
            each for each in records if each.vm == self._own_member.vm
        ]
        if not own_records or own_records[
                0].leaving == self._is_listed_as_leaving:
            return ()
        self._is_listed_as_leaving = own_records[0].leaving
        if own_records[0].leaving:
            self._update_own_member(_State.LEAVING,
                                    self._own_member.incarnation, now)
        else:
            self._update_own_member(_State.ALIVE,
                                    self._own_member.incarnation + 1, now)
        return self._push_updates()

    def _push_updates_in_small_fleet(self, skipped: str = "") -> _Messages:
        if len(self._table) > fanout.SMALL_FLEET_MAX_VMS:
            return ()
        return self._push_updates(skipped)

    def _push_updates(self, skipped: str = "") -> _Messages:
        """Returns pings with updates for the agents of `choose_peers`."""
        others = [
            each for each in self.members()
            if each.vm != skipped and each.state is not _State.DEAD
        ]
        peers = fanout.choose_peers(others, self._own_member.vm, self._rng)
        ping = messages.Ping(self._allocate_probe_number(),
                             self._own_member.version, self._choose_updates(""))
        return tuple(messages.AddressedMessage(peer, ping) for peer in peers)

    def _make_ping(self,
                   member: messages.Member,
                   number: int,
                   target: str = "") -> messages.AddressedMessage:
        peer = messages.Peer(member.ip, messages.Role.AGENT)
        subject = target or member.vm
        ping = messages.Ping(number, self._own_member.version,
                             self._choose_updates(subject), target)
        return messages.AddressedMessage(peer, ping)

    def _make_ack(self, peer: messages.Peer,
                  number: int) -> messages.AddressedMessage:
        ack = messages.PingAck(number,
                               self._own_member.vm, self._own_member.version,
                               self._choose_updates(""))
        return messages.AddressedMessage(peer, ack)

    def _choose_updates(self, about: str) -> tuple[messages.Member, ...]:
        """Returns this VM, the VM named `about` and the next queued updates."""
        queued = list(
            self._gossip_queue.take(MAX_UPDATES_PER_MESSAGE, len(self._table)))
        names_to_send = dict.fromkeys([about, *queued])
        names_to_send.pop(self._own_member.vm, None)
        known = (self._table.get(vm) for vm in names_to_send)
        return (self._own_member, *(each for each in known if each is not None))
