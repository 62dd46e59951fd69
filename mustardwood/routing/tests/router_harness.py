"""Test harness that runs a router in virtual time."""

import datetime
import random

import msgspec

from mustardwood import configuration
from mustardwood import messages
from mustardwood import routing
from mustardwood import timing

AGENT = messages.Peer("127.0.0.1", messages.Role.AGENT)
VMS = ("vm1", "vm2", "vm3")
IPS = {vm: f"127.0.0.{index + 1}" for index, vm in enumerate(VMS)}


def make_document(endpoints=4, idempotent=True):
    """Returns a configuration with one model and one service."""
    hosts = [
        configuration.Endpoint(f"e{index}", "m", f"http://127.0.9.{index}:1",
                               "z", "r") for index in range(1, endpoints + 1)
    ]
    hosts += [
        configuration.Endpoint(f"s{index}", "ledger",
                               f"http://127.0.8.{index}:1", "z", "r")
        for index in (1, 2)
    ]
    return configuration.Document(
        classes=(configuration.RequestClass("tag",
                                            0,
                                            0.66,
                                            deadline_seconds=60,
                                            idempotent=idempotent),
                 configuration.RequestClass("long", 3, 5.0)),
        default_class="tag",
        organisations=(configuration.Organisation("tatra"),),
        models=(configuration.Model("m"),),
        services=(configuration.Service("ledger", "tag"),),
        endpoints=tuple(hosts))


class RouterHarness:
    """Simulates the schedulers, endpoints, claim store and callers of a router.

    Attributes:
        router: The router under test.
        sent_messages: Pairs of receiver and message sent to other processes.
        started_attempts: Commands that started attempts.
        cancelled_attempts: Pairs of request id and attempt number of cancelled
            attempts.
        stream_data: Streamed bytes by caller.
        responses: Commands with complete responses by caller.
        errors: Final errors by caller.
        ended_streams: Callers whose stream was ended.
        claim_commands: Commands to the claim store.
    """

    def __init__(self, document=None, vms=VMS):
        self.clock = timing.ManualClock()
        self.router = routing.Router("vm1", IPS["vm1"], "r", self.clock,
                                     random.Random(7), routing.NoMetrics(),
                                     routing.LeastLoadedSelector())
        self.sent_messages = []
        self.started_attempts = []
        self.cancelled_attempts = []
        self.stream_data = {}
        self.responses = {}
        self.errors = {}
        self.ended_streams = []
        self.claim_commands = []
        self.document = document or make_document()
        self.vms = vms
        self.deliver_view()

    @property
    def now(self):
        """The monotonic time."""
        return self.clock.monotonic()

    def execute(self, commands):
        """Records commands of the router."""
        for each in commands:
            if isinstance(each, routing.SendMessage):
                self.sent_messages.append((each.peer, each.message))
            elif isinstance(each, routing.StartAttempt):
                self.started_attempts.append(each)
            elif isinstance(each, routing.CancelAttempt):
                self.cancelled_attempts.append((each.request_id, each.attempt))
            elif isinstance(each, routing.SendStreamData):
                self.stream_data[each.caller] = self.stream_data.get(
                    each.caller, b"") + each.data
            elif isinstance(each, routing.EndStream):
                self.ended_streams.append(each.caller)
            elif isinstance(each, routing.SendResponse):
                self.responses[each.caller] = each
            elif isinstance(each, routing.SendError):
                self.errors[each.caller] = each.error
            else:
                self.claim_commands.append(each)

    def deliver_view(self, version=1, leaving=(), convictions=(), suspects=()):
        """Delivers a view of the fleet."""
        text = msgspec.json.encode(self.document).decode()
        members = tuple(
            messages.Member(vm, IPS[vm], "z", "r", messages.MemberState.ALIVE)
            for vm in self.vms)
        versioned = configuration.VersionedDocument(version, "a", text)
        self.deliver(
            messages.View(version, version, versioned, members, tuple(leaving),
                          tuple(convictions), tuple(suspects)), AGENT)

    def deliver(self, body, peer):
        """Delivers a message to the router."""
        envelope = messages.Envelope(peer, 1, body)
        self.execute(self.router.handle_message(envelope, self.now))

    def submit_completion(self, name="r1", **overrides):
        """Submits a text completion; the overrides replace its fields."""
        fields = {
            "model": "m",
            "prompt": overrides.pop("prompt", name),
        }
        request = routing.CallerRequest(
            **{
                "request_id": name,
                "kind": routing.RequestKind.COMPLETION,
                "model_or_service": "m",
                "request_class": self.document.classes[0],
                "organisation": "tatra",
                "arrived_at": self.now,
                "idempotent": self.document.classes[0].idempotent,
                "fingerprint": "f-" + fields["prompt"],
                "fields": fields,
                "stream": True,
                **overrides
            })
        self.execute(self.router.handle_request(request, self.now))

    def submit_service_call(self, name="r1", **overrides):
        """Submits a service call, which is not idempotent by default."""
        self.submit_completion(
            name, **{
                "kind": routing.RequestKind.SERVICE,
                "model_or_service": "ledger",
                "idempotent": False,
                "path": "/post",
                "body": b"x",
                "stream": False,
                **overrides
            })

    def find_last_message(self, message_type, request_id=None):
        """Returns the receiver and the last sent message of a type."""
        found = [(peer, each)
                 for peer, each in self.sent_messages
                 if isinstance(each, message_type) and request_id in (
                     None, getattr(each, "request_id", None))]
        return found[-1] if found else (None, None)

    def grant_last_ask(self, name="r1", endpoint="e1", peer=None):
        """Grants the last `Ask` of a request; returns the grant."""
        owner, ask = self.find_last_message(messages.Ask, name)
        grant = messages.Grant(name, ask.attempt, ask.cell, endpoint, 0)
        self.deliver(grant, peer or owner)
        return grant

    def send_head(self, attempt=None, status=200, headers=()):
        """Sends the status and headers of an endpoint's response."""
        attempt = attempt or self.started_attempts[-1]
        self.execute(
            self.router.handle_head(attempt.request_id, attempt.attempt, status,
                                    headers, self.now))

    def send_token(self, text, attempt=None, finish_reason=None, event_id=None):
        """Sends an engine event with text."""
        attempt = attempt or self.started_attempts[-1]
        self.send_event_data(
            msgspec.json.encode({
                "id":
                    event_id or attempt.attempt_id,
                "choices": [{
                    "index": 0,
                    "text": text,
                    "finish_reason": finish_reason
                }]
            }), attempt)

    def send_event_data(self, data, attempt=None):
        """Sends the data of an engine event."""
        attempt = attempt or self.started_attempts[-1]
        self.execute(
            self.router.handle_events(attempt.request_id, attempt.attempt,
                                      [data], self.now))

    def finish_stream(self, text="", attempt=None):
        """Sends a finish reason and the end marker."""
        self.send_token(text, attempt, "stop")
        self.send_event_data(b"[DONE]", attempt)

    def end_exchange(self, end, attempt=None):
        """Ends the HTTP exchange of an attempt."""
        attempt = attempt or self.started_attempts[-1]
        self.execute(
            self.router.handle_end(attempt.request_id, attempt.attempt, end,
                                   self.now))

    def send_body(self, data, attempt=None):
        """Sends a part of a response body."""
        attempt = attempt or self.started_attempts[-1]
        self.execute(
            self.router.handle_body(attempt.request_id, attempt.attempt, data,
                                    self.now))

    def advance(self, seconds, step=0.05):
        """Advances the clock, and ticks the router after each step."""
        for _ in range(round(seconds / step)):
            self.clock.advance(datetime.timedelta(seconds=step))
            self.execute(self.router.tick(self.now))

    def grant_retry(self, name="r1", endpoint="e2"):
        """Advances past the backoff of a retry, and grants it."""
        self.advance_until_ask(name)
        self.grant_last_ask(name, endpoint)

    def advance_until_ask(self, name="r1"):
        """Advances until a request waits for a grant, for 3 seconds at most."""
        for _ in range(60):
            if self.router.find_phase(name) is routing.RequestPhase.ASKING:
                break
            self.advance(0.05)

    def refuse_retry(self, name="r1"):
        """Advances past the backoff of a retry, and refuses it."""
        self.advance_until_ask(name)
        owner, ask = self.find_last_message(messages.Ask, name)
        refusal = messages.Refusal(name, ask.attempt, ask.cell,
                                   messages.RefusalReason.NO_ENDPOINT,
                                   datetime.timedelta(seconds=1))
        self.deliver(refusal, owner)

    def read_text(self, name="r1"):
        """Returns the text that was streamed to a caller."""
        events = self.stream_data.get(name, b"").split(b"\n\n")
        found = [
            msgspec.json.decode(each[6:])
            for each in events
            if each.startswith(b"data: {")
        ]
        return "".join(
            each["choices"][0]["text"] for each in found if each.get("choices"))
