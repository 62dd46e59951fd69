"""Executes the commands of the router."""

import collections.abc
import typing

from twisted.internet import defer

from mustardwood import claims
from mustardwood import engines
from mustardwood import links
from mustardwood import routing
from mustardwood import runtime
from mustardwood import timing
from mustardwood.entry import attempt_receiver
from mustardwood.entry import response_writer

_TICK_INTERVAL_SECONDS = 0.05
"""Interval between calls of the router's `tick`."""

_log = runtime.make_logger("entry")


class CommandExecutor:
    """Executes commands of the router.

    While requests are open, it also calls the router's `tick` periodically.
    """

    def __init__(self, reactor: typing.Any, clock: timing.Clock,
                 router: routing.Router, link: links.Link,
                 client: engines.EndpointClient,
                 store: claims.ClaimStore) -> None:
        self._reactor = reactor
        self._clock = clock
        self._router = router
        self._link = link
        self._client = client
        self._claim_store = store
        self._writers: dict[str, response_writer.ResponseWriter] = {}
        self._exchanges: dict[tuple[str, int], engines.Exchange] = {}
        self._is_tick_scheduled = False
        self._pending_writes = 0
        self._handlers: dict[type, collections.abc.Callable] = {
            routing.SendMessage: self._send_message,
            routing.StartAttempt: self._start_attempt,
            routing.CancelAttempt: self._cancel_attempt,
            routing.AcquireClaim: self._acquire_claim,
            routing.CompleteClaim: self._complete_claim,
            routing.MarkClaimUnknown: self._mark_claim_unknown,
            routing.ReleaseClaim: self._release_claim,
            routing.SendStreamData: self._send_stream_data,
            routing.EndStream: self._end_stream,
            routing.SendResponse: self._send_response,
            routing.SendError: self._send_error,
        }

    @property
    def is_idle(self) -> bool:
        """Whether no request is open and no claim is being written."""
        return self._router.open_requests == 0 and self._pending_writes == 0

    def add_writer(self, caller: str,
                   writer: response_writer.ResponseWriter) -> None:
        """Registers the writer of the response to a caller."""
        self._writers[caller] = writer

    def remove_writer(self, caller: str) -> None:
        """Removes the writer of a caller that has disconnected."""
        self._writers.pop(caller, None)

    def execute(self, commands: list[routing.Command]) -> None:
        """Executes commands in order."""
        for command in commands:
            self._handlers[type(command)](command)
        if not self._is_tick_scheduled and self._router.open_requests:
            self._is_tick_scheduled = True
            self._reactor.callLater(_TICK_INTERVAL_SECONDS, self._tick)

    def _tick(self) -> None:
        self._is_tick_scheduled = False
        self.execute(self._router.tick(self._clock.monotonic()))

    def _send_message(self, command: routing.SendMessage) -> None:
        self._link.send(command.peer, command.message)

    def _start_attempt(self, command: routing.StartAttempt) -> None:
        receiver = attempt_receiver.AttemptReceiver(self._router, self.execute,
                                                    self._clock,
                                                    command.request_id,
                                                    command.attempt)
        key = (command.request_id, command.attempt)
        exchange = self._client.start_attempt(command, receiver)
        if not receiver.ended:
            self._exchanges[key] = exchange

    def _cancel_attempt(self, command: routing.CancelAttempt) -> None:
        key = (command.request_id, command.attempt)
        exchange = self._exchanges.pop(key, None)
        if exchange is not None:
            exchange.cancel()

    def _acquire_claim(self, command: routing.AcquireClaim) -> None:
        defer.ensureDeferred(self._acquire_async(command))

    async def _acquire_async(self, command: routing.AcquireClaim) -> None:
        try:
            result = await self._claim_store.acquire(command.organisation,
                                                     command.key,
                                                     command.fingerprint,
                                                     command.attempt_id,
                                                     command.time_limit)
        except Exception:  # pylint: disable=broad-exception-caught
            _log.exception("the claim store failed to acquire a claim")
            result = claims.ClaimResult(claims.ClaimVerdict.UNAVAILABLE)
        self.execute(
            self._router.handle_claim_result(command.request_id, result,
                                             self._clock.monotonic()))

    def _complete_claim(self, command: routing.CompleteClaim) -> None:
        defer.ensureDeferred(self._complete_async(command))

    async def _complete_async(self, command: routing.CompleteClaim) -> None:
        await self._write_claim(
            self._claim_store.complete(command.attempt_id, command.answer))
        self.execute(self._router.handle_claim_completed(command.request_id))

    def _mark_claim_unknown(self, command: routing.MarkClaimUnknown) -> None:
        defer.ensureDeferred(
            self._write_claim(self._claim_store.mark_unknown(
                command.attempt_id)))

    def _release_claim(self, command: routing.ReleaseClaim) -> None:
        defer.ensureDeferred(
            self._write_claim(self._claim_store.release(command.attempt_id)))

    async def _write_claim(self,
                           write: collections.abc.Awaitable[None]) -> None:
        self._pending_writes += 1
        try:
            await write
        except Exception:  # pylint: disable=broad-exception-caught
            _log.exception("the claim store failed to write a claim")
        finally:
            self._pending_writes -= 1

    def _send_stream_data(self, command: routing.SendStreamData) -> None:
        writer = self._writers.get(command.caller)
        if writer is not None:
            writer.send_stream_data(command.data, replay=command.replay)

    def _end_stream(self, command: routing.EndStream) -> None:
        writer = self._writers.pop(command.caller, None)
        if writer is not None:
            writer.end_stream()

    def _send_response(self, command: routing.SendResponse) -> None:
        writer = self._writers.pop(command.caller, None)
        if writer is not None:
            writer.send_response(command.status, command.headers, command.body)

    def _send_error(self, command: routing.SendError) -> None:
        writer = self._writers.pop(command.caller, None)
        if writer is not None:
            writer.send_error(command.error)
