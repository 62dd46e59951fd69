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
        self._open: dict[int, _Question] = {}
        self._numbers = 0

    async def ask(self, peers: collections.abc.Iterable[messages.Peer],
                  kind: messages.QueryKind, subject: str,
                  limit: datetime.timedelta) -> QueryResult:
        """Asks all `peers`; returns when all have answered or time is up."""
        self._numbers += 1
        number = self._numbers
        question = _Question(set(peers))
        self._open[number] = question
        timer = self._reactor.callLater(limit.total_seconds(), question.close)
        for peer in tuple(question.waiting):
            self._link.send(peer, messages.Query(number, kind, subject))
        question.close_if_whole()
        answers = await question.done
        del self._open[number]
        if timer.active():
            timer.cancel()
        return answers

    def accept_reply(self, sender: messages.Peer,
                     reply: messages.QueryReply) -> None:
        """Takes an answer; one that comes late is dropped."""
        question = self._open.get(reply.query_id)
        if question is not None:
            question.accept(sender, reply)


class _Question:
    """A question under way."""

    def __init__(self, waiting: set[messages.Peer]) -> None:
        self.waiting = waiting
        self.done: defer.Deferred[QueryResult] = defer.Deferred()
        self._replies: dict[messages.Peer, messages.QueryReply] = {}

    def accept(self, sender: messages.Peer, reply: messages.QueryReply) -> None:
        """Takes an answer."""
        if sender not in self.waiting:
            return
        self.waiting.discard(sender)
        self._replies[sender] = reply
        self.close_if_whole()

    def close_if_whole(self) -> None:
        """Ends the question when nobody is waited for."""
        if not self.waiting:
            self.close()

    def close(self) -> None:
        """Ends the question with what has come."""
        if not self.done.called:
            self.done.callback(QueryResult(self._replies, tuple(self.waiting)))
