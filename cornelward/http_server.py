"""HTTP server: circuits.web behind a framing guard.

``HttpServer`` calls ``handle(call)`` for each whole request; the handler answers now or
later with ``call.answer``. Requests of one connection are handled one after another, so
answers leave in the order of the requests.
"""

import itertools
import time
import traceback
from http.cookies import SimpleCookie

from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from circuits.web import wrappers
from circuits.web.events import request
from circuits.web.headers import Headers
from circuits.web.http import HTTP

from .errors import INTERNAL, CornelwardError
from .http_call import JSON, Call, HttpLimits, error_body
from .http_framing import FramingError, RequestFramer
from .log import get_logger
from .loop import DescriptorSet
from .verdicts import Verdict

__all__ = ["JSON", "Call", "HttpLimits", "HttpServer", "error_body"]

log = get_logger("http_server")

_channel_numbers = itertools.count(1)
SWEEP_INTERVAL_S = 1.0
LINGER_S = 1.0
MAX_WAITING = 8
# Bodies of pipelined requests beyond this are left in the socket; answers that a caller
# does not read hold up its next request.
MAX_BUFFERED_BYTES = 262_144
CLOSE = ("Connection", "close")
REASONS = {400: "Bad Request", 408: "Request Timeout", 413: "Content Too Large"}
REASONS |= {431: "Request Header Fields Too Large", 503: "Service Unavailable"}


class _Connection:
    """State of one accepted connection."""

    __slots__ = ("call", "close_after", "framer", "lingering", "paused", "read_at")

    def __init__(self, framer, now):
        self.framer = framer
        self.call = None
        self.close_after = False
        self.lingering = False
        self.paused = False
        self.read_at = now


class _FramedRequest(wrappers.Request):
    """A request for a Response to refer to; the framer's request has the rest.

    circuits.web's own one parses an address, two URLs and cookies each time.
    """

    def __init__(self, sock, method, server):
        self.sock = sock
        self.method = method
        self.server = server
        self.headers = Headers()
        self.cookie = SimpleCookie()


class _GuardedHTTP(HTTP):
    """circuits.web's protocol component, fed only with whole requests.

    Handlers need ``override=True``: without it circuits also runs the one of the base
    class, and each request would be handled twice.
    """

    def __init__(self, server, handle, limits, channel):
        super().__init__(server, channel=channel)
        self.connections = {}
        self.draining = False
        self._handle = handle
        self._limits = limits

    @handler("connect")
    def _on_connect(self, sock, *peer):
        if len(self.connections) >= self._limits.max_connections:
            self._close(sock)
            return

        def send_continue():
            self._send(sock, b"HTTP/1.1 100 Continue\r\n\r\n")

        framer = RequestFramer(
            self._limits.max_header_bytes, self._limits.max_body_bytes, send_continue
        )
        self.connections[sock] = _Connection(framer, time.monotonic())

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock):
        conn = self.connections.pop(sock, None)
        if conn is not None and conn.call is not None:
            conn.call.closed = True
            if conn.call.on_closed is not None:
                conn.call.on_closed()

    @handler("read", override=True)
    def _on_read(self, sock, data):
        conn = self.connections.get(sock)
        if conn is None or conn.close_after:
            return
        if not conn.framer.receiving:
            conn.read_at = time.monotonic()
        try:
            conn.framer.feed(data)
        except FramingError as exc:
            conn.close_after = True
            if conn.call is None and not conn.framer.requests:
                self.reject(sock, exc.status, exc.message)
                return
            # Whole requests before the bad bytes are still answered.
        self._next(sock, conn)
        self._pause_reading(sock, conn)

    def _pause_reading(self, sock, conn):
        """Leave further bytes in the socket while much waits its turn.

        The end of the connection is not noticed meanwhile.
        """
        requests = conn.framer.requests
        waiting = len(requests) > MAX_WAITING or (
            sum(len(req.body) for req in requests) > MAX_BUFFERED_BYTES
        )
        if waiting == conn.paused or sock not in self.connections:
            return
        conn.paused = waiting
        server = self._server.server
        if waiting:
            server._poller.removeReader(sock)
        else:
            server._poller.addReader(server, sock)

    def _buffered(self, sock):
        """Return how many bytes wait until the caller reads its earlier answers."""
        return sum(map(len, self._server.server._buffers.get(sock, ())))

    def reject(self, sock, status, message):
        """Answer a request that never reached a handler, and close."""
        body = error_body("bad_request", message, Verdict.NOT_RUN)
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}\r\n"
            f"Content-Type: {JSON}\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self._send(sock, head.encode("ascii") + body)
        self._linger(sock)

    def _send(self, sock, data):
        """Send now what the socket takes; circuits sends the rest.

        An event would run later, when the socket may be closed: circuits then keeps
        the closed socket and its bytes for ever.
        """
        server = self._server.server
        if sock.fileno() < 0:
            return
        if not server._buffers.get(sock):
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                server._close(sock)
                return
        if data:
            server.write(sock, data)

    def _close(self, sock):
        """Close once the buffered bytes are sent."""
        if sock.fileno() >= 0:
            self._server.server.close(sock)

    def _linger(self, sock):
        """Discard what still arrives for a while, then close.

        Closing with unread bytes resets the connection, and the caller may lose the
        answer that it has not read yet.
        """
        conn = self.connections.get(sock)
        if conn is None or sock.fileno() < 0:
            return
        conn.close_after = True
        conn.lingering = True
        conn.framer.requests.clear()
        conn.framer.receiving = False
        conn.read_at = time.monotonic()
        self._pause_reading(sock, conn)

    def _next(self, sock, conn):
        if conn.call is not None or not conn.framer.requests:
            return
        if self._buffered(sock) > MAX_BUFFERED_BYTES:
            # The sweep goes on once the caller has read its answers.
            return
        framed = conn.framer.requests.pop(0)
        req = _FramedRequest(sock, framed.method, self._server)
        res = wrappers.Response(req)
        res.close = not framed.keep_alive

        def finish(status, body, content_type, headers):
            try:
                res.status = status
                res.body = body
                res.headers["Content-Type"] = content_type
                for name, value in headers:
                    res.headers[name] = value
                    # The handler may send the caller to another process.
                    res.close = res.close or (name, value) == CLOSE
                self._respond(res)
            except Exception as exc:
                # Without its answer the caller would wait for ever.
                log("error", "answer_failed", path=framed.path, exc=repr(exc))
                self._close(sock)

        conn.call = Call(framed, finish)
        event = request(req, res)
        # Nothing listens to the three events that would report its end.
        event.success = event.failure = event.complete = False
        self.fire(event)

    @handler("request")
    def _on_request(self, event, req, res):
        event.stop()
        conn = self.connections.get(req.sock)
        if conn is None or conn.call is None:
            return True
        call = conn.call
        try:
            self._handle(call)
        except CornelwardError as exc:
            call.refuse(exc)
        except Exception:
            where = traceback.format_exc(limit=-3)
            log("error", "handler_failed", path=call.request.path, traceback=where)
            body = error_body(INTERNAL, "internal error", Verdict.MAY_HAVE_RUN)
            call.answer(500, body)
        return True

    def _respond(self, res):
        sock = res.request.sock
        conn = self.connections.get(sock)
        if conn is None:
            return
        res.prepare()
        # A request behind malformed bytes never gets an answer, so say so at once.
        ending = self.draining or conn.close_after
        closing = res.close or (ending and not conn.framer.requests)
        if closing:
            res.headers["Connection"] = "close"
        body = b"" if res.request.method == "HEAD" else b"".join(res.body)
        self._send(sock, bytes(res) + bytes(res.headers) + body)
        res.done = True
        conn.call = None
        conn.read_at = time.monotonic()
        if closing and (conn.close_after or conn.framer.requests):
            self._linger(sock)
        elif closing:
            conn.close_after = True
            self._close(sock)
        else:
            self._next(sock, conn)
            self._pause_reading(sock, conn)

    @handler("exception", override=True)
    def _on_exception(self, *args, **kwargs):
        # circuits.web would send the traceback to the caller.
        log("error", "event_failed", exc=repr(args[1] if len(args) > 1 else args))

    def close_idle(self):
        """Close the connections on which no request has begun."""
        for sock, conn in list(self.connections.items()):
            if conn.call is None and not conn.framer.receiving:
                conn.close_after = True
                self._close(sock)

    def sweep(self, now):
        """Close idle connections and those that never finish a request."""
        for sock, conn in list(self.connections.items()):
            if conn.call is not None:
                continue
            if conn.framer.requests:
                self._next(sock, conn)
                self._pause_reading(sock, conn)
                continue
            self._sweep_silent(sock, conn, now - conn.read_at)

    def _sweep_silent(self, sock, conn, silent_s):
        if conn.lingering:
            if silent_s > LINGER_S:
                self._close(sock)
        elif conn.framer.receiving and silent_s > self._limits.receive_timeout_s:
            self.reject(sock, 408, "the request was not received in time")
        elif silent_s > self._limits.idle_timeout_s:
            self._close(sock)


class HttpServer(BaseComponent):
    """A server on ``bind`` (ip, port) that calls ``handle(call)``.

    Raises OSError if the address is in use.
    """

    display_banner = False
    secure = False

    def __init__(self, loop, bind, handle, limits=None):
        # Servers that share a loop would take each other's events from one channel.
        channel = f"web{next(_channel_numbers)}"
        super().__init__(channel=channel)
        self.server = TCPServer(bind, channel=channel, bufsize=65_536).register(self)
        self.server._clients = DescriptorSet()
        self.server._closeq = DescriptorSet()
        self.http = _GuardedHTTP(self, handle, limits or HttpLimits(), channel)
        self.http.register(self)
        self.register(loop)
        loop.call_every(SWEEP_INTERVAL_S, lambda: self.http.sweep(time.monotonic()))

    @property
    def host(self):
        return self.server.host

    @property
    def port(self):
        return self.server.port

    @property
    def address(self):
        """Return "ip:port" as bound."""
        return f"{self.host}:{self.port}"

    def start_draining(self):
        """Close each connection after its next answer; idle ones stay open."""
        self.http.draining = True

    def stop_accepting(self):
        """Close the listening socket and idle connections."""
        self.http.draining = True
        if self.server._sock is not None:
            self.server.close(self.server._sock)
        self.http.close_idle()

    def is_drained(self):
        """Return whether no request is being received or answered."""
        conns = self.http.connections
        if any(c.call is not None or c.framer.receiving for c in conns.values()):
            return False
        return not any(self.server._buffers.get(sock) for sock in conns)

    def open_calls(self):
        """Return how many requests wait for their answer."""
        return sum(c.call is not None for c in self.http.connections.values())

    @handler("error")
    def _on_error(self, *args):
        log("debug", "socket_error", exc=repr(args[-1]))
