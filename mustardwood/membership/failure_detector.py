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
from mustardwood.membership import member_table
from mustardwood.membership import news_queue
from mustardwood.membership import probe as probe_module

PROBE_PERIOD = datetime.timedelta(seconds=1)
"""Time between probes in a large fleet."""

SMALL_PROBE_PERIOD = datetime.timedelta(milliseconds=250)
"""Time between probes in a fleet of up to `SMALL_FLEET_MAX_VMS` VMs."""

DIRECT_TIMEOUT = datetime.timedelta(milliseconds=200)
"""Time from a direct probe to the indirect ones."""

PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time from a direct probe to the suspicion."""

SUSPICION_TIMEOUT = datetime.timedelta(milliseconds=600)
"""Time from suspicion to death in a small fleet."""

SUSPICION_PER_DOUBLING = datetime.timedelta(milliseconds=600)
"""Time from suspicion to death for each doubling of a large fleet."""

DEAD_PROBE_PERIOD = datetime.timedelta(seconds=5)
"""Time between probes of VMs that are held for dead."""

PAUSE_LIMIT = datetime.timedelta(milliseconds=500)
"""Time between two ticks beyond which this process was itself stopped."""

DOUBT_PERIOD = datetime.timedelta(seconds=1)
"""Shortest time between probes caused by outdated suspicions."""

INDIRECT_PROBES = 3
"""Number of VMs that are asked to probe for us."""

NEWS_PER_MESSAGE = 8
"""Largest number of members told about in a message."""

_State = messages.MemberState
_Out = tuple[messages.Addressed, ...]


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
        self._me = me
        self._rng = rng
        self._table = member_table.MemberTable()
        self._table.put(me, datetime.timedelta())
        self._news = news_queue.NewsQueue()
        self._probes: dict[int, probe_module.Probe] = {}
        self._relays: dict[int, probe_module.Relay] = {}
        self._numbers = 0
        self._order: list[str] = []
        self._next_probe = datetime.timedelta()
        self._next_dead_probe = datetime.timedelta()
        self._next_doubt = datetime.timedelta()
        self._last_tick: datetime.timedelta | None = None
        self._listed_leaving = False

    def members(self) -> tuple[messages.Member, ...]:
        """Returns all VMs, this one included, by name."""
        return self._table.members()

    def set_version(self, version: int) -> None:
        """Sets the configuration version in force, told in each message."""
        self._me = msgspec.structs.replace(self._me, version=version)
        self._table.put(self._me, datetime.timedelta())

    def tick(self, now: datetime.timedelta) -> _Out:
        """Sends the probes that are due and judges the ones without answer.

        Args:
            now: Present time; a call every 0.1 s or so is enough.
        """
        if self._was_paused(now):
            self._forgive_silence(now)
        out = list(self._judge_probes(now))
        out += self._bury_suspects(now)
        for vm in self._table.forget_dead(now):
            self._news.remove(vm)
        if now >= self._next_probe:
            self._next_probe = now + self._choose_period()
            out += self._probe_next(now)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_PERIOD
            out += self._probe_dead(now)
        return tuple(out)

    def accept_ping(self, sender: messages.Peer, ping: messages.Ping,
                    now: datetime.timedelta) -> _Out:
        """Answers a probe, or passes it on to its target."""
        out = self._take_news(ping.news, now)
        if not ping.target or ping.target == self._me.vm:
            return (*out, self._make_ack(sender, ping.probe))
        target = self._table.get(ping.target)
        if target is None:
            return out
        number = self._count_probe()
        self._relays[number] = probe_module.Relay(sender, ping.probe, now)
        return (*out, self._make_ping(target, number))

    def accept_ack(self, sender: messages.Peer, ack: messages.PingAck,
                   now: datetime.timedelta) -> _Out:
        """Takes the answer to a probe."""
        del sender
        out = self._take_news(ack.news, now)
        self._probes.pop(ack.probe, None)
        relay = self._relays.pop(ack.probe, None)
        if relay is None:
            return out
        news = self._choose_news(ack.vm)
        answer = messages.PingAck(relay.probe, ack.vm, ack.version, news)
        return (*out, messages.Addressed(relay.origin, answer))

    def update_list(self, records: collections.abc.Iterable[vmlist.VmRecord],
                    now: datetime.timedelta) -> _Out:
        """Takes the platform's list of VMs."""
        kept = tuple(records)
        changed = self._table.update_list(kept, now)
        for vm in changed:
            self._news.add(vm)
        return self._take_own_mark(kept, now)

    def probe_now(self, vm: str, now: datetime.timedelta) -> _Out:
        """Probes a VM at once because another process got no answer."""
        member = self._table.get(vm)
        if member is None or vm == self._me.vm:
            return ()
        if any(each.vm == vm for each in self._probes.values()):
            return ()
        return (self._start_probe(member, now),)

    def announce_leaving(self, now: datetime.timedelta) -> _Out:
        """Tells others that this VM is about to stop."""
        self._set_me(_State.LEAVING, self._me.incarnation, now)
        return self._spread_now()

    def _was_paused(self, now: datetime.timedelta) -> bool:
        last, self._last_tick = self._last_tick, now
        return last is not None and now - last > PAUSE_LIMIT

    def _forgive_silence(self, now: datetime.timedelta) -> None:
        self._probes.clear()
        for each in self._table.find_in_state(_State.SUSPECT):
            self._table.restart_timer(each.vm, now)

    def _choose_period(self) -> datetime.timedelta:
        small = len(self._table) <= fanout.SMALL_FLEET_MAX_VMS
        return SMALL_PROBE_PERIOD if small else PROBE_PERIOD

    def _probe_next(self, now: datetime.timedelta) -> _Out:
        for _ in range(len(self._table) + 1):
            if not self._order:
                self._order = [each.vm for each in self.members()]
                self._rng.shuffle(self._order)
            member = self._table.get(self._order.pop())
            if member is not None and self._may_probe(member):
                return (self._start_probe(member, now),)
        return ()

    def _may_probe(self, member: messages.Member) -> bool:
        return member.vm != self._me.vm and member.state is not _State.DEAD

    def _probe_dead(self, now: datetime.timedelta) -> _Out:
        dead = self._table.find_in_state(_State.DEAD)
        if not dead:
            return ()
        return (self._start_probe(self._rng.choice(dead), now),)

    def _start_probe(self, member: messages.Member,
                     now: datetime.timedelta) -> messages.Addressed:
        number = self._count_probe()
        self._probes[number] = probe_module.Probe(member.vm, now)
        return self._make_ping(member, number)

    def _count_probe(self) -> int:
        self._numbers += 1
        return self._numbers

    def _judge_probes(self, now: datetime.timedelta) -> _Out:
        self._relays = {
            number: each
            for number, each in self._relays.items()
            if now - each.sent_at < PROBE_TIMEOUT
        }
        out: list[messages.Addressed] = []
        for number, each in tuple(self._probes.items()):
            if now - each.sent_at >= PROBE_TIMEOUT:
                del self._probes[number]
                out += self._suspect(each.vm, now)
            elif now - each.sent_at >= DIRECT_TIMEOUT and not each.indirect:
                self._probes[number] = dataclasses.replace(each, indirect=True)
                out += self._probe_indirectly(number, each.vm)
        return tuple(out)

    def _probe_indirectly(self, number: int, vm: str) -> _Out:
        helpers = [
            each for each in self._table.find_in_state(_State.ALIVE)
            if each.vm not in (vm, self._me.vm)
        ]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        return tuple(self._make_ping(each, number, vm) for each in chosen)

    def _suspect(self, vm: str, now: datetime.timedelta) -> _Out:
        member = self._table.get(vm)
        if member is None:
            return ()
        if member.state is _State.ALIVE:
            return self._set_state(member, _State.SUSPECT, now)
        if member.state is _State.LEAVING:
            return self._set_state(member, _State.DEAD, now)
        return ()

    def _bury_suspects(self, now: datetime.timedelta) -> _Out:
        timeout = self._choose_suspicion_timeout()
        out: list[messages.Addressed] = []
        for each in self._table.find_in_state(_State.SUSPECT):
            if now - self._table.changed_at(each.vm) >= timeout:
                out += self._set_state(each, _State.DEAD, now)
        return tuple(out)

    def _choose_suspicion_timeout(self) -> datetime.timedelta:
        size = len(self._table)
        if size <= fanout.SMALL_FLEET_MAX_VMS:
            return SUSPICION_TIMEOUT
        return SUSPICION_PER_DOUBLING * math.log2(size)

    def _set_state(self, member: messages.Member, state: messages.MemberState,
                   now: datetime.timedelta) -> _Out:
        changed = msgspec.structs.replace(member, state=state)
        self._table.put(changed, now)
        self._news.add(member.vm)
        told = self._make_ping(changed, self._count_probe())
        return (told, *self._spread_small(skipped=member.vm))

    def _take_news(self, news: collections.abc.Iterable[messages.Member],
                   now: datetime.timedelta) -> _Out:
        changed = False
        out: _Out = ()
        for each in news:
            if each.vm == self._me.vm:
                changed = self._refute(each, now) or changed
            elif self._table.merge(each, now):
                self._news.add(each.vm)
                changed = True
            else:
                out += self._check_doubt(each, now)
        return (*out, *self._spread_small()) if changed else out

    def _check_doubt(self, heard: messages.Member,
                     now: datetime.timedelta) -> _Out:
        """Probes a VM whose older incarnation others suspect.

        They may know the VM from the list only, so that their suspicion does
        not count here though it is right.
        """
        held = self._table.get(heard.vm)
        if held is None or heard.state not in (_State.SUSPECT, _State.DEAD):
            return ()
        if held.state is not _State.ALIVE or now < self._next_doubt:
            return ()
        self._next_doubt = now + DOUBT_PERIOD
        return self.probe_now(held.vm, now)

    def _refute(self, heard: messages.Member, now: datetime.timedelta) -> bool:
        wrong = heard.state in (_State.SUSPECT, _State.DEAD)
        if not wrong or heard.incarnation < self._me.incarnation:
            return False
        self._set_me(self._me.state, heard.incarnation + 1, now)
        return True

    def _set_me(self, state: messages.MemberState, incarnation: int,
                now: datetime.timedelta) -> None:
        self._me = msgspec.structs.replace(self._me,
                                           state=state,
                                           incarnation=incarnation)
        self._table.put(self._me, now)
        self._news.add(self._me.vm)

    def _take_own_mark(self, records: tuple[vmlist.VmRecord, ...],
                       now: datetime.timedelta) -> _Out:
        own = [each for each in records if each.vm == self._me.vm]
        if not own or own[0].leaving == self._listed_leaving:
            return ()
        self._listed_leaving = own[0].leaving
        if own[0].leaving:
            self._set_me(_State.LEAVING, self._me.incarnation, now)
        else:
            self._set_me(_State.ALIVE, self._me.incarnation + 1, now)
        return self._spread_now()

    def _spread_small(self, skipped: str = "") -> _Out:
        if len(self._table) > fanout.SMALL_FLEET_MAX_VMS:
            return ()
        return self._spread_now(skipped)

    def _spread_now(self, skipped: str = "") -> _Out:
        others = [
            each for each in self.members()
            if each.vm != skipped and each.state is not _State.DEAD
        ]
        peers = fanout.choose_peers(others, self._me.vm, self._rng)
        ping = messages.Ping(self._count_probe(), self._me.version,
                             self._choose_news(""))
        return tuple(messages.Addressed(peer, ping) for peer in peers)

    def _make_ping(self,
                   member: messages.Member,
                   number: int,
                   target: str = "") -> messages.Addressed:
        peer = messages.Peer(member.ip, messages.Role.AGENT)
        told = target or member.vm
        ping = messages.Ping(number, self._me.version, self._choose_news(told),
                             target)
        return messages.Addressed(peer, ping)

    def _make_ack(self, peer: messages.Peer, number: int) -> messages.Addressed:
        ack = messages.PingAck(number, self._me.vm, self._me.version,
                               self._choose_news(""))
        return messages.Addressed(peer, ack)

    def _choose_news(self, about: str) -> tuple[messages.Member, ...]:
        """Returns this VM's own state, that of `about`, and what is new."""
        names = list(self._news.take(NEWS_PER_MESSAGE, len(self._table)))
        wanted = dict.fromkeys([about, *names])
        wanted.pop(self._me.vm, None)
        held = (self._table.get(vm) for vm in wanted)
        return (self._me, *(each for each in held if each is not None))
