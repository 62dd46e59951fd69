"""Specification of leadership.

Two VMs compete for a key in the store, which is restored once to its empty
beginning. The holder sends duty calls to an API that does not check tokens.
Time passes in ticks for all clocks alike; a VM that is frozen or cut off takes
no steps, or gets no answers, for any number of ticks. Answers are lost at any
time, a write without an answer may take effect as long as its lease lives, and
a duty call is in flight for at most `model.CALL` ticks.

`leadership.LeaderElection` has the same rules. Not part of the specification:
the order of the candidates, and the exclusion of a former holder, which concern
the number of calls and the bound on the order in which VMs act.
"""

import collections.abc
import enum
import typing

import minicheck

from spec import leadership_state as model

Step = tuple[str, model.State]
"""Label of a transition and the next state."""

_MAX_REVISION = 3
"""Number of writes of the key in an era that are explored."""


class Guard(enum.StrEnum):
    """Rules of the protocol, of which a mutant lacks one."""

    ERA_IN_TOKEN = "the era in the token"
    LEASE_FROM_REQUEST = "the lease counted from before its renewal was sent"
    SUCCESSOR_WAITS = "the wait of the successor for calls in flight"
    WAIT_AFTER_RESTORE = "the wait after a restore for leases that are lost"
    STOP_AT_EXPIRY = "the stop of the holder at the end of its lease"


class LeadershipProtocol:
    """The transitions of the protocol.

    Args:
        removed: Guards that this protocol lacks.
    """

    def __init__(self, removed: frozenset[Guard] = frozenset()) -> None:
        self._removed = removed

    def list_steps(self, state: model.State) -> list[Step]:
        """Returns all steps from a state.

        The labels are ``vm.transition``, ``store.restore`` and ``tick``.
        """
        steps: list[Step] = []
        for i in model.VMS:
            for name, next_state in self._list_vm_steps(state, i):
                steps.append((f"{i}.{name}", next_state))
        if state.era == 0:
            restored = state._replace(era=1,
                                      revision=0,
                                      owner=model.NOBODY,
                                      key_revision=0,
                                      leases=(0, 0))
            for i in model.VMS:
                restored = model.replace_vm(restored, i, has_late_write=False)
            steps.append(("store.restore", restored))
        if all(
                model.get_vm(state, i).call == model.NO_TOKEN or
                model.get_vm(state, i).call_age < model.CALL
                for i in model.VMS):
            steps.append(("tick", self._tick(state)))
        return steps

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _tick(self, state: model.State) -> model.State:
        for i in model.VMS:
            vm = model.get_vm(state, i)
            left = max(vm.left - 1, 0)
            phase, token = vm.phase, vm.token
            if left == 0 and (phase == "writing" or
                              self._has_guard(Guard.STOP_AT_EXPIRY)):
                phase, token = "idle", model.NO_TOKEN
            renewal = vm.renewal
            if renewal >= 0:
                renewal = min(renewal + 1, model.LEASE)
            state = model.replace_vm(
                state,
                i,
                phase=phase,
                token=token,
                left=left,
                quiet=max(vm.quiet - 1, 0) if phase == "holding" else 0,
                floor=max(vm.floor - 1, 0),
                window=max(vm.window - 1, 0),
                renewal=renewal if phase == "holding" else -1,
                is_renewed=vm.is_renewed and phase == "holding",
                call_age=vm.call_age + (vm.call != model.NO_TOKEN))
            state = model.set_lease(state, i, max(state.leases[i] - 1, 0))
            if state.leases[i] == 0:
                state = model.replace_vm(state, i, has_late_write=False)
        return state

    def _list_vm_steps(self, state: model.State,
                       i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        yield from self._list_call_steps(state, i)
        if vm.has_late_write and state.owner == model.NOBODY:
            yield "late_write", self._write(state, i)
        if vm.era < state.era:
            yield "learn_era", self._learn_era(state, i)
        elif vm.phase == "idle":
            yield from self._list_acquire_steps(state, i)
        elif vm.phase == "writing" and state.owner == i:
            yield "read_own", self._begin_term(state, i)
        if vm.phase == "holding":
            yield from self._list_renewal_steps(state, i)
            yield from self._list_end_steps(state, i)

    def _learn_era(self, state: model.State, i: int) -> model.State:
        vm = model.get_vm(state, i)
        window = vm.left if vm.phase == "holding" else 0
        floor = 0
        if self._has_guard(Guard.WAIT_AFTER_RESTORE):
            floor = model.LEASE
        return model.replace_vm(state,
                                i,
                                phase="idle",
                                era=state.era,
                                left=0,
                                token=model.NO_TOKEN,
                                quiet=0,
                                window=window,
                                floor=floor,
                                renewal=-1,
                                is_renewed=False)

    def _list_acquire_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        may_acquire = vm.floor == 0 or vm.window > 0
        if (state.owner != model.NOBODY or not may_acquire or
                state.revision >= _MAX_REVISION):
            return
        granted = model.set_lease(state, i, model.LEASE)
        granted = model.replace_vm(granted,
                                   i,
                                   phase="writing",
                                   left=model.LEASE,
                                   window=0,
                                   has_late_write=False)
        written = self._write(granted, i)
        yield "written", self._begin_term(written, i)
        yield "uncertain", written
        yield "uncertain", model.replace_vm(granted, i, has_late_write=True)

    def _write(self, state: model.State, i: int) -> model.State:
        state = model.replace_vm(state, i, has_late_write=False)
        if state.revision >= _MAX_REVISION:
            return state
        return state._replace(owner=i,
                              revision=state.revision + 1,
                              key_revision=state.revision + 1)

    def _begin_term(self, state: model.State, i: int) -> model.State:
        era = state.era if self._has_guard(Guard.ERA_IN_TOKEN) else 0
        quiet = 0
        if self._has_guard(Guard.SUCCESSOR_WAITS):
            quiet = model.WAIT
        return model.replace_vm(state,
                                i,
                                phase="holding",
                                quiet=quiet,
                                token=(era, state.key_revision))

    def _list_renewal_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        if vm.renewal < 0:
            yield "renew", model.replace_vm(state, i, renewal=0)
            return
        is_known = vm.era == state.era and state.leases[i] > 0
        if not vm.is_renewed and is_known:
            renewed = model.set_lease(state, i, model.LEASE)
            yield "renewed", model.replace_vm(renewed, i, is_renewed=True)
        if vm.is_renewed:
            left = model.LEASE
            if self._has_guard(Guard.LEASE_FROM_REQUEST):
                left = max(vm.left, model.LEASE - vm.renewal)
            yield "renewal_answered", model.replace_vm(state,
                                                       i,
                                                       left=left,
                                                       renewal=-1,
                                                       is_renewed=False)
        yield "renewal_lost", model.replace_vm(state,
                                               i,
                                               renewal=-1,
                                               is_renewed=False)

    def _list_end_steps(self, state: model.State,
                        i: int) -> collections.abc.Iterator[Step]:
        ended = model.replace_vm(state,
                                 i,
                                 phase="idle",
                                 left=0,
                                 token=model.NO_TOKEN,
                                 quiet=0,
                                 renewal=-1,
                                 is_renewed=False)
        yield "end_lost", ended
        if model.get_vm(state, i).era == state.era:
            yield "end", model.set_lease(ended, i, 0)

    def _list_call_steps(self, state: model.State,
                         i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        if vm.call != model.NO_TOKEN:
            gone = model.replace_vm(state, i, call=model.NO_TOKEN, call_age=0)
            yield "call_lost", gone
            yield "call_received", _receive(gone, i, vm.call)
        elif vm.phase == "holding" and vm.quiet == 0:
            yield "call", model.replace_vm(state, i, call=vm.token, call_age=0)


def _receive(state: model.State, i: int, token: model.Token) -> model.State:
    highest, sender = state.received
    if token < highest:
        return state._replace(was_lower=True)
    if token == highest and sender != i:
        return state._replace(was_shared=True)
    return state._replace(received=(token, i))


def _has_one_holder(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    return not all(vm.phase == "holding" and vm.quiet == 0 for vm in vms)


def _is_no_lower_token_received(values: dict[str, typing.Any]) -> bool:
    return not values["was_lower"]


def _is_no_token_shared(values: dict[str, typing.Any]) -> bool:
    return not values["was_shared"]


def _can_someone_act(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    can_act = any(vm.phase == "holding" and vm.quiet == 0 for vm in vms)
    return can_act or values["revision"] == _MAX_REVISION


def make_protocol(removed: frozenset[Guard] = frozenset()
                 ) -> minicheck.Protocol:
    """Returns the specification for the model checker.

    Args:
        removed: Guards that the protocol lacks.
    """
    protocol = LeadershipProtocol(removed)
    return minicheck.Protocol(
        name="leadership",
        candidate=False,
        fields=model.State._fields,
        initial=model.State(),
        transitions=protocol.list_steps,
        invariants={
            "two VMs do not act at the same time": _has_one_holder,
            "no lower token is received": _is_no_lower_token_received,
            "two VMs do not send the same token": _is_no_token_shared,
        },
        goal=_can_someone_act)
