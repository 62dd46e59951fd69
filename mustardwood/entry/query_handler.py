"""Answers to operators' questions."""

import typing

import msgspec

from mustardwood import messages
from mustardwood import reports
from mustardwood import routing


def answer_query(query: messages.Query, vm: str, router: routing.Router, *,
                 ready: bool) -> messages.QueryReply:
    """Answers a question of an agent.

    Args:
        query: The question.
        vm: Name of this VM.
        router: The router.
        ready: Whether the entry takes requests.
    """
    body: typing.Any
    if query.kind is messages.QueryKind.STATUS:
        body = {"open_requests": router.open_requests, "ready": ready}
    elif query.kind is messages.QueryKind.EXPLAIN:
        body = {"events": router.explanations.find_events(query.subject)}
    else:
        body = router.recorder.make_record(vm,
                                           reports.parse_range(query.subject))
    return messages.QueryReply(query.query_id, vm, msgspec.json.encode(body))
