"""Questions to other processes."""

import collections.abc
import datetime
import typing

import msgspec
from twisted.internet import defer

from mustardwood import links
from mustardwood import messages


class QueryResult(msgspec.Struct, frozen=True):
    """What came back.

    Attributes:
        replies: Replies by the process that sent them.
        unanswered: Processes that did not answer in time.
    """

    replies: dict[messages.Peer, messages.QueryReply]
    unanswered: tuple[messages.Peer, ...]


class QueryClient:
    """Asks processes and collects what they answer within a time."""

    def __init__(self, link: links.Link, reactor: typing.Any) -> None:
        self._link = link
        self._reactor = reactor
        self._pending: dict[int, _PendingQuery] = {}
        self._last_query_id = 0

    async def send_query(self, peers: collections.abc.Iterable[messages.Peer],
                         kind: messages.QueryKind, subject: str,
                         timeout: datetime.timedelta) -> QueryResult:
        """Asks all `peers`; returns when all have answered or time is up."""
        self._last_query_id += 1
        new_id = self._last_query_id
        query = _PendingQuery(set(peers))
        self._pending[new_id] = query
        timer = self._reactor.callLater(timeout.total_seconds(), query.close)
        for peer in tuple(query.waiting):
            self._link.send(peer, messages.Query(new_id, kind, subject))
        query.close_if_complete()
        result = await query.done
        del self._pending[new_id]
        if timer.active():
            timer.cancel()
        return result

    def handle_reply(self, sender: messages.Peer,
                     reply: messages.QueryReply) -> None:
        """Takes an answer; one that comes late is dropped."""
        query = self._pending.get(reply.query_id)
        if query is not None:
            query.add_reply(sender, reply)


class _PendingQuery:
    """A question under way."""

    def __init__(self, waiting: set[messages.Peer]) -> None:
        self.waiting = waiting
        self.done: defer.Deferred[QueryResult] = defer.Deferred()
        self._replies: dict[messages.Peer, messages.QueryReply] = {}

    def add_reply(self, sender: messages.Peer,
                  reply: messages.QueryReply) -> None:
        """Takes an answer."""
        if sender not in self.waiting:
            return
        self.waiting.discard(sender)
        self._replies[sender] = reply
        self.close_if_complete()

    def close_if_complete(self) -> None:
        """Ends the question when nobody is waited for."""
        if not self.waiting:
            self.close()

    def close(self) -> None:
        """Ends the question with what has come."""
        if not self.done.called:
            self.done.callback(QueryResult(self._replies, tuple(self.waiting)))
