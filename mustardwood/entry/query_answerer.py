"""Answers to operators' questions."""

import collections.abc
import typing

import msgspec

from mustardwood import messages
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
        body = {"events": router.explanations.find(query.subject)}
    else:
        body = {"buckets": list(_describe_buckets(router))}
    return messages.QueryReply(query.query_id, vm, msgspec.json.encode(body))


def _describe_buckets(
        router: routing.Router
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    for key, bucket in router.recorder.list_buckets():
        yield {
            "minute": key.minute,
            "class": key.class_name,
            "organisation": key.organisation,
            "endpoint": key.endpoint,
            "asked": bucket.asked,
            "whole": bucket.whole,
            "met": bucket.met,
            "refused": dict(bucket.refused),
            "tokens_useful": bucket.tokens_useful,
            "tokens_wasted": dict(bucket.tokens_wasted),
        }
