"""A server of the HTTP interface and raw connections to it, on one loop."""

import re
import socket

from cornelward.http_memory import DEFAULT_BUFFERED_BYTES, MemoryBudget
from cornelward.http_server import HttpLimits, HttpServer
from cornelward.loop import Loop

__all__ = ["Caller", "ServerHarness", "echo", "parse_answers", "post", "unfinished"]

WAIT_LIMIT_S = 30


class Caller:
    """A raw connection to a server on the same loop."""

    def __init__(self, loop, server):
        self.loop = loop
        self.sock = socket.create_connection((server.host, server.port))
        self.sock.setblocking(False)
        self.received = b""
        self.closed = False

    def poll(self):
        """Receive the available bytes; return self."""
        try:
            data = self.sock.recv(65_536)
            self.closed = self.closed or not data
            self.received += data
        except BlockingIOError:
            pass
        except ConnectionResetError:
            self.closed = True
        return self

    def send(self, data):
        """Send all of ``data``; run the loop while the socket accepts no more bytes."""
        while data:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                self.loop.tick(0.01)

    def answers(self):
        """Return (status, body) of each complete response received so far."""
        return parse_answers(self.poll().received)

    def until(self, condition):
        assert self.loop.run_until(condition, WAIT_LIMIT_S), self.received[:500]


def parse_answers(data):
    parsed = []
    pattern = rb"HTTP/1.1 (\d+)[^\r]*\r\n(?:[^\r]+\r\n)*?Content-Length: (\d+)\r\n"
    while match := re.match(pattern + rb"(?:[^\r]+\r\n)*\r\n", data):
        end = match.end() + int(match[2])
        if len(data) < end:
            break
        parsed.append((int(match[1]), data[match.end() : end]))
        data = data[end:]
    return parsed


class ServerHarness:
    """A server that collects calls in ``calls`` until the test responds to them."""

    def __init__(self, budget_bytes=DEFAULT_BUFFERED_BYTES, **limits):
        self.loop = Loop()
        self.budget = MemoryBudget(budget_bytes)
        self.calls = []
        self.handle = self.calls.append
        self.server = HttpServer(
            self.loop,
            ("127.0.0.1", 0),
            lambda call: self.handle(call),
            HttpLimits(**limits),
            self.budget,
        )
        self.callers = []
        # ``tick`` does nothing before the loop is started.
        self.loop.run_until(lambda: True, WAIT_LIMIT_S)

    def connect(self):
        caller = Caller(self.loop, self.server)
        self.callers.append(caller)
        return caller

    def until(self, condition):
        assert self.loop.run_until(condition, WAIT_LIMIT_S)

    def close(self):
        for caller in self.callers:
            caller.sock.close()
        self.server.server.close()


def echo(call):
    call.answer(200, call.request.path.encode() + b":" + call.request.body)


def post(path, body):
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def unfinished(size):
    """Return a request that lacks the last byte of a body of ``size`` bytes."""
    return post("/unfinished", b"a" * size)[:-1]
