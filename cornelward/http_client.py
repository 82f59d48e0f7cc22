"""HTTP/1.1 client on the circuits event loop; httptools parses the responses.

Idle connections are kept open and pooled by address. This module never sends a request
twice: the code that uses it decides on retries, as only that code knows the verdict.
"""

import math
import socket
from collections import deque
from typing import NamedTuple

import httptools
import msgspec
from circuits import BaseComponent, handler

from .log import get_logger

__all__ = ["HttpClient", "HttpResult"]

log = get_logger("http_client")

READ_BYTES = 65_536
# Limits the memory that one response of an upstream can take in this process.
MAX_RESPONSE_BYTES = 16_777_216
MAX_REASON_CHARS = 200


class HttpResult(NamedTuple):
    """Outcome of one request.

    ``status`` is None if no complete response arrived; ``error`` is then one of
    ``connect_failed``, ``closed``, ``timeout``, ``bad_answer`` (malformed or too
    large), ``too_late`` (not sent before ``send_by``), ``abandoned`` (``abandon``) and
    ``invalid`` (address, header or body cannot be sent).
    ``sent`` is True if the operating system accepted at least one byte of the request.
    ``received`` is the number of body bytes that arrived, also without a response.
    """

    status: int | None
    headers: dict
    body: bytes
    error: str | None
    sent: bool
    received: int = 0

    def json(self):
        """Return the decoded body, or None if it is invalid or too deeply nested."""
        try:
            return msgspec.json.decode(self.body)
        except (msgspec.DecodeError, RecursionError):
            return None


class _Exchange:
    """One request and its response."""

    __slots__ = (
        "begun_at",
        "body",
        "conn",
        "done",
        "headers",
        "heard_at",
        "on_done",
        "on_progress",
        "payload",
        "send_by",
        "sent",
        "stall_s",
        "timer",
    )

    def __init__(self, payload, send_by, begun_at, on_done):
        self.begun_at = begun_at
        self.payload = payload
        self.send_by = send_by
        self.on_done = on_done
        self.headers = {}
        self.body = []
        self.sent = False
        self.done = False
        self.timer = None
        self.conn = None
        # When bytes of the response arrived last.
        self.heard_at = None
        self.stall_s = self.on_progress = None


class _Connection:
    """One client socket; ``exchange`` is None while the connection is idle."""

    __slots__ = (
        "addr",
        "body_bytes",
        "connected",
        "exchange",
        "idle_since",
        "keep_alive",
        "parser",
        "reusable",
        "send_buffer",
        "sock",
    )

    def __init__(self, addr, sock):
        self.addr = addr
        self.sock = sock
        self.connected = False
        self.reusable = True
        self.keep_alive = False
        self.exchange = None
        self.idle_since = 0.0
        self.send_buffer = b""
        self.body_bytes = 0
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self):
        if self.exchange.done:
            raise ValueError("bytes received after the end of the response")

    def on_header(self, name, value):
        headers = self.exchange.headers
        headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data):
        self.body_bytes += len(data)
        if self.body_bytes > MAX_RESPONSE_BYTES:
            raise ValueError("the response body is larger than MAX_RESPONSE_BYTES")
        self.exchange.body.append(data)

    def on_message_complete(self):
        # Read here, as the parser resets this value once the message is complete.
        self.keep_alive = self.parser.should_keep_alive()
        # 1xx responses are interim: the final one follows on the same connection.
        if self.parser.get_status_code() >= 200:
            self.exchange.done = True
        else:
            self.exchange.headers.clear()


def _encode(addr, method, path, headers, body):
    """Return the bytes of a request; raises ValueError if there are none."""
    lines = [f"{method} {path} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {addr}")
    lines += [f"{name}: {value}" for name, value in headers]
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError("a line break in a header")
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


class HttpClient(BaseComponent):
    """Sends requests and passes each result to ``on_done(HttpResult)`` in the loop."""

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
        stall_s=None,
        on_progress=None,
    ):
        """Send one request to ``addr`` ("ip:port"); ``on_done`` is called exactly once.

        ``headers`` are (name, value) pairs. The first byte is sent before ``send_by``
        (monotonic seconds), or nothing is sent. With ``stall_s``, a response of any
        size may take longer than ``timeout_s`` as long as no pause between its bytes
        lasts longer than that. ``on_progress()`` is called whenever bytes of the
        response arrive. Returns a handle for ``abandon``.
        """
        now = self._loop.now()
        exchange = _Exchange(b"", send_by, now, on_done)
        exchange.stall_s, exchange.on_progress = stall_s, on_progress
        if now >= send_by:
            self._loop.call_soon(lambda: self._fail(exchange, "too_late"))
            return exchange
        try:
            exchange.payload = _encode(addr, method, path, headers, body)
            conn = self._take_idle(addr) or self._open(addr)
        except (OverflowError, TypeError, ValueError) as exc:
            return self._refuse(exchange, exc)
        if conn is None:
            self._loop.call_soon(lambda: self._fail(exchange, "connect_failed"))
            return exchange
        conn.exchange = exchange
        exchange.conn = conn
        self._limit(conn, exchange, timeout_s)
        conn.send_buffer = exchange.payload
        if conn.connected:
            self._send(conn)
        return exchange

    def _limit(self, conn, exchange, wait_s):
        """End the exchange after ``wait_s``, unless its response arrives by then."""

        def check():
            if exchange.stall_s is not None and exchange.heard_at is not None:
                left_s = exchange.heard_at + exchange.stall_s - self._loop.now()
                if left_s > 0:
                    self._limit(conn, exchange, left_s)
                    return
            self._close(conn, "timeout")

        exchange.timer = self._loop.call_later(wait_s, check)

    def abandon(self, exchange):
        """Close the connection of a request that waits, and end it as ``abandoned``.

        Connections that have shown no answer since it began are closed, too: what made
        that one silent may have affected them.
        """
        conn = exchange.conn
        if conn is not None and conn.exchange is exchange:
            self.close_idle(conn.addr, exchange.begun_at)
            self._close(conn, "abandoned")

    def request_json(self, addr, method, path, on_done, *, value=None, **options):
        """Send ``value`` as a JSON body, or no body if it is None; see ``request``."""
        try:
            body = b"" if value is None else msgspec.json.encode(value)
        except (OverflowError, RecursionError, TypeError, ValueError) as exc:
            exchange = _Exchange(b"", math.inf, self._loop.now(), on_done)
            self._refuse(exchange, exc)
            return
        self.request(addr, method, path, on_done, body=body, **options)

    def _refuse(self, exchange, exc):
        """End a request that cannot be sent; returns its exchange."""
        log("error", "request_invalid", reason=repr(exc)[:MAX_REASON_CHARS])
        self._loop.call_soon(lambda: self._fail(exchange, "invalid"))
        return exchange

    def close_idle(self, addr, before=math.inf):
        """Close the connections to an address that have been idle since ``before``."""
        for conn in list(self._idle.get(addr, ())):
            if conn.idle_since <= before:
                self._drop(conn)

    def close_unused(self, unused_s):
        """Close the connections that have been idle for at least ``unused_s``."""
        before = self._loop.now() - unused_s
        for idle in list(self._idle.values()):
            for conn in [conn for conn in idle if conn.idle_since <= before]:
                self._drop(conn)

    def _take_idle(self, addr):
        idle = self._idle.get(addr)
        return idle.pop() if idle else None

    def _open(self, addr):
        """Return a connection that is being opened, or None if that fails at once.

        Raises OverflowError, TypeError or ValueError if the address is malformed.
        """
        host, _, port = addr.rpartition(":")
        target = host, int(port)
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            # Without a result, what asked would wait for ever.
            log("error", "no_socket", address=addr, reason=exc.strerror)
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect(target)
        except BlockingIOError:
            pass
        except OSError:
            sock.close()
            return None
        except Exception:
            sock.close()
            raise
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
        # The clock is read just before sending, as the process may have been paused
        # since the caller decided to send.
        if not exchange.sent and self._loop.now() >= exchange.send_by:
            self._close(conn, "too_late")
            return
        try:
            count = conn.sock.send(conn.send_buffer) if conn.send_buffer else 0
        except BlockingIOError:
            count = 0
        except OSError:
            self._close(conn, "closed")
            return
        if count:
            exchange.sent = True
            conn.send_buffer = conn.send_buffer[count:]
        if conn.send_buffer:
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
        conn.exchange.heard_at = self._loop.now()
        if conn.exchange.on_progress is not None:
            conn.exchange.on_progress()
        try:
            conn.parser.feed_data(data)
        except httptools.HttpParserError:
            if not conn.exchange.done:
                self._close(conn, "bad_answer")
                return
            # Bytes that follow a complete response must not be taken for the response
            # to the next request, so the connection is not reused.
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
        received, conn.body_bytes = conn.body_bytes, 0
        status = conn.parser.get_status_code()
        idle = self._idle.setdefault(conn.addr, deque())
        can_reuse = conn.reusable and conn.keep_alive and not conn.send_buffer
        if can_reuse and len(idle) < self._max_idle:
            conn.parser = httptools.HttpResponseParser(conn)
            conn.idle_since = self._loop.now()
            idle.append(conn)
        else:
            self._drop(conn)
        self._loop.cancel(exchange.timer)
        body = b"".join(exchange.body)
        exchange.on_done(
            HttpResult(status, exchange.headers, body, None, True, received)
        )

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
            self._fail(exchange, error, conn.body_bytes)

    def _fail(self, exchange, error, received=0):
        exchange.on_done(HttpResult(None, {}, b"", error, exchange.sent, received))
