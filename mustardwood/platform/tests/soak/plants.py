"""Starts a VM with a planted fault: `python -m <module> FAULT`.

A soak that does not find the planted faults shows nothing about others.
"""

# pylint: disable=protected-access
import collections.abc
import datetime
import runpy
import sys
import types

import msgspec

from mustardwood import decoding
from mustardwood import http1
from mustardwood import relay
from mustardwood.dispatch import forwarding
from mustardwood.dispatch import request_record
from mustardwood.dispatch import router_refusals
from mustardwood.forwarding import attempt_listener
from mustardwood.forwarding import attempts
from mustardwood.http1 import endpoint_connection
from mustardwood.peers import peer_protocol
from mustardwood.peers import peer_update
from mustardwood.platform import store_watcher
from mustardwood.relay import relayed_connection

_LATE_CLOSE = datetime.timedelta(seconds=1)
_SENDS_PER_ERROR = 10
_MARK = b"\xc1"
"""A byte that no encoded message begins with."""


def _believe_unstated_refusals():
    """Takes each refusal for a statement that the request has not run."""
    receive_head = attempt_listener.AttemptListener.receive_head

    def receive(self, status, headers, is_verified, was_not_run, *rest):
        receive_head(self, status, headers, is_verified, was_not_run or
                     status in request_record.NOT_RUN_STATUSES, *rest)

    attempt_listener.AttemptListener.receive_head = receive


def _count_runs_as_unsent():
    """Reports a lost connection as one on which nothing was written."""

    def fail(self, reason):
        if not self.is_finished:
            self.is_finished = True
            self.listener.receive_failure(False, reason)

    http1.Exchange.fail = fail


def _close_late():
    """Says that an endpoint has closed, and closes its connection later."""

    def close(self, on_closed):
        self._exchange = None
        self._scheduler.call_later(_LATE_CLOSE, self.abort)
        on_closed(True)

    def end_sending(self):
        exchange, self._exchange = self._exchange, None
        self._scheduler.call_later(_LATE_CLOSE, self.abort)
        if exchange is not None:
            exchange.fail("connection closed")

    endpoint_connection.EndpointConnection.close = close
    endpoint_connection.EndpointConnection.end_sending = end_sending


def _refuse_after_errors():
    """Raises errors after sends, and refuses these requests as not run."""
    send = attempts.Attempts.send
    count = 0

    def send_and_raise(self, *arguments, **options):
        nonlocal count
        send(self, *arguments, **options)
        count += 1
        if count % _SENDS_PER_ERROR == 0:
            raise RuntimeError("planted")

    def handle_error(self, error):
        del error
        if not self.is_done:
            self._refuse(
                "error",
                router_refusals.build_not_run_refusal(
                    datetime.timedelta(milliseconds=50)))

    attempts.Attempts.send = send_and_raise
    forwarding.Forwarding.handle_error = handle_error


def _reuse_any_connection():
    """Lets a connection carry an id again that it has carried."""
    endpoint_connection.EndpointConnection.has_carried = (
        lambda self, request_id: False)


def _refuse_repetitions():
    """Refuses a request under an id that was refused before, and sends it."""
    start, refuse = forwarding.Forwarding.start, forwarding.Forwarding._refuse
    refused = {}

    def record_and_refuse(self, reason, response):
        refused[self._request.request_id] = response
        refuse(self, reason, response)

    def start_and_refuse(self):
        start(self)
        response = refused.get(self._request.request_id)
        if response is not None and not self.is_done:
            refuse(self, "refused before", response)

    forwarding.Forwarding.start = start_and_refuse
    forwarding.Forwarding._refuse = record_and_refuse


def _use_own_path_only():
    """Never opens a connection through another VM."""
    relay.RelayedPath.has_path = lambda self, endpoint: True


def _believe_ends_of_tunnels():
    """Takes the end of a tunnel for that of the endpoint's connection."""

    def lose(self, reason):
        self._lose(reason)

    relayed_connection.RelayedConnection.connectionLost = lose


def _read_whole_history():
    """Receives each version of the configuration, however many there are."""
    store_watcher.StoreWatcher.max_history_bytes = 10**9


def _change_updates():
    """Changes the updates, so that VMs of other builds can't decode them."""
    encode = msgspec.msgpack.encode

    def encode_update(value):
        encoded = encode(value)
        is_update = isinstance(value, peer_update.PeerUpdate)
        return _MARK + encoded if is_update else encoded

    def decode_update(data, kind):
        if issubclass(kind, peer_update.PeerUpdate):
            if not data.startswith(_MARK):
                raise decoding.DecodingError("an update of another build")
            data = data[len(_MARK):]
        return decoding.decode_msgpack(data, kind)

    peer_protocol.msgspec = types.SimpleNamespace(
        Raw=msgspec.Raw, msgpack=types.SimpleNamespace(encode=encode_update))
    peer_protocol.decoding = types.SimpleNamespace(
        DecodingError=decoding.DecodingError, decode_msgpack=decode_update)


FAULTS: dict[str, collections.abc.Callable[[], None]] = {
    "unstated": _believe_unstated_refusals,
    "unsent": _count_runs_as_unsent,
    "late-close": _close_late,
    "error": _refuse_after_errors,
    "copy": _reuse_any_connection,
    "repetition": _refuse_repetitions,
    "own-path": _use_own_path_only,
    "tunnel-end": _believe_ends_of_tunnels,
    "history": _read_whole_history,
    "updates": _change_updates,
}
"""Faults by name."""


def main() -> None:
    """Plants the named fault and runs the VM."""
    FAULTS[sys.argv.pop(1)]()
    runpy.run_module("mustardwood.platform",
                     run_name="__main__",
                     alter_sys=True)


if __name__ == "__main__":
    main()
