"""Failure detection by random probes."""

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
"""Time between probes in a large fleet."""

SMALL_PROBE_PERIOD = datetime.timedelta(milliseconds=250)
"""Time between probes in a fleet of up to `SMALL_FLEET_MAX_VMS` VMs."""

DIRECT_PROBE_TIMEOUT = datetime.timedelta(milliseconds=200)
"""Time from a direct probe to the indirect ones."""

PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time from a direct probe to the suspicion."""

SMALL_FLEET_SUSPICION_TIMEOUT = datetime.timedelta(milliseconds=600)
"""Time from suspicion to death in a small fleet."""

SUSPICION_TIMEOUT_PER_DOUBLING = datetime.timedelta(milliseconds=600)
"""Time from suspicion to death for each doubling of a large fleet."""

DEAD_PROBE_PERIOD = datetime.timedelta(seconds=5)
"""Time between probes of VMs that are held for dead."""

PAUSE_THRESHOLD = datetime.timedelta(milliseconds=500)
"""Time between two ticks beyond which this process was itself stopped."""

DISPUTE_PROBE_INTERVAL = datetime.timedelta(seconds=1)
"""Shortest time between probes caused by outdated suspicions."""

INDIRECT_PROBE_COUNT = 3
"""Number of VMs that are asked to probe for us."""

MAX_UPDATES_PER_MESSAGE = 8
"""Largest number of members told about in a message."""

_State = messages.MemberState
_Messages = tuple[messages.Addressed, ...]


class FailureDetector:
    """Tells which VMs are alive, by SWIM [1]_ with parts of Lifeguard [2]_.

    One VM is probed in each period, in a random round-robin order. One that
    does not answer is probed through three others, then suspected, then held
    for dead. A suspected VM is told so, and refutes with a higher incarnation.
    News travels in probes and their answers; a small fleet also sends it to all
    at once. Each message tells the state of its sender.

    The detector sends a bounded number of messages a second, whatever the size
    of the fleet. Every method returns the messages to send.

    References:
        .. [1] A. Das, I. Gupta and A. Motivala, "SWIM: scalable
           weakly-consistent infection-style process group membership
           protocol", DSN 2002.
        .. [2] A. Dadgar, J. Phillips and J. Currey, "Lifeguard: local health
           awareness for more accurate failure detection", DSN-W 2018.
    """

    def __init__(self, me: messages.Member, rng: random.Random) -> None:
        self._own_member = me
        self._rng = rng
        self._table = member_table.MemberTable()
        self._table.put(me, datetime.timedelta())
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
        """Returns all VMs, this one included, by name."""
        return self._table.members()

    def set_version(self, version: int) -> None:
        """Sets the configuration version in force, told in each message."""
        self._own_member = msgspec.structs.replace(self._own_member,
                                                   version=version)
        self._table.put(self._own_member, datetime.timedelta())

    def tick(self, now: datetime.timedelta) -> _Messages:
        """Sends the probes that are due and judges the ones without answer.

        Args:
            now: Present time; a call every 0.1 s or so is enough.
        """
        if self._detect_pause(now):
            self._discard_pending_probes(now)
        out = list(self._check_probe_timeouts(now))
        out += self._declare_suspects_dead(now)
        for vm in self._table.remove_expired_dead(now):
            self._gossip_queue.remove(vm)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._choose_probe_period()
            out += self._probe_next(now)
        if now >= self._next_dead_probe_at:
            self._next_dead_probe_at = now + DEAD_PROBE_PERIOD
            out += self._probe_dead(now)
        return tuple(out)

    def accept_ping(self, sender: messages.Peer, ping: messages.Ping,
                    now: datetime.timedelta) -> _Messages:
        """Answers a probe, or passes it on to its target."""
        out = self._merge_updates(ping.news, now)
        if not ping.target or ping.target == self._own_member.vm:
            return (*out, self._make_ack(sender, ping.probe))
        target = self._table.get(ping.target)
        if target is None:
            return out
        number = self._allocate_probe_number()
        self._relays[number] = probe_module.Relay(sender, ping.probe, now)
        return (*out, self._make_ping(target, number))

    def accept_ack(self, sender: messages.Peer, ack: messages.PingAck,
                   now: datetime.timedelta) -> _Messages:
        """Takes the answer to a probe."""
        del sender
        out = self._merge_updates(ack.news, now)
        self._probes.pop(ack.probe, None)
        relay = self._relays.pop(ack.probe, None)
        if relay is None:
            return out
        news = self._choose_updates(ack.vm)
        answer = messages.PingAck(relay.probe, ack.vm, ack.version, news)
        return (*out, messages.Addressed(relay.origin, answer))

    def update_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                    now: datetime.timedelta) -> _Messages:
        """Takes the platform's list of VMs."""
        kept = tuple(records)
        changed = self._table.update_list(kept, now)
        for vm in changed:
            self._gossip_queue.add(vm)
        return self._apply_own_leaving_flag(kept, now)

    def probe_now(self, vm: str, now: datetime.timedelta) -> _Messages:
        """Probes a VM at once because another process got no answer."""
        member = self._table.get(vm)
        if member is None or vm == self._own_member.vm:
            return ()
        if any(each.vm == vm for each in self._probes.values()):
            return ()
        return (self._start_probe(member, now),)

    def announce_leaving(self, now: datetime.timedelta) -> _Messages:
        """Tells others that this VM is about to stop."""
        self._update_own_member(_State.LEAVING, self._own_member.incarnation,
                                now)
        return self._broadcast()

    def _detect_pause(self, now: datetime.timedelta) -> bool:
        last, self._last_tick_at = self._last_tick_at, now
        return last is not None and now - last > PAUSE_THRESHOLD

    def _discard_pending_probes(self, now: datetime.timedelta) -> None:
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
        return member.vm != self._own_member.vm and member.state is not _State.DEAD

    def _probe_dead(self, now: datetime.timedelta) -> _Messages:
        dead = self._table.find_in_state(_State.DEAD)
        if not dead:
            return ()
        return (self._start_probe(self._rng.choice(dead), now),)

    def _start_probe(self, member: messages.Member,
                     now: datetime.timedelta) -> messages.Addressed:
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
        out: list[messages.Addressed] = []
        for number, each in tuple(self._probes.items()):
            if now - each.sent_at >= PROBE_TIMEOUT:
                del self._probes[number]
                out += self._handle_probe_failure(each.vm, now)
            elif now - each.sent_at >= DIRECT_PROBE_TIMEOUT and not each.indirect:
                self._probes[number] = dataclasses.replace(each, indirect=True)
                out += self._probe_indirectly(number, each.vm)
        return tuple(out)

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
        out: list[messages.Addressed] = []
        for each in self._table.find_in_state(_State.SUSPECT):
            if now - self._table.changed_at(each.vm) >= timeout:
                out += self._set_state(each, _State.DEAD, now)
        return tuple(out)

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
        told = self._make_ping(changed, self._allocate_probe_number())
        return (told, *self._broadcast_if_small_fleet(skipped=member.vm))

    def _merge_updates(self, news: collections.abc.Iterable[messages.Member],
                       now: datetime.timedelta) -> _Messages:
        changed = False
        out: _Messages = ()
        for each in news:
            if each.vm == self._own_member.vm:
                changed = self._refute(each, now) or changed
            elif self._table.merge(each, now):
                self._gossip_queue.add(each.vm)
                changed = True
            else:
                out += self._probe_disputed_member(each, now)
        return (*out, *self._broadcast_if_small_fleet()) if changed else out

    def _probe_disputed_member(self, heard: messages.Member,
                               now: datetime.timedelta) -> _Messages:
        """Probes a VM whose older incarnation others suspect.

        They may know the VM from the list only, so that their suspicion does
        not count here though it is right.
        """
        held = self._table.get(heard.vm)
        if held is None or heard.state not in (_State.SUSPECT, _State.DEAD):
            return ()
        if held.state is not _State.ALIVE or now < self._next_dispute_probe_at:
            return ()
        self._next_dispute_probe_at = now + DISPUTE_PROBE_INTERVAL
        return self.probe_now(held.vm, now)

    def _refute(self, heard: messages.Member, now: datetime.timedelta) -> bool:
        wrong = heard.state in (_State.SUSPECT, _State.DEAD)
        if not wrong or heard.incarnation < self._own_member.incarnation:
            return False
        self._update_own_member(self._own_member.state, heard.incarnation + 1,
                                now)
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
        own = [each for each in records if each.vm == self._own_member.vm]
        if not own or own[0].leaving == self._is_listed_as_leaving:
            return ()
        self._is_listed_as_leaving = own[0].leaving
        if own[0].leaving:
            self._update_own_member(_State.LEAVING,
                                    self._own_member.incarnation, now)
        else:
            self._update_own_member(_State.ALIVE,
                                    self._own_member.incarnation + 1, now)
        return self._broadcast()

    def _broadcast_if_small_fleet(self, skipped: str = "") -> _Messages:
        if len(self._table) > fanout.SMALL_FLEET_MAX_VMS:
            return ()
        return self._broadcast(skipped)

    def _broadcast(self, skipped: str = "") -> _Messages:
        others = [
            each for each in self.members()
            if each.vm != skipped and each.state is not _State.DEAD
        ]
        peers = fanout.choose_peers(others, self._own_member.vm, self._rng)
        ping = messages.Ping(self._allocate_probe_number(),
                             self._own_member.version, self._choose_updates(""))
        return tuple(messages.Addressed(peer, ping) for peer in peers)

    def _make_ping(self,
                   member: messages.Member,
                   number: int,
                   target: str = "") -> messages.Addressed:
        peer = messages.Peer(member.ip, messages.Role.AGENT)
        told = target or member.vm
        ping = messages.Ping(number, self._own_member.version,
                             self._choose_updates(told), target)
        return messages.Addressed(peer, ping)

    def _make_ack(self, peer: messages.Peer, number: int) -> messages.Addressed:
        ack = messages.PingAck(number,
                               self._own_member.vm, self._own_member.version,
                               self._choose_updates(""))
        return messages.Addressed(peer, ack)

    def _choose_updates(self, about: str) -> tuple[messages.Member, ...]:
        """Returns this VM's own state, that of `about`, and what is new."""
        names = list(
            self._gossip_queue.take(MAX_UPDATES_PER_MESSAGE, len(self._table)))
        wanted = dict.fromkeys([about, *names])
        wanted.pop(self._own_member.vm, None)
        held = (self._table.get(vm) for vm in wanted)
        return (self._own_member, *(each for each in held if each is not None))
