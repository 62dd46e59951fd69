"""Specification of the claim of a non-idempotent request.

Two attempts with the same Idempotency-Key use one key of the key-value service.
They run at two entries at once, or one after the other when the caller resends
its request. A pause is modelled as any delay between two transitions of an
attempt, and an outage as any number of `unavailable` transitions.

The code has the same states and transitions in `claims.claim_machine`, which
describes the states. `Guard` lists the rules that can be removed from the
protocol; the model checker must find a counterexample without each of them.
"""

import collections.abc
import enum
import typing

import minicheck

from spec import claim_state as model


class Guard(enum.StrEnum):
    """Rules of the protocol, of which a mutant lacks one."""

    COMPARE_ON_CREATE = "compare and swap on create"
    READ_BACK = "read back after a lost answer"
    COMPARE_ATTEMPT_ID = "compare the attempt id"
    NO_TAKEOVER = "no takeover after the deadline"
    GIVE_UP_IS_FINAL = "nothing sent after giving up"
    RELEASE_ONLY_UNSENT = "release only when nothing was sent"
    COMPARE_ON_SETTLE = "compare and swap on settle"
    SEND_BEFORE_DEADLINE = "send only before the deadline"
    COMPARE_ON_DELETE = "compare and swap on delete"


Step = tuple[str, model.State]
"""Label of a transition and the next state."""


class ClaimProtocol:
    """The transitions of the protocol.

    Args:
        removed: Guards that this protocol lacks.
    """

    def __init__(self, removed: frozenset[Guard] = frozenset()) -> None:
        self._removed = removed

    def list_steps(self, state: model.State) -> list[Step]:
        """Returns all steps from a state, labelled ``attempt.transition``."""
        steps: list[Step] = []
        for i in model.ATTEMPTS:
            for name, next_state in self._list_attempt_steps(state, i):
                steps.append((f"{i}.{name}", next_state))
        return steps

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _list_attempt_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        yield from self._list_environment_steps(state, i)
        phase = model.get_attempt(state, i).phase
        if phase == "new":
            yield "start", model.replace_attempt(state, i, phase="creating")
        elif phase in ("creating", "creating_again"):
            yield from self._list_create_steps(state, i)
        elif phase in ("reading", "resolving"):
            yield from self._list_read_steps(state, i)
        elif phase == "held":
            yield from self._list_held_steps(state, i)
        elif phase == "settling":
            yield from self._list_settle_steps(state, i)
        elif phase in ("confirming", "confirming_release"):
            yield from self._list_confirm_steps(state, i)
        elif phase == "releasing":
            yield from self._list_delete_steps(state, i, "released",
                                               "confirming_release")
        elif phase == "removing":
            yield from self._list_delete_steps(state, i, "abandoned",
                                               "abandoned")
        elif phase == "abandoned":
            yield "clean", model.replace_attempt(state, i, phase="cleaning")
        elif phase == "cleaning":
            yield from self._list_clean_steps(state, i)

    def _list_environment_steps(self, state: model.State,
                                i: int) -> collections.abc.Iterator[Step]:
        """Lists what happens without a decision of the attempt."""
        attempt = model.get_attempt(state, i)
        if attempt.phase not in ("new", "dead"):
            yield "crash", model.replace_attempt(state, i, phase="dead")
        if attempt.has_late_create:
            after_create = model.replace_attempt(state,
                                                 i,
                                                 has_late_create=False)
            if self._can_create(state):
                after_create = model.write_record(after_create, i, "held",
                                                  False)
            yield "late_create", after_create
        if attempt.pending_write == "delete":
            yield "late_delete", model.write_record(state, -1, "", False)
        if attempt.pending_write == "replace":
            yield "late_replace", model.write_record(state, i,
                                                     attempt.target_record,
                                                     False)
        if attempt.age == 0 and attempt.phase != "new":
            yield "pass_deadline", model.replace_attempt(state, i, age=1)
        if attempt.age == 1 and state.owner == i:
            expired = model.write_record(model.replace_attempt(state, i, age=2),
                                         -1, "", False)
            yield "expire", expired._replace(runs=0, completed=-1)

    def _can_create(self, state: model.State) -> bool:
        return state.owner < 0 or not self._has_guard(Guard.COMPARE_ON_CREATE)

    def _list_create_steps(self, state: model.State,
                           i: int) -> collections.abc.Iterator[Step]:
        # A create without a response took effect, has no effect or takes effect
        # late.
        is_second_create = model.get_attempt(state, i).phase == "creating_again"
        uncertain_phase = "resolving"
        if not self._has_guard(Guard.READ_BACK):
            uncertain_phase = "held"
        if self._can_create(state):
            created = model.write_record(state, i, "held", True)
            yield "written", model.replace_attempt(created, i, phase="held")
            created_unconfirmed = model.write_record(state, i, "held", False)
            yield "uncertain", model.replace_attempt(created_unconfirmed,
                                                     i,
                                                     phase=uncertain_phase)
        else:
            next_phase = "resolving" if is_second_create else "reading"
            yield "conflicted", model.replace_attempt(state,
                                                      i,
                                                      phase=next_phase)
        yield "uncertain", model.replace_attempt(state,
                                                 i,
                                                 phase=uncertain_phase)
        yield "uncertain", model.replace_attempt(state,
                                                 i,
                                                 phase=uncertain_phase,
                                                 has_late_create=True)
        if is_second_create:
            yield "unavailable", model.replace_attempt(state,
                                                       i,
                                                       phase="resolving")
            yield "give_up", model.replace_attempt(state,
                                                   i,
                                                   phase="abandoned",
                                                   reported="not_run")
        else:
            after_refusal = model.replace_attempt(state,
                                                  i,
                                                  phase="refused",
                                                  reported="not_run")
            yield "unavailable", after_refusal
            yield "give_up", after_refusal

    def _list_read_steps(self, state: model.State,
                         i: int) -> collections.abc.Iterator[Step]:
        is_resolving = model.get_attempt(state, i).phase == "resolving"
        end_phase = "abandoned" if is_resolving else "refused"
        if state.owner == i or (state.owner >= 0 and
                                not self._has_guard(Guard.COMPARE_ATTEMPT_ID)):
            yield "read_own", model.replace_attempt(state,
                                                    i,
                                                    phase="held",
                                                    knows_revision=True)
        elif state.owner >= 0:
            reported = self._find_reported_outcome(state)
            yield "read_other", model.replace_attempt(state,
                                                      i,
                                                      phase=end_phase,
                                                      reported=reported)
            if reported == "unknown" and not self._has_guard(Guard.NO_TAKEOVER):
                taken_over = model.write_record(state, i, "held", True)
                yield "read_other", model.replace_attempt(taken_over,
                                                          i,
                                                          phase="held")
        else:
            next_phase = "creating_again" if is_resolving else "creating"
            yield "read_absent", model.replace_attempt(state,
                                                       i,
                                                       phase=next_phase)
        if is_resolving:
            yield "unavailable", state
        else:
            yield "unavailable", model.replace_attempt(state,
                                                       i,
                                                       phase=end_phase,
                                                       reported="not_run")
        yield "give_up", model.replace_attempt(state,
                                               i,
                                               phase=end_phase,
                                               reported="not_run")

    def _find_reported_outcome(self, state: model.State) -> str:
        if state.record == "held" and model.get_attempt(state,
                                                        state.owner).age == 0:
            return "in_progress"
        return "completed" if state.record == "completed" else "unknown"

    def _list_held_steps(self, state: model.State,
                         i: int) -> collections.abc.Iterator[Step]:
        attempt = model.get_attempt(state, i)
        may_send = attempt.age == 0 or not self._has_guard(
            Guard.SEND_BEFORE_DEADLINE)
        if not attempt.is_sent and may_send:
            sent = model.replace_attempt(state, i, is_sent=True)
            yield "send", sent._replace(runs=state.runs + 1)
        if attempt.is_sent:
            yield "complete", model.replace_attempt(state,
                                                    i,
                                                    phase="settling",
                                                    target_record="completed")
            yield "mark_unknown", model.replace_attempt(state,
                                                        i,
                                                        phase="settling",
                                                        target_record="unknown")
        if not attempt.is_sent or not self._has_guard(
                Guard.RELEASE_ONLY_UNSENT):
            yield "release", model.replace_attempt(state,
                                                   i,
                                                   phase="releasing",
                                                   reported="not_run")

    def _list_settle_steps(self, state: model.State,
                           i: int) -> collections.abc.Iterator[Step]:
        attempt = model.get_attempt(state, i)
        matches = state.owner == i and attempt.knows_revision
        if matches or not self._has_guard(Guard.COMPARE_ON_SETTLE):
            settled = model.write_record(state, i, attempt.target_record, True)
            yield "written", model.replace_attempt(settled, i, phase="settled")
            yield "uncertain", model.replace_attempt(settled,
                                                     i,
                                                     phase="confirming")
            yield "uncertain", model.replace_attempt(state,
                                                     i,
                                                     phase="confirming",
                                                     pending_write="replace")
        else:
            yield "conflicted", model.replace_attempt(state,
                                                      i,
                                                      phase="confirming")
        yield "uncertain", model.replace_attempt(state, i, phase="confirming")
        yield "unavailable", state

    def _list_confirm_steps(self, state: model.State,
                            i: int) -> collections.abc.Iterator[Step]:
        attempt = model.get_attempt(state, i)
        is_releasing = attempt.phase == "confirming_release"
        end_phase = "released" if is_releasing else "settled"
        if state.owner == i and state.record == attempt.target_record:
            yield "read_final", model.replace_attempt(state, i, phase=end_phase)
        elif state.owner == i:
            next_phase = "releasing" if is_releasing else "settling"
            yield "read_own", model.replace_attempt(state,
                                                    i,
                                                    phase=next_phase,
                                                    knows_revision=True)
        elif state.owner >= 0:
            yield "read_other", model.replace_attempt(state, i, phase=end_phase)
        else:
            yield "read_absent", model.replace_attempt(state,
                                                       i,
                                                       phase=end_phase)
        yield "unavailable", state

    def _list_delete_steps(
            self, state: model.State, i: int, end_phase: str,
            uncertain_phase: str) -> collections.abc.Iterator[Step]:
        matches = state.owner == i and model.get_attempt(state,
                                                         i).knows_revision
        is_unguarded = state.owner >= 0 and not self._has_guard(
            Guard.COMPARE_ON_DELETE)
        if matches or is_unguarded:
            deleted = model.write_record(state, -1, "", False)
            yield "written", model.replace_attempt(deleted, i, phase=end_phase)
            yield "uncertain", model.replace_attempt(deleted,
                                                     i,
                                                     phase=uncertain_phase)
            yield "uncertain", model.replace_attempt(state,
                                                     i,
                                                     phase=uncertain_phase,
                                                     pending_write="delete")
        else:
            yield "conflicted", model.replace_attempt(state,
                                                      i,
                                                      phase=uncertain_phase)
        yield "uncertain", model.replace_attempt(state,
                                                 i,
                                                 phase=uncertain_phase)
        unavailable_phase = model.get_attempt(
            state, i).phase if end_phase == "released" else end_phase
        yield "unavailable", model.replace_attempt(state,
                                                   i,
                                                   phase=unavailable_phase)

    def _list_clean_steps(self, state: model.State,
                          i: int) -> collections.abc.Iterator[Step]:
        if state.owner == i and self._has_guard(Guard.GIVE_UP_IS_FINAL):
            yield "read_own", model.replace_attempt(state,
                                                    i,
                                                    phase="removing",
                                                    knows_revision=True)
        elif state.owner == i:
            yield "read_own", model.replace_attempt(state,
                                                    i,
                                                    phase="held",
                                                    knows_revision=True)
        elif state.owner >= 0:
            yield "read_other", model.replace_attempt(state,
                                                      i,
                                                      phase="abandoned")
        else:
            yield "read_absent", model.replace_attempt(state,
                                                       i,
                                                       phase="abandoned")
        yield "unavailable", model.replace_attempt(state, i, phase="abandoned")


def _has_at_most_one_run(values: dict[str, typing.Any]) -> bool:
    return values["runs"] <= 1


def _is_not_run_report_true(values: dict[str, typing.Any]) -> bool:
    attempts = (values["first"], values["second"])
    return not any(
        one.reported == "not_run" and one.is_sent for one in attempts)


def _is_completed_response_kept(values: dict[str, typing.Any]) -> bool:
    if values["completed"] < 0:
        return True
    return (values["owner"] == values["completed"] and
            values["record"] == "completed")


def _have_both_attempts_ended(values: dict[str, typing.Any]) -> bool:
    ends = ("refused", "abandoned", "settled", "released", "dead")
    return values["first"].phase in ends and values["second"].phase in ends


def make_protocol(removed: frozenset[Guard] = frozenset()
                 ) -> minicheck.Protocol:
    """Returns the specification for the model checker.

    Args:
        removed: Guards that the protocol lacks.
    """
    protocol = ClaimProtocol(removed)
    return minicheck.Protocol(name="claim",
                              candidate=False,
                              fields=model.State._fields,
                              initial=model.State(),
                              transitions=protocol.list_steps,
                              invariants={
                                  "at most one run":
                                      _has_at_most_one_run,
                                  "a request reported as not run was not sent":
                                      _is_not_run_report_true,
                                  "a completed response is kept":
                                      _is_completed_response_kept,
                              },
                              goal=_have_both_attempts_ended)
