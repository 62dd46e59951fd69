"""Checks of what endpoints and callers have seen in a run."""

import collections
import collections.abc
import itertools

from mustardwood.platform.tests.soak import caller
from mustardwood.platform.tests.soak import endpoint

_Runs = collections.abc.Iterable[endpoint.Run]
_Outcomes = collections.abc.Iterable[caller.Outcome]
_Cuts = collections.abc.Iterable[tuple[frozenset[str], float, float]]
_Disturbances = collections.abc.Sequence[tuple[str, float, float]]

MAX_OVERLAP_SECONDS = 0.4
"""Time for which two endpoints may work on one stream."""
_MAX_WAIT_SECONDS = 2.0
"""Time in which a VM sends on a request whose endpoint has ended its work."""
_NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
_STREAM_PATH = "/stream/"
_CONTACT_SECONDS = 3.0
"""Time after the beginning of a cut from which VMs have to serve."""
_MIN_SHARE = 2 / 3
"""Share of the others' served requests that a cut VM has to serve."""
_MAX_FAILED, _MAX_FAILED_SHARE = 10, 1 / 50
"""Requests that may fail at cut VMs anyway."""
STORE = "store"
"""Name of the store among the disturbances."""
APPLY_SECONDS = 3.0
"""Time in which a change of the configuration takes effect."""
_DENIALS = (401, 403, 404)
"""Statuses of requests that no configuration allows."""
_MIN_NEW_ROUTE_REQUESTS = 20
_MIN_NEW_ROUTE_SHARE = 1 / 4
"""Share of the requests for new routes that a VM has to serve."""


def find_repeated_runs(runs: _Runs) -> list[str]:
    """Returns the ids of requests that ran twice though they may run once.

    Args:
        runs: Work of all endpoints; see `endpoint.Run`.
    """
    counts = collections.Counter(
        each.attempt_id for each in runs if each.path != _STREAM_PATH)
    return [each for each, count in counts.items() if count > 1]


def find_overlaps(
    runs: _Runs, outcomes: _Outcomes, disturbances: _Disturbances = ()
) -> list[tuple[str, float]]:
    """Returns the streams at which two endpoints have worked for too long.

    A caller may resume its stream at another VM while the first one is
    stopped, so runs that different requests have started are compared only if
    the first VM was not disturbed. A VM can't end a run at an endpoint that is
    stopped or that it does not reach.

    Args:
        runs: Work of all endpoints.
        outcomes: What callers have seen of all requests.
        disturbances: See `_is_disturbed`.

    Returns:
        Pairs of a stream's id and the time in seconds.
    """
    vms = {each.attempt_id: each.vm for each in outcomes}
    by_stream = collections.defaultdict(list)
    for run in runs:
        if run.path == _STREAM_PATH:
            by_stream[run.stream_id].append(run)
    found = []
    for stream_id, group in by_stream.items():
        group.sort(key=lambda run: run.began_at)
        for first, second in itertools.pairwise(group):
            overlap = min(first.ended_at, second.ended_at) - second.began_at
            if (overlap > MAX_OVERLAP_SECONDS and not _is_disturbed(
                    first.endpoint, second.began_at, disturbances) and
                (first.attempt_id == second.attempt_id or not _is_disturbed(
                    vms[first.attempt_id], second.began_at, disturbances))):
                found.append((stream_id, overlap))
    return found


def find_broken_promises(runs: _Runs, outcomes: _Outcomes) -> list[str]:
    """Returns the ids of requests that ran though the caller was told not.

    Only requests that may run once are meant; others may be refused after a
    run. If a caller has sent a request again under its id, a run belongs to the
    last time before its beginning.
    """
    by_request = collections.defaultdict(list)
    for outcome in sorted(outcomes, key=lambda each: each.sent_at):
        by_request[outcome.attempt_id].append(outcome)
    found = []
    for run in runs:
        if run.path == _STREAM_PATH:
            continue
        asked = by_request[run.attempt_id]
        before = [each for each in asked if each.sent_at <= run.began_at]
        if (before or asked)[-1].status in _NOT_RUN_STATUSES:
            found.append(run.attempt_id)
    return found


def find_waiting_requests(
    runs: _Runs, outcomes: _Outcomes,
    disturbances: _Disturbances = ()) -> list[str]:
    """Returns the ids of failed requests that waited without an endpoint.

    No endpoint has worked on them for some time before their end. Requests at
    disturbed endpoints are left out.
    """
    ended_at, excused = {}, set()
    for run in runs:
        if _is_disturbed(run.endpoint, run.ended_at, disturbances):
            excused.add(run.attempt_id)
        ended_at[run.attempt_id] = max(run.ended_at,
                                       ended_at.get(run.attempt_id, 0.0))
    return [
        each.attempt_id
        for each in outcomes
        if not (each.is_complete or each.has_left) and each.attempt_id not in
        excused and each.attempt_id in ended_at and each.ended_at -
        ended_at[each.attempt_id] > _MAX_WAIT_SECONDS and
        not _is_disturbed(each.vm, each.ended_at, disturbances)
    ]


def find_disordered_streams(outcomes: _Outcomes) -> list[str]:
    """Returns the ids of requests whose events have gaps or repetitions."""
    return [
        each.attempt_id for each in outcomes if each.event_ids and
        each.event_ids != list(range(each.event_ids[0], each.event_ids[-1] + 1))
        or each.event_ids and each.last_id == 0 and each.event_ids[0] != 1
    ]


def find_cut_off_streams(runs: _Runs, outcomes: _Outcomes) -> list[str]:
    """Returns the ids of streams that look complete before their last event.

    The system closes the connections of a process that is killed as that of an
    endpoint that has ended its response. A stream without a length or chunks
    that ends so, between two events, can't be told from a complete one.

    Args:
        runs: Work of all endpoints; that of killed ones excuses its stream.
        outcomes: What callers have seen of all requests.
    """
    excused = {each.attempt_id for each in runs if each.was_killed}
    return [
        each.attempt_id
        for each in outcomes
        if each.path == _STREAM_PATH and each.is_complete and each.status == 200
        and (not each.event_ids or each.event_ids[-1] < endpoint.EVENTS) and
        each.attempt_id not in excused
    ]


def find_unserved_cuts(outcomes: _Outcomes, cuts: _Cuts) -> list[str]:
    """Returns the cuts in which callers of cut VMs were served far worse.

    A cut VM has to serve two thirds as often as the others, unless few requests
    fail there.

    Args:
        outcomes: What callers have seen of all requests.
        cuts: Tuples of the names of the VMs that were cut from all endpoints
            and the monotonic times at which that began and ended.
    """
    outcomes, found = list(outcomes), []
    for names, began_at, ended_at in cuts:
        counts = {True: [0, 0], False: [0, 0]}
        for each in outcomes:
            if began_at + _CONTACT_SECONDS <= each.sent_at < ended_at:
                served, sent = counts[each.vm in names]
                counts[each.vm in names] = [
                    served + (each.status == 200), sent + 1
                ]
        (served, sent), (others_served, others_sent) = (counts[True],
                                                        counts[False])
        if (sent and others_sent and
                sent - served > _MAX_FAILED + _MAX_FAILED_SHARE * sent and
                served / sent < _MIN_SHARE * others_served / others_sent):
            found.append(f"{served} of {sent} served at cut VMs, "
                         f"{others_served} of {others_sent} at the others")
    return found


def find_unapplied_changes(
    outcomes: _Outcomes, disturbances: _Disturbances = ()) -> list[str]:
    """Returns where routes that were added were not served in time.

    Args:
        outcomes: What callers have seen of all requests.
        disturbances: See `_is_disturbed`; requests to disturbed VMs, or while
            the store is disturbed, are left out.
    """
    found, statuses = [], collections.defaultdict(list)
    for each in outcomes:
        if (each.route_since is None or
                each.sent_at < each.route_since + APPLY_SECONDS or
                _is_disturbed(each.vm, each.sent_at, disturbances) or
                _is_disturbed(STORE, each.sent_at, disturbances)):
            continue
        statuses[each.vm].append(each.status)
        if each.status in _DENIALS:
            found.append(
                f"{each.vm} answered {each.attempt_id} for {each.path} "
                f"{each.status}, {each.sent_at - each.route_since:.1f} s after "
                "the change")
    for vm, answers in statuses.items():
        served = answers.count(200)
        if (len(answers) >= _MIN_NEW_ROUTE_REQUESTS and
                served < _MIN_NEW_ROUTE_SHARE * len(answers)):
            found.append(f"{vm} served {served} of {len(answers)} requests "
                         "for new routes")
    return found


def _is_disturbed(name: str,
                  at: float,
                  disturbances: _Disturbances,
                  contact_seconds: float = 3.0) -> bool:
    """Returns whether a VM or an endpoint was disturbed shortly before a time.

    Args:
        name: Its name.
        at: Monotonic time in seconds.
        disturbances: Tuples of a name and the monotonic times at which a
            disturbance began and ended.
        contact_seconds: Time after a disturbance in which its effects last.
    """
    return any(each == name and began_at <= at <= ended_at + contact_seconds
               for each, began_at, ended_at in disturbances)
