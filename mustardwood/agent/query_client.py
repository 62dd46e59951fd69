"""Queries to other processes."""

import collections.abc
import datetime
import typing

import msgspec
from twisted.internet import defer

from mustardwood import links
from mustardwood import messages


class QueryResult(msgspec.Struct, frozen=True):
    """The replies to one query.

    Attributes:
        replies: Replies by sender.
        unanswered: Processes that did not reply before the timeout.
    """

    replies: dict[messages.Peer, messages.QueryReply]
    unanswered: tuple[messages.Peer, ...]


class QueryClient:
    """Sends queries to processes and collects their replies.

    Args:
        link: Link to the processes.
        reactor: The Twisted reactor.
    """

    def __init__(self, link: links.Link, reactor: typing.Any) -> None:
        self._link = link
        self._reactor = reactor
        self._pending: dict[int, _PendingQuery] = {}
        self._last_query_id = 0

    async def send_query(self, peers: collections.abc.Iterable[messages.Peer],
                         kind: messages.QueryKind, subject: str,
                         timeout: datetime.timedelta) -> QueryResult:
        """Sends a query and waits for the replies.

        Args:
            peers: Processes to query.
            kind: Kind of the query.
            subject: Request id or range of minutes, as the kind requires;
                empty for a status query.
            timeout: Time after which missing replies are not waited for.

        Returns:
            The replies that came before the timeout.
        """
        self._last_query_id += 1
        query_id = self._last_query_id
        query = _PendingQuery(set(peers))
        self._pending[query_id] = query
        timer = self._reactor.callLater(timeout.total_seconds(), query.close)
        for peer in tuple(query.waiting):
            self._link.send(peer, messages.Query(query_id, kind, subject))
        query.close_if_complete()
        result = await query.done
        del self._pending[query_id]
        if timer.active():
            timer.cancel()
        return result

    def handle_reply(self, sender: messages.Peer,
                     reply: messages.QueryReply) -> None:
        """Processes a reply; drops it if its query has ended."""
        query = self._pending.get(reply.query_id)
        if query is not None:
            query.add_reply(sender, reply)


class _PendingQuery:
    """A query whose replies are not all received yet.

    Attributes:
        waiting: Processes that have not replied.
        done: Fires with the result when the query ends.
    """

    def __init__(self, waiting: set[messages.Peer]) -> None:
        self.waiting = waiting
        self.done: defer.Deferred[QueryResult] = defer.Deferred()
        self._replies: dict[messages.Peer, messages.QueryReply] = {}

    def add_reply(self, sender: messages.Peer,
                  reply: messages.QueryReply) -> None:
        """Adds a reply; ignores a repeated or unexpected one."""
        if sender not in self.waiting:
            return
        self.waiting.discard(sender)
        self._replies[sender] = reply
        self.close_if_complete()

    def close_if_complete(self) -> None:
        """Ends the query if all processes have replied."""
        if not self.waiting:
            self.close()

    def close(self) -> None:
        """Ends the query with the replies received so far."""
        if not self.done.called:
            self.done.callback(QueryResult(self._replies, tuple(self.waiting)))
