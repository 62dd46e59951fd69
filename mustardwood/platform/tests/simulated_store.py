"""A fake of the platform's store in virtual time, and the network to it."""

import copy
import json
import urllib.parse

from mustardwood import http1
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import peer_synchronizer

ms = harness_module.ms
STORE_ADDRESS = ("192.0.2.200", 1)


class SimulatedStore:
    """The store's contents, which `restore` replaces by an older copy.

    Attributes:
        era: Number of restores.
        is_away: Whether no call reaches the store.
        contents: Items and changes, which a copy holds, too.
    """

    def __init__(self, clock):
        self._clock = clock
        self._waiting = []
        self.era = 1
        self.is_away = False
        self.contents = {
            "items": {},
            "changes": [],
            "revision": 1,
            "leases": {},
            "times_to_live": {},
            "next_lease": 1
        }

    def copy(self):
        """Returns a copy of the contents."""
        return copy.deepcopy(self.contents)

    def leave(self, rng):
        """Takes the store away; watches are cut, lost, or wait on."""
        self.is_away = True
        waiting, self._waiting = self._waiting, []
        for watch in waiting:
            fate = rng.choice(("cut", "lost", "waits"))
            if fate == "cut":
                watch[2](503, {})
            elif fate == "waits":
                self._waiting.append(watch)

    def restore(self, contents):
        """Replaces the contents by a copy and starts a new era."""
        self.contents = copy.deepcopy(contents)
        self.era += 1
        self.is_away = False

    def find(self, key):
        """Returns the item of a key, or None."""
        return self.contents["items"].get(key)

    def write(self, key, value, lease_id=0):
        """Writes a key; None removes it."""
        contents = self.contents
        if value is None and key not in contents["items"]:
            return
        contents["revision"] += 1
        item = {"key": key, "revision": contents["revision"]}
        if value is None:
            contents["items"].pop(key)
            item["deleted"] = True
        else:
            item.update(value=value, lease_id=lease_id)
            contents["items"][key] = item
        contents["changes"].append(item)
        self.answer_watches()

    def end_leases(self):
        """Removes the keys of leases that have ended."""
        now = self._clock.monotonic()
        for lease_id, end in list(self.contents["leases"].items()):
            if end <= now:
                del self.contents["leases"][lease_id]
                for key, item in list(self.contents["items"].items()):
                    if item["lease_id"] == lease_id:
                        self.write(key, None)

    def call(self, target, body, respond):
        """Handles a call; `respond` gets the status and the body."""
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        revision = self.contents["revision"]
        if parts.path == "/kv-key":
            item = self.find(query["key"])
            respond(200 if item else 404, {**(item or {}), "at": revision})
        elif parts.path == "/kv-range":
            items = self.contents["items"]
            respond(
                200, {
                    "entries": [
                        items[key]
                        for key in sorted(items)
                        if key.startswith(query["path_prefix"])
                    ],
                    "at": revision
                })
        elif parts.path == "/kv-watch":
            if int(query["after"]) > revision:
                respond(410, {})
                return
            until = self._clock.monotonic() + ms(int(query["wait_ms"]))
            self._waiting.append((int(query["after"]), until, respond))
            self.answer_watches()
        else:
            respond(*self._change(parts.path, body))

    def _change(self, path, body):
        leases = self.contents["leases"]
        now = self._clock.monotonic()
        if path == "/kv-lease":
            lease_id = self.contents["next_lease"]
            self.contents["next_lease"] += 1
            self.contents["times_to_live"][lease_id] = ms(body["ttl_ms"])
            leases[lease_id] = now + ms(body["ttl_ms"])
            return 200, {"lease_id": lease_id}
        if path == "/kv-txn":
            row, = body["write"]
            if row["lease_id"] and row["lease_id"] not in leases:
                return 404, {}
            for expected in body["expected_revision"]:
                item = self.find(expected["key"]) or {"revision": 0}
                if item["revision"] != expected["revision"]:
                    return 412, {}
            self.write(row["key"], row["value"], row["lease_id"])
            return 200, {"revision": self.contents["revision"]}
        lease_id = int(path.rpartition("/")[2])
        if lease_id not in leases:
            return 404, {}
        if path.startswith("/kv-lease-end/"):
            leases[lease_id] = now
            self.end_leases()
        else:
            leases[lease_id] = now + self.contents["times_to_live"][lease_id]
        return 200, {}

    def answer_watches(self):
        """Answers the watches for which there are changes or the time is up."""
        if self.is_away:
            return
        for watch in list(self._waiting):
            after, until, respond = watch
            events = [
                each for each in self.contents["changes"]
                if each["revision"] > after
            ]
            if events or self._clock.monotonic() >= until:
                self._waiting.remove(watch)
                respond(200, {
                    "events": events,
                    "at": self.contents["revision"]
                })


class _Exchange:

    def __init__(self):
        self.is_finished = False

    def abort(self):
        """Ends the exchange."""
        self.is_finished = True


class SimulatedPool:
    """Stands for a VM's `http1.ConnectionPool`.

    Attributes:
        is_cut: Whether neither the store nor peers can be reached.
        loses_answers: Whether the store executes calls, but their answers do
            not arrive.
        slowdown_ms: Milliseconds that are added to each way of a message.
        late_writes: Number of the next transactions whose answers are lost and
            that the store executes `late_by` later.
        late_by: Time after which it does so.
        calls: Methods and targets of the calls to the store.
    """

    def __init__(self, store, scheduler, rng, find_peer):
        """Creates a pool.

        Args:
            store: The store.
            scheduler: Schedules the messages.
            rng: Draws delays and the way in which calls fail.
            find_peer: Returns the VM with an address, or None.
        """
        self._store = store
        self._scheduler = scheduler
        self._rng = rng
        self._find_peer = find_peer
        self.is_cut = False
        self.loses_answers = False
        self.slowdown_ms = 0
        self.late_writes = 0
        self.late_by = ms(2000)
        self.calls = []
        self._held = None

    def freeze(self):
        """Holds back what arrives, since the VM is suspended."""
        self._held = []

    def thaw(self):
        """Delivers what was held back."""
        held, self._held = self._held, None
        for function in held:
            function()

    def _later(self, function):
        delay = self._rng.uniform(1, 15) + self.slowdown_ms
        self._scheduler.call_later(ms(delay), function)

    def _receive_later(self, function):
        self._later(lambda: function()
                    if self._held is None else self._held.append(function))

    def send(self, address, request: http1.HttpRequest, listener, **limits):
        """See `http1.ConnectionPool`."""
        del limits
        exchange = _Exchange()
        if address == STORE_ADDRESS:
            self.calls.append((request.method, request.target))
            if request.target == "/kv-txn" and self.late_writes:
                self.late_writes -= 1
                self._scheduler.call_later(self.late_by,
                                           lambda: self._execute_late(request))
                return exchange
            self._later(lambda: self._call_store(request, listener, exchange))
        else:
            self._later(lambda: self._call_peer(address, listener, exchange))
        return exchange

    def _call_store(self, request, listener, exchange):
        if self.is_cut or self._store.is_away:
            self._fail(listener, exchange)
            return
        body = json.loads(request.body) if request.body else None
        self._store.call(
            request.target, body, lambda status, answer: self._answer(
                status, answer, self._store.era, listener, exchange))

    def _execute_late(self, request):
        if not self._store.is_away:
            self._store.call(request.target, json.loads(request.body),
                             lambda *_: None)

    def _fail(self, listener, exchange):
        """Resets the connection, or lets the call time out."""
        if self._rng.random() < 0.5 and not exchange.is_finished:
            exchange.is_finished = True
            listener.receive_failure(True, "connection reset")

    def _answer(self, status, answer, era, listener, exchange):
        data = json.dumps(answer).encode()

        def deliver():
            if self.is_cut:
                self._fail(listener, exchange)
            elif not self.loses_answers and not exchange.is_finished:
                exchange.is_finished = True
                listener.receive_head(status,
                                      [(b"Store-Era", str(era).encode())])
                listener.receive_data(data)
                listener.receive_end()

        self._receive_later(deliver)

    def _call_peer(self, address, listener, exchange):
        peer = self._find_peer(address)
        if self.is_cut or peer is None or peer.pool.is_cut:
            self._fail(listener, exchange)
            return
        item = peer.watcher.item
        assert peer_synchronizer.CONFIGURATION_PATH == "/configuration"
        self._answer(
            200 if item else 503,
            {name: getattr(item, name) for name in item.__struct_fields__}
            if item else {}, 0, listener, exchange)
