"""HTTP/1.1 client connections in the circuits loop, parsed by httptools.

Connections are kept alive and pooled by address. A request is never sent twice by this
module: retries are decided where the verdict is known.
"""

import math
import socket
from collections import deque
from typing import NamedTuple

import httptools
import msgspec
from circuits import BaseComponent, handler

__all__ = ["HttpClient", "HttpResult"]

READ_BYTES = 65_536
# Bounds what an upstream can make this process hold for one answer.
MAX_ANSWER_BYTES = 16_777_216


class HttpResult(NamedTuple):
    """Outcome of one call.

    ``status`` is None when no whole answer arrived; ``error`` then tells why:
    ``connect_failed``, ``closed``, ``timeout``, ``bad_answer`` or ``too_late`` (not
    sent before ``send_by``). ``sent`` is True once a byte of the request was handed to
    the connection.
    """

    status: int | None
    headers: dict
    body: bytes
    error: str | None
    sent: bool

    def json(self):
        """Return the decoded body, or None if it is not JSON."""
        try:
            return msgspec.json.decode(self.body)
        except msgspec.DecodeError:
            return None


class _Exchange:
    """One request and its answer on one connection."""

    __slots__ = (
        "body",
        "done",
        "headers",
        "on_done",
        "payload",
        "send_by",
        "sent",
        "timer",
    )

    def __init__(self, payload, send_by, on_done):
        self.payload = payload
        self.send_by = send_by
        self.on_done = on_done
        self.headers = {}
        self.body = []
        self.sent = False
        self.done = False
        self.timer = None


class _Connection:
    """One socket; ``exchange`` is None while it is idle."""

    __slots__ = (
        "addr",
        "connected",
        "exchange",
        "keep_alive",
        "out",
        "parser",
        "reusable",
        "size",
        "sock",
    )

    def __init__(self, addr, sock):
        self.addr = addr
        self.sock = sock
        self.connected = False
        self.reusable = True
        self.keep_alive = False
        self.exchange = None
        self.out = b""
        self.size = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self):
        if self.exchange.done:
            raise ValueError("bytes after the answer")

    def on_header(self, name, value):
        headers = self.exchange.headers
        headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data):
        self.size += len(data)
        if self.size > MAX_ANSWER_BYTES:
            raise ValueError("answer too large")
        self.exchange.body.append(data)

    def on_message_complete(self):
        # The parser forgets this once the message is complete.
        self.keep_alive = self.parser.should_keep_alive()
        # 1xx answers are interim: the final one follows on the same connection.
        if self.parser.get_status_code() >= 200:
            self.exchange.done = True
        else:
            self.exchange.headers.clear()


def _encode(addr, method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {addr}")
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


class HttpClient(BaseComponent):
    """Sends requests; results arrive at ``on_done(HttpResult)`` in the loop."""

    channel = "http_client"

    def __init__(self, loop, max_idle=64):
        super().__init__(channel="http_client")
        self._loop = loop
        self._poller = loop.poller
        self._idle = {}
        self._by_sock = {}
        self._max_idle = max_idle
        self.register(loop)

    def request(
        self,
        addr,
        method,
        path,
        on_done,
        *,
        headers=(),
        body=b"",
        timeout_s,
        send_by=math.inf,
    ):
        """Send one request to ``addr`` ("ip:port"). Always calls ``on_done`` once.

        Its first byte leaves before ``send_by`` (monotonic seconds) or not at all.
        """
        payload = _encode(addr, method, path, headers, body)
        exchange = _Exchange(payload, send_by, on_done)
        if self._loop.now() >= send_by:
            self._loop.call_soon(lambda: self._fail(exchange, "too_late"))
            return
        conn = self._take_idle(addr) or self._open(addr)
        if conn is None:
            self._loop.call_soon(lambda: self._fail(exchange, "connect_failed"))
            return
        conn.exchange = exchange
        exchange.timer = self._loop.call_later(
            timeout_s, lambda: self._close(conn, "timeout")
        )
        conn.out = exchange.payload
        if conn.connected:
            self._send(conn)

    def request_json(self, addr, method, path, on_done, *, value=None, **options):
        """Like ``request`` with a JSON body."""
        body = b"" if value is None else msgspec.json.encode(value)
        self.request(addr, method, path, on_done, body=body, **options)

    def close_idle(self, addr):
        """Drop idle connections to an address that is gone."""
        for conn in list(self._idle.pop(addr, ())):
            self._drop(conn)

    def _take_idle(self, addr):
        idle = self._idle.get(addr)
        return idle.pop() if idle else None

    def _open(self, addr):
        host, _, port = addr.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect((host, int(port)))
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            return None
        conn = _Connection(addr, sock)
        self._by_sock[sock] = conn
        self._poller.addWriter(self, sock)
        return conn

    @handler("_write")
    def _on_write(self, sock):
        conn = self._by_sock.get(sock)
        if conn is None:
            return
        if not conn.connected:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._close(conn, "connect_failed")
                return
            conn.connected = True
            self._poller.addReader(self, sock)
        self._send(conn)

    def _send(self, conn):
        exchange = conn.exchange
        # Read here, as the process may have been paused since the caller's decision.
        if not exchange.sent and self._loop.now() >= exchange.send_by:
            self._close(conn, "too_late")
            return
        try:
            count = conn.sock.send(conn.out) if conn.out else 0
        except BlockingIOError:
            count = 0
        except OSError:
            self._close(conn, "closed")
            return
        if count:
            exchange.sent = True
            conn.out = conn.out[count:]
        if conn.out:
            if not self._poller.isWriting(conn.sock):
                self._poller.addWriter(self, conn.sock)
        elif self._poller.isWriting(conn.sock):
            self._poller.removeWriter(conn.sock)

    @handler("_read")
    def _on_read(self, sock):
        conn = self._by_sock.get(sock)
        if conn is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data or conn.exchange is None:
            self._close(conn, "closed")
            return
        try:
            conn.parser.feed_data(data)
        except httptools.HttpParserError:
            if not conn.exchange.done:
                self._close(conn, "bad_answer")
                return
            # The next request must not get what follows a whole answer.
            conn.reusable = False
        if conn.exchange.done:
            self._finish(conn)

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        conn = self._by_sock.get(sock)
        if conn is not None:
            self._close(conn, "closed" if conn.connected else "connect_failed")

    def _finish(self, conn):
        exchange, conn.exchange = conn.exchange, None
        conn.size = 0
        status = conn.parser.get_status_code()
        idle = self._idle.setdefault(conn.addr, deque())
        whole = conn.reusable and conn.keep_alive and not conn.out
        if whole and len(idle) < self._max_idle:
            conn.parser = httptools.HttpResponseParser(conn)
            idle.append(conn)
        else:
            self._drop(conn)
        self._loop.cancel(exchange.timer)
        body = b"".join(exchange.body)
        exchange.on_done(HttpResult(status, exchange.headers, body, None, True))

    def _drop(self, conn):
        self._by_sock.pop(conn.sock, None)
        idle = self._idle.get(conn.addr)
        if idle and conn in idle:
            idle.remove(conn)
        if not idle:
            self._idle.pop(conn.addr, None)
        self._poller.discard(conn.sock)
        conn.sock.close()

    def _close(self, conn, error):
        exchange, conn.exchange = conn.exchange, None
        self._drop(conn)
        if exchange is not None:
            self._loop.cancel(exchange.timer)
            self._fail(exchange, error)

    def _fail(self, exchange, error):
        exchange.on_done(HttpResult(None, {}, b"", error, exchange.sent))
