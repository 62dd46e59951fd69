"""Specification of configuration versions.

Two VMs watch the platform, pass documents to each other with losses and
delays, and restart; an operator applies at each. The platform is restored to
its first state at most once. Assumed, since VMs keep nothing: a VM restarts,
and the platform is restored, only while somebody else holds the document.
"""

import collections.abc
import enum
import typing

import minicheck

from spec import configuration_state as model

Step = tuple[str, model.State]
"""A transition's name and the next state."""

DONE = ("applied", "lost", "not_written", "unknown")
"""Ends of an apply."""


class Guard(enum.StrEnum):
    """Guards of the protocol; a mutant leaves one out."""

    REFUSE_LOWER_PLATFORM = "refuse a lower version of the platform"
    REFUSE_LOWER_NEIGHBOUR = "refuse a lower version of a neighbour"
    ASK_AT_BOOT = "ask a neighbour at boot"
    COMPARE_ON_WRITE = "compare and swap on write"
    COUNT_IN_FORCE = "version above the one in force"
    READ_BACK = "read back after a lost answer"
    REPAIR = "repair an older platform"


RACE_GUARDS = (Guard.REFUSE_LOWER_PLATFORM, Guard.COMPARE_ON_WRITE,
               Guard.COUNT_IN_FORCE, Guard.READ_BACK, Guard.REPAIR)
"""Guards whose absence shows in `RACE`."""

RESTART_GUARDS = (Guard.REFUSE_LOWER_NEIGHBOUR, Guard.ASK_AT_BOOT)
"""Guards whose absence shows in `RESTART`."""


class Scope(typing.NamedTuple):
    """What is explored together.

    Attributes:
        operators: Operators that apply, each at a VM of its own.
        restarts: Restarts of VMs.
        gossips: Whether VMs pass documents to each other.
    """

    operators: int
    restarts: int
    gossips: bool


RACE = Scope(operators=2, restarts=0, gossips=False)
"""Two operators race, with watchers only."""

RESTART = Scope(operators=1, restarts=1, gossips=True)
"""One operator applies while neighbours talk and a VM restarts."""


class ConfigurationProtocol:
    """The transitions, with all guards but those in `removed`."""

    def __init__(
        self, scope: "Scope", removed: frozenset[Guard] = frozenset()) -> None:
        self._scope = scope
        self._removed = removed

    def steps(self, state: model.State) -> list[Step]:
        """Returns all steps out of a state, labelled by VM."""
        found: list[Step] = []
        for i in model.VMS:
            for name, after in self._steps_of(state, i):
                found.append((f"{i}.{name}", after))
        if not state.restored and self._is_held(state, -1, state.platform):
            restored = model.write(state, model.BASE)
            found.append(("platform.restore", restored._replace(restored=True)))
        return found

    def _has(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _is_held(self, state: model.State, i: int,
                 document: model.Document) -> bool:
        """Returns whether anybody but VM `i` holds this version or more."""
        others = [model.get(state, j).in_force[0] for j in model.VMS if j != i]
        if i >= 0:
            others.append(state.platform[0])
        return max(others) >= document[0]

    def _steps_of(self, state: model.State,
                  i: int) -> collections.abc.Iterator[Step]:
        yield from self._watch(state, i)
        if self._scope.gossips:
            yield from self._gossip(state, i)
        yield from self._restart(state, i)
        yield from self._apply(state, i)

    def _watch(self, state: model.State,
               i: int) -> collections.abc.Iterator[Step]:
        vm = model.get(state, i)
        if vm.seen is None:
            yield "watch", model.put(state,
                                     i,
                                     seen=state.platform,
                                     seen_fresh=True)
        elif not vm.booting:
            yield "accept_platform", self._accept_platform(state, i)
        if vm.repair is not None:
            repaired = model.put(state, i, repair=None, repair_fresh=False)
            if vm.repair_fresh or not self._has(Guard.COMPARE_ON_WRITE):
                repaired = model.write(repaired, vm.repair)
            yield "repair", repaired

    def _accept_platform(self, state: model.State, i: int) -> model.State:
        vm = model.get(state, i)
        assert vm.seen is not None
        state = model.put(state, i, seen=None, seen_fresh=False)
        lower_allowed = not self._has(Guard.REFUSE_LOWER_PLATFORM)
        if vm.seen > vm.in_force or lower_allowed:
            return model.adopt(state, i, vm.seen)
        if vm.seen == vm.in_force or not self._has(Guard.REPAIR):
            return state
        return model.put(state,
                         i,
                         repair=vm.in_force,
                         repair_fresh=vm.seen_fresh)

    def _gossip(self, state: model.State,
                i: int) -> collections.abc.Iterator[Step]:
        vm = model.get(state, i)
        asks = not vm.booting or vm.seen is not None
        if vm.inbox is None and asks:
            other = model.get(state, 1 - i)
            yield "push", model.put(state, i, inbox=other.in_force)
        elif vm.inbox is None:
            return
        elif not vm.booting:
            yield "accept_neighbour", self._accept_neighbour(state, i)
        elif vm.seen is not None:
            heard = self._accept_neighbour(state, i)
            ended = model.put(heard, i, booting=False)
            yield "end_boot", self._accept_platform(ended, i)

    def _accept_neighbour(self, state: model.State, i: int) -> model.State:
        vm = model.get(state, i)
        assert vm.inbox is not None
        after = model.put(state, i, inbox=None)
        lower_allowed = not self._has(Guard.REFUSE_LOWER_NEIGHBOUR)
        if vm.inbox > vm.in_force or lower_allowed:
            return model.adopt(after, i, vm.inbox)
        return after

    def _restart(self, state: model.State,
                 i: int) -> collections.abc.Iterator[Step]:
        vm = model.get(state, i)
        held = self._is_held(state, i, vm.in_force)
        if state.restarts < self._scope.restarts and held:
            ended = vm.apply if vm.apply in DONE else "unknown"
            fresh = model.put(state,
                              i,
                              in_force=model.NONE,
                              booting=self._has(Guard.ASK_AT_BOOT),
                              inbox=None,
                              seen=None,
                              seen_fresh=False,
                              repair=None,
                              repair_fresh=False,
                              apply=ended)
            yield "restart", fresh._replace(restarts=state.restarts + 1)

    def _apply(self, state: model.State,
               i: int) -> collections.abc.Iterator[Step]:
        vm = model.get(state, i)
        if vm.late:
            yield "late_write", model.write(state, (vm.version, i + 1))
        may_start = i < self._scope.operators
        if vm.apply == "new" and may_start and vm.in_force != model.NONE:
            yield from self._read(state, i)
        elif vm.apply in ("writing", "writing_again"):
            yield from self._write(state, i)
        elif vm.apply == "resolving":
            yield from self._resolve(state, i)
        elif vm.apply == "comparing":
            yield from self._compare(state, i)

    def _read(self, state: model.State,
              i: int) -> collections.abc.Iterator[Step]:
        in_force = model.get(state, i).in_force[0]
        version = state.platform[0] + 1
        if self._has(Guard.COUNT_IN_FORCE):
            version = max(version, in_force + 1)
        based = model.put(state,
                          i,
                          apply="writing",
                          version=version,
                          base_fresh=True)
        low = state.low or version <= in_force
        yield "read_base", based._replace(low=low)
        yield "unavailable", model.put(state, i, apply="not_written")

    def _write(self, state: model.State,
               i: int) -> collections.abc.Iterator[Step]:
        vm = model.get(state, i)
        again = vm.apply == "writing_again"
        unsure = "resolving"
        if not self._has(Guard.READ_BACK):
            unsure = "not_written"
        if vm.base_fresh or not self._has(Guard.COMPARE_ON_WRITE):
            done = model.write(state, (vm.version, i + 1))
            yield "written", self._finish(done, i)
            lost = model.put(done, i, apply=unsure)
            yield "uncertain", self._note_denial(lost, i)
            yield "uncertain", model.put(state, i, apply=unsure, late=True)
        else:
            conflicted = "resolving" if again else "comparing"
            yield "conflicted", model.put(state, i, apply=conflicted)
        yield "uncertain", model.put(state, i, apply=unsure)
        refused = "resolving" if again else "not_written"
        yield "unavailable", model.put(state, i, apply=refused)
        given_up = "unknown" if again else "not_written"
        yield "give_up", model.put(state, i, apply=given_up)

    def _note_denial(self, state: model.State, i: int) -> model.State:
        is_denied = model.get(state, i).apply == "not_written"
        return state._replace(denied=state.denied or is_denied)

    def _resolve(self, state: model.State,
                 i: int) -> collections.abc.Iterator[Step]:
        if state.platform[1] == i + 1:
            yield "read_own", self._finish(state, i)
        elif model.get(state, i).base_fresh:
            yield "read_same", model.put(state, i, apply="writing_again")
        else:
            yield "read_other", model.put(state, i, apply="unknown")
        yield "unavailable", state
        yield "give_up", model.put(state, i, apply="unknown")

    def _compare(self, state: model.State,
                 i: int) -> collections.abc.Iterator[Step]:
        if state.platform[0] == model.get(state, i).version - 1:
            yield "read_base", model.put(state,
                                         i,
                                         apply="writing",
                                         base_fresh=True)
        else:
            yield "read_other", model.put(state, i, apply="lost")
        yield "unavailable", model.put(state, i, apply="not_written")
        yield "give_up", model.put(state, i, apply="not_written")

    def _finish(self, state: model.State, i: int) -> model.State:
        version = max(state.accepted, model.get(state, i).version)
        return model.put(state, i, apply="applied")._replace(accepted=version)


def _never_decreases(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    return all(vm.in_force[0] in (0, vm.floor) for vm in vms)


def _is_kept(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    versions = [vm.in_force[0] for vm in vms] + [values["platform"][0]]
    return max(versions) >= values["accepted"]


def _is_truthful(values: dict[str, typing.Any]) -> bool:
    return not values["denied"]


def _is_above(values: dict[str, typing.Any]) -> bool:
    return not values["low"]


def _has_converged(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    return all(vm.in_force == values["platform"] and vm.apply in DONE + ("new",)
               for vm in vms)


def make_protocol(
    scope: Scope,
    removed: frozenset[Guard] = frozenset()) -> minicheck.Protocol:
    """Returns the specification, without the guards in `removed`."""
    versions = ConfigurationProtocol(scope, removed)
    return minicheck.Protocol(
        name="configuration",
        candidate=False,
        fields=model.State._fields,
        initial=model.State(),
        transitions=versions.steps,
        invariants={
            "the version in force never decreases": _never_decreases,
            "an accepted configuration is not reverted": _is_kept,
            "not written is true": _is_truthful,
            "an apply is above what is in force": _is_above,
        },
        goal=_has_converged)
