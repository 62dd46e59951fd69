"""Specification of configuration versions.

Two VMs watch the platform and send documents to each other with losses and
delays. VMs may restart, and an operator may apply a configuration at each. The
platform is restored to its initial state at most once.

VMs store nothing, so the specification assumes that a VM restarts, and that the
platform is restored, only while another party holds the same or a higher
version of the document.

The code has the same states and transitions in `replication.apply_machine`,
which describes the states, and in `replication.ConfigurationReplica`.
"""

import collections.abc
import enum
import typing

import minicheck

from spec import configuration_state as model

Step = tuple[str, model.State]
"""Label of a transition and the next state."""

END_STATES = ("applied", "lost", "not_written", "unknown")
"""States in which an apply has ended."""


class Guard(enum.StrEnum):
    """Rules of the protocol, of which a mutant lacks one."""

    REFUSE_LOWER_PLATFORM = "refuse a lower version of the platform"
    REFUSE_LOWER_NEIGHBOUR = "refuse a lower version of a neighbour"
    ASK_NEIGHBOUR_AT_BOOT = "ask a neighbour at boot"
    COMPARE_ON_WRITE = "compare and swap on write"
    EXCEED_VERSION_IN_FORCE = "version above the one in force"
    READ_BACK = "read back after a lost answer"
    REPAIR_PLATFORM = "repair an older platform"


RACE_GUARDS = (Guard.REFUSE_LOWER_PLATFORM, Guard.COMPARE_ON_WRITE,
               Guard.EXCEED_VERSION_IN_FORCE, Guard.READ_BACK,
               Guard.REPAIR_PLATFORM)
"""Guards whose absence leads to a counterexample in `RACE`."""

RESTART_GUARDS = (Guard.REFUSE_LOWER_NEIGHBOUR, Guard.ASK_NEIGHBOUR_AT_BOOT)
"""Guards whose absence leads to a counterexample in `RESTART`."""


class Scope(typing.NamedTuple):
    """The events that the model checker explores together.

    Attributes:
        operators: Number of operators that apply, each at a different VM.
        restarts: Maximum number of restarts of VMs.
        gossips: Whether VMs send documents to each other.
    """

    operators: int
    restarts: int
    gossips: bool


RACE = Scope(operators=2, restarts=0, gossips=False)
"""Two operators apply at the same time; VMs only watch the platform."""

RESTART = Scope(operators=1, restarts=1, gossips=True)
"""One operator applies while VMs exchange documents and one restarts."""


class ConfigurationProtocol:
    """The transitions of the protocol.

    Args:
        scope: Events to explore.
        removed: Guards that this protocol lacks.
    """

    def __init__(
        self, scope: "Scope", removed: frozenset[Guard] = frozenset()) -> None:
        self._scope = scope
        self._removed = removed

    def list_steps(self, state: model.State) -> list[Step]:
        """Returns all steps from a state.

        The labels are ``vm.transition`` and ``platform.restore``.
        """
        steps: list[Step] = []
        for i in model.VMS:
            for name, next_state in self._list_vm_steps(state, i):
                steps.append((f"{i}.{name}", next_state))
        if not state.restored and self._is_held_elsewhere(
                state, -1, state.platform):
            restored = model.write_platform(state, model.BASE)
            steps.append(("platform.restore", restored._replace(restored=True)))
        return steps

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _is_held_elsewhere(self, state: model.State, i: int,
                           document: model.Document) -> bool:
        """Returns whether another party has the document's version or higher.

        The party is the platform or a VM other than `i`. If `i` is -1, it is
        any VM.
        """
        others = [
            model.get_vm(state, j).in_force[0] for j in model.VMS if j != i
        ]
        if i >= 0:
            others.append(state.platform[0])
        return max(others) >= document[0]

    def _list_vm_steps(self, state: model.State,
                       i: int) -> collections.abc.Iterator[Step]:
        yield from self._list_platform_steps(state, i)
        if self._scope.gossips:
            yield from self._list_gossip_steps(state, i)
        yield from self._list_restart_steps(state, i)
        yield from self._list_apply_steps(state, i)

    def _list_platform_steps(self, state: model.State,
                             i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        if vm.read_document is None:
            yield "watch", model.replace_vm(state,
                                            i,
                                            read_document=state.platform,
                                            is_read_current=True)
        elif not vm.is_booting:
            yield "accept_platform", self._accept_platform(state, i)
        if vm.pending_repair is not None:
            repaired = model.replace_vm(state,
                                        i,
                                        pending_repair=None,
                                        is_repair_current=False)
            if vm.is_repair_current or not self._has_guard(
                    Guard.COMPARE_ON_WRITE):
                repaired = model.write_platform(repaired, vm.pending_repair)
            yield "repair", repaired

    def _accept_platform(self, state: model.State, i: int) -> model.State:
        vm = model.get_vm(state, i)
        assert vm.read_document is not None
        state = model.replace_vm(state,
                                 i,
                                 read_document=None,
                                 is_read_current=False)
        may_adopt_older = not self._has_guard(Guard.REFUSE_LOWER_PLATFORM)
        if vm.read_document > vm.in_force or may_adopt_older:
            return model.adopt_document(state, i, vm.read_document)
        if vm.read_document == vm.in_force or not self._has_guard(
                Guard.REPAIR_PLATFORM):
            return state
        return model.replace_vm(state,
                                i,
                                pending_repair=vm.in_force,
                                is_repair_current=vm.is_read_current)

    def _list_gossip_steps(self, state: model.State,
                           i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        is_asking = not vm.is_booting or vm.read_document is not None
        if vm.inbox is None and is_asking:
            other = model.get_vm(state, 1 - i)
            yield "push", model.replace_vm(state, i, inbox=other.in_force)
        elif vm.inbox is None:
            return
        elif not vm.is_booting:
            yield "accept_neighbour", self._accept_neighbour(state, i)
        elif vm.read_document is not None:
            after_neighbour = self._accept_neighbour(state, i)
            after_boot = model.replace_vm(after_neighbour, i, is_booting=False)
            yield "end_boot", self._accept_platform(after_boot, i)

    def _accept_neighbour(self, state: model.State, i: int) -> model.State:
        vm = model.get_vm(state, i)
        assert vm.inbox is not None
        after_read = model.replace_vm(state, i, inbox=None)
        may_adopt_older = not self._has_guard(Guard.REFUSE_LOWER_NEIGHBOUR)
        if vm.inbox > vm.in_force or may_adopt_older:
            return model.adopt_document(after_read, i, vm.inbox)
        return after_read

    def _list_restart_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        is_held = self._is_held_elsewhere(state, i, vm.in_force)
        if state.restarts < self._scope.restarts and is_held:
            apply_state = (vm.apply_state
                           if vm.apply_state in END_STATES else "unknown")
            restarted = model.replace_vm(state,
                                         i,
                                         in_force=model.NONE,
                                         is_booting=self._has_guard(
                                             Guard.ASK_NEIGHBOUR_AT_BOOT),
                                         inbox=None,
                                         read_document=None,
                                         is_read_current=False,
                                         pending_repair=None,
                                         is_repair_current=False,
                                         apply_state=apply_state)
            yield "restart", restarted._replace(restarts=state.restarts + 1)

    def _list_apply_steps(self, state: model.State,
                          i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        if vm.has_late_write:
            yield "late_write", model.write_platform(state,
                                                     (vm.apply_version, i + 1))
        may_start = i < self._scope.operators
        if vm.apply_state == "new" and may_start and vm.in_force != model.NONE:
            yield from self._list_read_steps(state, i)
        elif vm.apply_state in ("writing", "writing_again"):
            yield from self._list_write_steps(state, i)
        elif vm.apply_state == "resolving":
            yield from self._list_resolve_steps(state, i)
        elif vm.apply_state == "comparing":
            yield from self._list_compare_steps(state, i)

    def _list_read_steps(self, state: model.State,
                         i: int) -> collections.abc.Iterator[Step]:
        in_force = model.get_vm(state, i).in_force[0]
        apply_version = state.platform[0] + 1
        if self._has_guard(Guard.EXCEED_VERSION_IN_FORCE):
            apply_version = max(apply_version, in_force + 1)
        after_read = model.replace_vm(state,
                                      i,
                                      apply_state="writing",
                                      apply_version=apply_version,
                                      is_base_current=True)
        low = state.low or apply_version <= in_force
        yield "read_base", after_read._replace(low=low)
        yield "unavailable", model.replace_vm(state,
                                              i,
                                              apply_state="not_written")

    def _list_write_steps(self, state: model.State,
                          i: int) -> collections.abc.Iterator[Step]:
        vm = model.get_vm(state, i)
        is_second_write = vm.apply_state == "writing_again"
        uncertain_state = "resolving"
        if not self._has_guard(Guard.READ_BACK):
            uncertain_state = "not_written"
        if vm.is_base_current or not self._has_guard(Guard.COMPARE_ON_WRITE):
            written = model.write_platform(state, (vm.apply_version, i + 1))
            yield "written", self._finish_apply(written, i)
            written_unconfirmed = model.replace_vm(written,
                                                   i,
                                                   apply_state=uncertain_state)
            yield "uncertain", self._record_denial(written_unconfirmed, i)
            yield "uncertain", model.replace_vm(state,
                                                i,
                                                apply_state=uncertain_state,
                                                has_late_write=True)
        else:
            conflicted_state = "resolving" if is_second_write else "comparing"
            yield "conflicted", model.replace_vm(state,
                                                 i,
                                                 apply_state=conflicted_state)
        yield "uncertain", model.replace_vm(state,
                                            i,
                                            apply_state=uncertain_state)
        unavailable_state = "resolving" if is_second_write else "not_written"
        yield "unavailable", model.replace_vm(state,
                                              i,
                                              apply_state=unavailable_state)
        given_up_state = "unknown" if is_second_write else "not_written"
        yield "give_up", model.replace_vm(state, i, apply_state=given_up_state)

    def _record_denial(self, state: model.State, i: int) -> model.State:
        """Records whether an effective write was reported as not written."""
        is_denied = model.get_vm(state, i).apply_state == "not_written"
        return state._replace(denied=state.denied or is_denied)

    def _list_resolve_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        if state.platform[1] == i + 1:
            yield "read_own", self._finish_apply(state, i)
        elif model.get_vm(state, i).is_base_current:
            yield "read_same", model.replace_vm(state,
                                                i,
                                                apply_state="writing_again")
        else:
            yield "read_other", model.replace_vm(state,
                                                 i,
                                                 apply_state="unknown")
        yield "unavailable", state
        yield "give_up", model.replace_vm(state, i, apply_state="unknown")

    def _list_compare_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        if state.platform[0] == model.get_vm(state, i).apply_version - 1:
            yield "read_base", model.replace_vm(state,
                                                i,
                                                apply_state="writing",
                                                is_base_current=True)
        else:
            yield "read_other", model.replace_vm(state, i, apply_state="lost")
        yield "unavailable", model.replace_vm(state,
                                              i,
                                              apply_state="not_written")
        yield "give_up", model.replace_vm(state, i, apply_state="not_written")

    def _finish_apply(self, state: model.State, i: int) -> model.State:
        accepted = max(state.accepted, model.get_vm(state, i).apply_version)
        return model.replace_vm(
            state, i, apply_state="applied")._replace(accepted=accepted)


def _has_no_version_decreased(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    return all(vm.in_force[0] in (0, vm.max_version) for vm in vms)


def _is_accepted_version_kept(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    versions = [vm.in_force[0] for vm in vms] + [values["platform"][0]]
    return max(versions) >= values["accepted"]


def _is_not_written_report_true(values: dict[str, typing.Any]) -> bool:
    return not values["denied"]


def _is_apply_above_version_in_force(values: dict[str, typing.Any]) -> bool:
    return not values["low"]


def _has_converged(values: dict[str, typing.Any]) -> bool:
    vms = (values["first"], values["second"])
    return all(
        vm.in_force == values["platform"] and vm.apply_state in END_STATES +
        ("new",) for vm in vms)


def make_protocol(
    scope: Scope,
    removed: frozenset[Guard] = frozenset()) -> minicheck.Protocol:
    """Returns the specification for the model checker.

    Args:
        scope: Events to explore.
        removed: Guards that the protocol lacks.
    """
    protocol = ConfigurationProtocol(scope, removed)
    return minicheck.Protocol(
        name="configuration",
        candidate=False,
        fields=model.State._fields,
        initial=model.State(),
        transitions=protocol.list_steps,
        invariants={
            "the version in force never decreases":
                _has_no_version_decreased,
            "an accepted configuration is not reverted":
                _is_accepted_version_kept,
            "an apply reported as not written was not written":
                _is_not_written_report_true,
            "an applied version is above the one in force":
                _is_apply_above_version_in_force,
        },
        goal=_has_converged)
