"""Invalid requests get typed errors, and later valid ones are served."""

import json

from mustardwood.entry.tests import entry_case

_AUTH = f"authorization: Bearer {entry_case.KEY}\r\n"
_POST = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n" + _AUTH
_CHAT = '"messages": [{"role": "user", "content": "x"}]'
_BODIES = (
    (b"", "malformed_body"),
    (b"[]", "wrong_type"),
    (b"nul", "malformed_body"),
    (b'{"model": "m", "messages": "x"}', "wrong_type"),
    (b'{"model": "m", "messages": []}', "wrong_type"),
    (b'{"model": "m", "messages": [1]}', "wrong_type"),
    (b'{"model": 7, ' + _CHAT.encode() + b"}", "wrong_type"),
    (b'{"model": "m", "stream": "yes", ' + _CHAT.encode() + b"}", "wrong_type"),
    (b'{"model": "m", "max_tokens": -1, ' + _CHAT.encode() + b"}",
     "wrong_type"),
    (b'{"model": "m", "max_tokens": 1e400, ' + _CHAT.encode() + b"}",
     "malformed_body"),
    (b'{"model": "m", "max_tokens": ' + b"9" * 5000 + b", " + _CHAT.encode() +
     b"}", "malformed_body"),
    (b'{"model": "m", "n": 2, ' + _CHAT.encode() + b"}", "wrong_type"),
    (b'{"model": "m", "a": ' + b"[" * 100_000 + b"}", "malformed_body"),
    (b'{"model": "m", "a": "\xff", ' + _CHAT.encode() + b"}", "malformed_body"),
    (b'{"model": "\\ud800", ' + _CHAT.encode() + b"}", "malformed_body"),
    (b'{"model": "m", "resume_from": {}, ' + _CHAT.encode() + b"}",
     "wrong_type"),
)
_VIOLATIONS = (
    (_POST + "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n"
     "2\r\n{}\r\n0\r\n\r\n").encode(),
    (_POST + "content-length: 2\r\ncontent-length: 3\r\n\r\n{}x").encode(),
    (_POST + "content-length: -1\r\n\r\n").encode(),
    (_POST + "transfer-encoding: chunked\r\n\r\nzz\r\n").encode(),
    (_POST + "no colon\r\n\r\n").encode(),
    b"nonsense\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
)


class BadInputTest(entry_case.EntryCase):
    """Sends invalid input to one entry."""

    async def check_valid_request(self):
        """Checks that a valid request is served."""
        status, _, _ = await self.send_request(self.make_fields())
        self.assertEqual(status, 200)

    async def test_invalid_bodies_get_typed_errors(self):
        for body, code in _BODIES:
            status, _, rest = await self.send_request(body)
            error = json.loads(rest)["error"]
            self.assertEqual((status, error["code"]), (400, code), body[:80])
            self.assertEqual(error["type"], "invalid_request_error")
            self.assertEqual(error["ran"], "not_run")
            self.assertTrue(error["remedy"])
        self.assertFalse(self.engine.requests)
        await self.check_valid_request()

    async def test_protocol_violations_are_refused_and_closed(self):
        for data in _VIOLATIONS:
            caller = await self.send_bytes(data)
            await caller.disconnected
            status = caller.data.split(b" ")[1] if caller.data else b"400"
            self.assertEqual(status[:1], b"4", data[:80])
            self.assertEqual(
                caller.data.count(b"HTTP/1.1 ") -
                caller.data.count(b"Send HTTP/1.1 "), 1 if caller.data else 0)
        self.assertFalse(self.engine.requests)
        await self.check_valid_request()

    async def test_invalid_idempotency_keys_are_refused(self):
        for key in ("", "x" * 256, "\x01"):
            status, _, rest = await self.send_request(
                self.make_fields(), headers=f"idempotency-key: {key}"
                "\r\n")
            code = json.loads(rest)["error"]["code"]
            self.assertEqual((status, code), (400, "bad_idempotency_key"))
        await self.check_valid_request()

    async def test_pipelined_requests_are_answered_in_order(self):
        good = json.dumps(self.make_fields()).encode()
        head = f"{_POST}content-length: %d\r\n\r\n"
        last = f"{_POST}connection: close\r\ncontent-length: %d\r\n\r\n"
        caller = await self.send_bytes((head % len(good)).encode() + good +
                                       (head % 2).encode() + b"[]" +
                                       (last % len(good)).encode() + good)
        await caller.disconnected
        statuses = [part[1:4] for part in caller.data.split(b"HTTP/1.1")[1:]]
        self.assertEqual(statuses, [b"200", b"400", b"200"])
