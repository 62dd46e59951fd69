"""Tests that `claims.Claim` follows the specification.

Random walks through the specification are replayed on the code, and state,
command and verdict are compared after each step.
"""

import datetime
import random

from mustardwood import claims
from mustardwood.claims import claim_machine
from spec import claim_protocol
from spec import claim_state

WALK_COUNT = 2000
"""Number of random walks."""

MAX_STEPS = 60
"""Maximum number of steps of a walk."""

DEADLINE = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
RESPONSE = claims.StoredResponse(status=200,
                                 headers=(),
                                 content_type="text/plain",
                                 body=b"answer")
COMMANDS = {
    "creating": claims.Create,
    "creating_again": claims.Create,
    "reading": claims.Read,
    "resolving": claims.Read,
    "confirming": claims.Read,
    "confirming_release": claims.Read,
    "cleaning": claims.Read,
    "settling": claims.Replace,
    "releasing": claims.Delete,
    "removing": claims.Delete,
}
VERDICTS = {
    "not_run": claims.ClaimVerdict.UNAVAILABLE,
    "in_progress": claims.ClaimVerdict.IN_PROGRESS,
    "unknown": claims.ClaimVerdict.OUTCOME_UNKNOWN,
    "completed": claims.ClaimVerdict.COMPLETED,
}
TRANSITIONS = {(source, "complete" if event is claim_machine.ClaimInputs.settle
                else event.__name__)
               for source, event, _, _ in claim_machine.TRANSITIONS}
UNREACHABLE = {("reading", "read_own")}
"""Transitions of the code that the specification never takes.

Only an HTTP client that repeats a write by itself would cause this one.
"""

ENVIRONMENT = ("send", "crash", "late_create", "late_replace", "late_delete",
               "pass_deadline", "expire")


def make_record(state, i):
    """Returns the record of attempt `i` in a state of the specification."""
    record = claims.ClaimRecord(attempt_id=f"a{i}",
                                holder=f"vm{i}",
                                fingerprint="f",
                                deadline=DEADLINE)
    if state.owner == i and state.record == "completed":
        return record.with_response(RESPONSE)
    if state.owner == i and state.record == "unknown":
        return record.with_unknown_outcome()
    return record


def report_event(claim, name, before):
    """Reports a transition to the code; returns its command."""
    if name.startswith("read_"):
        if before.owner < 0:
            return claim.read(None, 0)
        return claim.read(make_record(before, before.owner), 1)
    if name == "complete":
        return claim.complete(RESPONSE)
    if name == "written":
        return claim.written(1)
    return getattr(claim, name)()


def choose_step(rng, state, steps, taken):
    """Chooses a step; prefers those no walk took, and rarely a crash."""
    unseen = [
        step for step in steps
        if (claim_state.get_attempt(state, int(step[0][0])).phase,
            step[0][2:]) not in taken
    ]
    without_crash = [step for step in steps if step[0][2:] != "crash"]
    if unseen and rng.random() < 0.5:
        return rng.choice(unseen)
    if without_crash and rng.random() < 0.95:
        return rng.choice(without_crash)
    return rng.choice(steps)


def run_walk(seed, taken):
    """Walks at random, compares after each step, and adds to `taken`."""
    rng = random.Random(seed)
    state = claim_state.State()
    list_steps = claim_protocol.ClaimProtocol().list_steps
    attempt_claims = [claims.Claim(make_record(state, i)) for i in (0, 1)]
    read_times = [DEADLINE, DEADLINE]
    for _ in range(MAX_STEPS):
        steps = list_steps(state)
        if not steps:
            break
        label, after = choose_step(rng, state, steps, taken)
        i, name = int(label[0]), label[2:]
        taken.add((claim_state.get_attempt(state, i).phase, name))
        if name == "read_other" and attempt_claims[i].state != "cleaning":
            is_past = claim_state.get_attempt(state, state.owner).age > 0
            read_times[i] = DEADLINE + (1 if is_past else -1) * SECOND
        if name not in ENVIRONMENT:
            command = report_event(attempt_claims[i], name, state)
            compare_with_specification(attempt_claims[i], command,
                                       claim_state.get_attempt(after, i),
                                       read_times[i])
        state = after


def compare_with_specification(claim, command, attempt, read_at):
    """Compares the claim's state, command and verdict with the attempt's."""
    assert claim.state == attempt.phase
    assert isinstance(command, COMMANDS.get(attempt.phase, type(None)))
    if attempt.phase in ("refused", "abandoned"):
        assert claim.get_result(read_at).verdict is VERDICTS[attempt.reported]


def test_claim_follows_the_specification():
    """Compares all walks, and checks that they cover the transitions.

    Otherwise a transition that only the code has would go unnoticed.
    """
    taken = set()
    for seed in range(WALK_COUNT):
        run_walk(seed, taken)
    compared = {pair for pair in taken if pair[1] not in ENVIRONMENT}
    not_taken = TRANSITIONS - compared
    assert not_taken == UNREACHABLE
