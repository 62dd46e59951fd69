"""Drives `claims.Claim` along traces of the specification."""

import datetime
import random

from mustardwood import claims
from mustardwood.claims import claim_machine
from spec import claim_protocol
from spec import claim_state

WALKS = 2000
"""Random walks."""

LENGTH = 60
"""Most steps of a walk."""

DEADLINE = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
ANSWER = claims.StoredResponse(status=200,
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
"""Transitions of the code that the specification never takes: a client that
repeats a write by itself would cause it."""

ENVIRONMENT = ("send", "crash", "late_create", "late_replace", "late_delete",
               "pass_deadline", "expire")


def make_record(state, i):
    """Returns attempt `i`'s record as the specification's state has it."""
    record = claims.ClaimRecord(attempt_id=f"a{i}",
                                holder=f"vm{i}",
                                fingerprint="f",
                                deadline=DEADLINE)
    if state.owner == i and state.record == "completed":
        return record.with_response(ANSWER)
    if state.owner == i and state.record == "unknown":
        return record.with_unknown_outcome()
    return record


def tell(claim, name, before):
    """Tells the code's state machine a transition."""
    if name.startswith("read_"):
        if before.owner < 0:
            return claim.read(None, 0)
        return claim.read(make_record(before, before.owner), 1)
    if name == "complete":
        return claim.complete(ANSWER)
    if name == "written":
        return claim.written(1)
    return getattr(claim, name)()


def choose(source, state, found, taken):
    """Chooses a step; prefers those that no walk took, and seldom a crash."""
    new = [
        step for step in found
        if (claim_state.get(state, int(step[0][0])).phase,
            step[0][2:]) not in taken
    ]
    calm = [step for step in found if step[0][2:] != "crash"]
    if new and source.random() < 0.5:
        return source.choice(new)
    if calm and source.random() < 0.95:
        return source.choice(calm)
    return source.choice(found)


def follow(seed, taken):
    """Walks, compares after each step, and adds to `taken`."""
    source = random.Random(seed)
    state = claim_state.State()
    steps = claim_protocol.ClaimProtocol().steps
    pair = [claims.Claim(make_record(state, i)) for i in (0, 1)]
    read_at = [DEADLINE, DEADLINE]
    for _ in range(LENGTH):
        found = steps(state)
        if not found:
            break
        label, after = choose(source, state, found, taken)
        i, name = int(label[0]), label[2:]
        taken.add((claim_state.get(state, i).phase, name))
        if name == "read_other" and pair[i].state != "cleaning":
            is_past = claim_state.get(state, state.owner).age > 0
            read_at[i] = DEADLINE + (1 if is_past else -1) * SECOND
        if name not in ENVIRONMENT:
            command = tell(pair[i], name, state)
            compare(pair[i], command, claim_state.get(after, i), read_at[i])
        state = after


def compare(claim, command, attempt, read_at):
    """Compares state, command and verdict with the specification."""
    assert claim.state == attempt.phase
    assert isinstance(command, COMMANDS.get(attempt.phase, type(None)))
    if attempt.phase in ("refused", "abandoned"):
        assert claim.get_result(read_at).verdict is VERDICTS[attempt.told]


def test_code_follows_the_specification():
    """Every walk passes, and all the code's transitions were compared."""
    taken = set()
    for seed in range(WALKS):
        follow(seed, taken)
    told = {pair for pair in taken if pair[1] not in ENVIRONMENT}
    missed = TRANSITIONS - told
    assert missed == UNREACHABLE
