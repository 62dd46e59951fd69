"""Answers the queries of operators, which agents forward."""

import typing

import msgspec

from mustardwood import messages
from mustardwood import reports
from mustardwood import routing


def answer_query(query: messages.Query, vm: str, router: routing.Router, *,
                 ready: bool) -> messages.QueryReply:
    """Returns the reply to a query of an agent.

    Args:
        query: The query.
        vm: Name of this VM.
        router: The router that the query is about.
        ready: Whether the entry accepts requests.
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
