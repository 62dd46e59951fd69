"""Specification of the claim of a non-idempotent request.

Two attempts with the same Idempotency-Key, at two entries or one after the
other as a caller's resend, use one key of the key-value service. A pause is
any delay between two transitions of an attempt, and an outage is any number
of `unavailable`. `Guard` names what may be left out for a mutant.
"""

import collections.abc
import enum
import typing

import minicheck

from spec import claim_state


class Guard(enum.StrEnum):
    """Guards of the protocol; a mutant leaves one out."""

    COMPARE_ON_CREATE = "compare and swap on create"
    READ_BACK = "read back after a lost answer"
    COMPARE_ATTEMPT = "compare the attempt id"
    NO_TAKEOVER = "no takeover after the deadline"
    GIVE_UP_IS_FINAL = "nothing sent after giving up"
    RELEASE_UNSENT = "release only when nothing was sent"
    COMPARE_ON_SETTLE = "compare and swap on settle"
    SEND_IN_TIME = "send only before the deadline"
    COMPARE_ON_DELETE = "compare and swap on delete"


Step = tuple[str, claim_state.State]
"""A transition's name and the next state."""


class ClaimProtocol:
    """The transitions, with all guards but those in `removed`."""

    def __init__(self, removed: frozenset[Guard] = frozenset()) -> None:
        self._removed = removed

    def steps(self, state: claim_state.State) -> list[Step]:
        """Returns all steps out of a state, labelled by attempt."""
        found: list[Step] = []
        for i in claim_state.ATTEMPTS:
            for name, after in self._steps_of(state, i):
                found.append((f"{i}.{name}", after))
        return found

    def _has(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _steps_of(self, state: claim_state.State,
                  i: int) -> collections.abc.Iterator[Step]:
        yield from self._environment(state, i)
        phase = claim_state.get(state, i).phase
        if phase == "new":
            yield "start", claim_state.put(state, i, phase="creating")
        elif phase in ("creating", "creating_again"):
            yield from self._create(state, i)
        elif phase in ("reading", "resolving"):
            yield from self._read(state, i)
        elif phase == "held":
            yield from self._hold(state, i)
        elif phase == "settling":
            yield from self._settle(state, i)
        elif phase in ("confirming", "confirming_release"):
            yield from self._confirm(state, i)
        elif phase == "releasing":
            yield from self._delete(state, i, "released", "confirming_release")
        elif phase == "removing":
            yield from self._delete(state, i, "abandoned", "abandoned")
        elif phase == "abandoned":
            yield "clean", claim_state.put(state, i, phase="cleaning")
        elif phase == "cleaning":
            yield from self._clean(state, i)

    def _environment(self, state: claim_state.State,
                     i: int) -> collections.abc.Iterator[Step]:
        attempt = claim_state.get(state, i)
        if attempt.phase not in ("new", "dead"):
            yield "crash", claim_state.put(state, i, phase="dead")
        if attempt.late:
            landed = claim_state.put(state, i, late=False)
            if self._can_create(state):
                landed = claim_state.store(landed, i, "held", False)
            yield "late_create", landed
        if attempt.final == "delete":
            yield "late_delete", claim_state.store(state, -1, "", False)
        if attempt.final == "replace":
            yield "late_replace", claim_state.store(state, i, attempt.want,
                                                    False)
        if attempt.age == 0 and attempt.phase != "new":
            yield "pass_deadline", claim_state.put(state, i, age=1)
        if attempt.age == 1 and state.owner == i:
            forgotten = claim_state.store(claim_state.put(state, i, age=2), -1,
                                          "", False)
            yield "expire", forgotten._replace(runs=0, completed=-1)

    def _can_create(self, state: claim_state.State) -> bool:
        return state.owner < 0 or not self._has(Guard.COMPARE_ON_CREATE)

    def _create(self, state: claim_state.State,
                i: int) -> collections.abc.Iterator[Step]:
        again = claim_state.get(state, i).phase == "creating_again"
        unsure = "resolving"
        if not self._has(Guard.READ_BACK):
            unsure = "held"
        if self._can_create(state):
            done = claim_state.store(state, i, "held", True)
            yield "written", claim_state.put(done, i, phase="held")
            lost = claim_state.store(state, i, "held", False)
            yield "uncertain", claim_state.put(lost, i, phase=unsure)
        else:
            after = "resolving" if again else "reading"
            yield "conflicted", claim_state.put(state, i, phase=after)
        yield "uncertain", claim_state.put(state, i, phase=unsure)
        yield "uncertain", claim_state.put(state, i, phase=unsure, late=True)
        if again:
            yield "unavailable", claim_state.put(state, i, phase="resolving")
            yield "give_up", claim_state.put(state,
                                             i,
                                             phase="abandoned",
                                             told="not_run")
        else:
            refused = claim_state.put(state, i, phase="refused", told="not_run")
            yield "unavailable", refused
            yield "give_up", refused

    def _read(self, state: claim_state.State,
              i: int) -> collections.abc.Iterator[Step]:
        unsure = claim_state.get(state, i).phase == "resolving"
        end = "abandoned" if unsure else "refused"
        if state.owner == i or (state.owner >= 0 and
                                not self._has(Guard.COMPARE_ATTEMPT)):
            yield "read_own", claim_state.put(state,
                                              i,
                                              phase="held",
                                              known=True)
        elif state.owner >= 0:
            told = self._judge(state)
            yield "read_other", claim_state.put(state, i, phase=end, told=told)
            if told == "unknown" and not self._has(Guard.NO_TAKEOVER):
                taken = claim_state.store(state, i, "held", True)
                yield "read_other", claim_state.put(taken, i, phase="held")
        else:
            after = "creating_again" if unsure else "creating"
            yield "read_absent", claim_state.put(state, i, phase=after)
        if unsure:
            yield "unavailable", state
        else:
            yield "unavailable", claim_state.put(state,
                                                 i,
                                                 phase=end,
                                                 told="not_run")
        yield "give_up", claim_state.put(state, i, phase=end, told="not_run")

    def _judge(self, state: claim_state.State) -> str:
        if state.record == "held" and claim_state.get(state,
                                                      state.owner).age == 0:
            return "in_progress"
        return "completed" if state.record == "completed" else "unknown"

    def _hold(self, state: claim_state.State,
              i: int) -> collections.abc.Iterator[Step]:
        attempt = claim_state.get(state, i)
        in_time = attempt.age == 0 or not self._has(Guard.SEND_IN_TIME)
        if not attempt.sent and in_time:
            sent = claim_state.put(state, i, sent=True)
            yield "send", sent._replace(runs=state.runs + 1)
        if attempt.sent:
            yield "complete", claim_state.put(state,
                                              i,
                                              phase="settling",
                                              want="completed")
            yield "mark_unknown", claim_state.put(state,
                                                  i,
                                                  phase="settling",
                                                  want="unknown")
        if not attempt.sent or not self._has(Guard.RELEASE_UNSENT):
            yield "release", claim_state.put(state,
                                             i,
                                             phase="releasing",
                                             told="not_run")

    def _settle(self, state: claim_state.State,
                i: int) -> collections.abc.Iterator[Step]:
        attempt = claim_state.get(state, i)
        matches = state.owner == i and attempt.known
        if matches or not self._has(Guard.COMPARE_ON_SETTLE):
            done = claim_state.store(state, i, attempt.want, True)
            yield "written", claim_state.put(done, i, phase="settled")
            yield "uncertain", claim_state.put(done, i, phase="confirming")
            yield "uncertain", claim_state.put(state,
                                               i,
                                               phase="confirming",
                                               final="replace")
        else:
            yield "conflicted", claim_state.put(state, i, phase="confirming")
        yield "uncertain", claim_state.put(state, i, phase="confirming")
        yield "unavailable", state

    def _confirm(self, state: claim_state.State,
                 i: int) -> collections.abc.Iterator[Step]:
        attempt = claim_state.get(state, i)
        releasing = attempt.phase == "confirming_release"
        end = "released" if releasing else "settled"
        if state.owner == i and state.record == attempt.want:
            yield "read_final", claim_state.put(state, i, phase=end)
        elif state.owner == i:
            after = "releasing" if releasing else "settling"
            yield "read_own", claim_state.put(state, i, phase=after, known=True)
        elif state.owner >= 0:
            yield "read_other", claim_state.put(state, i, phase=end)
        else:
            yield "read_absent", claim_state.put(state, i, phase=end)
        yield "unavailable", state

    def _delete(self, state: claim_state.State, i: int, end: str,
                unsure: str) -> collections.abc.Iterator[Step]:
        matches = state.owner == i and claim_state.get(state, i).known
        blind = state.owner >= 0 and not self._has(Guard.COMPARE_ON_DELETE)
        if matches or blind:
            done = claim_state.store(state, -1, "", False)
            yield "written", claim_state.put(done, i, phase=end)
            yield "uncertain", claim_state.put(done, i, phase=unsure)
            yield "uncertain", claim_state.put(state,
                                               i,
                                               phase=unsure,
                                               final="delete")
        else:
            yield "conflicted", claim_state.put(state, i, phase=unsure)
        yield "uncertain", claim_state.put(state, i, phase=unsure)
        after = claim_state.get(state, i).phase if end == "released" else end
        yield "unavailable", claim_state.put(state, i, phase=after)

    def _clean(self, state: claim_state.State,
               i: int) -> collections.abc.Iterator[Step]:
        if state.owner == i and self._has(Guard.GIVE_UP_IS_FINAL):
            yield "read_own", claim_state.put(state,
                                              i,
                                              phase="removing",
                                              known=True)
        elif state.owner == i:
            yield "read_own", claim_state.put(state,
                                              i,
                                              phase="held",
                                              known=True)
        elif state.owner >= 0:
            yield "read_other", claim_state.put(state, i, phase="abandoned")
        else:
            yield "read_absent", claim_state.put(state, i, phase="abandoned")
        yield "unavailable", claim_state.put(state, i, phase="abandoned")


def _has_one_run(values: dict[str, typing.Any]) -> bool:
    return values["runs"] <= 1


def _is_not_run_true(values: dict[str, typing.Any]) -> bool:
    attempts = (values["first"], values["second"])
    return not any(one.told == "not_run" and one.sent for one in attempts)


def _is_answer_kept(values: dict[str, typing.Any]) -> bool:
    if values["completed"] < 0:
        return True
    return (values["owner"] == values["completed"] and
            values["record"] == "completed")


def _is_answered(values: dict[str, typing.Any]) -> bool:
    ends = ("refused", "abandoned", "settled", "released", "dead")
    return values["first"].phase in ends and values["second"].phase in ends


def make_protocol(removed: frozenset[Guard] = frozenset()
                 ) -> minicheck.Protocol:
    """Returns the specification, without the guards in `removed`."""
    claims = ClaimProtocol(removed)
    return minicheck.Protocol(name="claim",
                              candidate=False,
                              fields=claim_state.State._fields,
                              initial=claim_state.State(),
                              transitions=claims.steps,
                              invariants={
                                  "at most one run": _has_one_run,
                                  "not run is true": _is_not_run_true,
                                  "a completed answer is kept": _is_answer_kept,
                              },
                              goal=_is_answered)
