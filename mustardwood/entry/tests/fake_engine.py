"""A fake engine that responds to one request on each connection."""

import json

from twisted.internet import protocol

WORDS = ("Odpisy ", "ľahko ", "súhlasia")


class EngineProtocol(protocol.Protocol):
    """Responds to a request with a fixed completion stream."""

    def __init__(self, engine):
        self.engine = engine
        self.data = b""

    def dataReceived(self, data):
        self.data += data
        head, separator, body = self.data.partition(b"\r\n\r\n")
        headers = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if not separator or len(body) < int(headers.get(b"content-length", 0)):
            return
        self.data = b""
        self.engine.requests.append((head, body))
        self.send_response(headers[b"x-attempt-id"].decode())

    def send_response(self, attempt_id):
        """Writes the response to an attempt."""
        if self.engine.raw_response is not None:
            self.transport.write(self.engine.raw_response)
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\ncontent-type: "
                             b"text/event-stream\r\n"
                             b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(self.engine.filler_events):
            self.send_event(attempt_id, {"content": "x" * 100}, None)
        for index, word in enumerate(WORDS):
            self.send_event(attempt_id, {"content": word},
                            "stop" if index + 1 == len(WORDS) else None)
        if self.engine.leaves_open:
            return
        self.send_chunk(
            json.dumps({
                "id": attempt_id,
                "choices": [],
                "usage": {
                    "prompt_tokens": 5,
                    "completion_tokens": 3
                }
            }))
        self.send_chunk("[DONE]")
        self.transport.write(b"0\r\n\r\n")

    def send_event(self, attempt_id, delta, reason):
        """Writes an event of the response."""
        self.send_chunk(
            json.dumps({
                "id":
                    attempt_id,
                "object":
                    "chat.completion.chunk",
                "created":
                    1,
                "model":
                    "m",
                "choices": [{
                    "index": 0,
                    "delta": delta,
                    "finish_reason": reason
                }]
            }))

    def send_chunk(self, data):
        event = f"data: {data}\n\n".encode()
        self.transport.write(b"%x\r\n%s\r\n" % (len(event), event))

    def connectionLost(self, reason=protocol.connectionDone):
        self.engine.closed_connections += 1


class Engine(protocol.Factory):
    """Accepts connections as an engine.

    Attributes:
        requests: Head and body of each request that was received.
        closed_connections: Number of connections that have been closed.
        leaves_open: Whether streams stay open after their last word.
        filler_events: Number of events with 100 characters that precede the
            words.
        raw_response: Bytes of the whole response; None for the stream.
    """

    def __init__(self):
        self.requests = []
        self.closed_connections = 0
        self.leaves_open = False
        self.filler_events = 0
        self.raw_response = None

    def buildProtocol(self, addr):
        return EngineProtocol(self)
