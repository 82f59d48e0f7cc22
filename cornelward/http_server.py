"""HTTP server: circuits.web behind a request framer.

``HttpServer`` calls ``handle(call)`` for each complete request; the handler responds
immediately or later with ``call.answer``. Requests of one connection are handled one
after another, so responses are sent in the order of the requests.
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
# Reading from a connection is paused while more complete requests than this wait.
MAX_WAITING_REQUESTS = 8
# Reading is also paused while the bodies of the waiting requests exceed this size, and
# the next request is not handled while more bytes of responses than this are unsent.
MAX_BUFFERED_BYTES = 262_144
CLOSE_HEADER = ("Connection", "close")
REASON_PHRASES = {400: "Bad Request", 408: "Request Timeout", 413: "Content Too Large"}
REASON_PHRASES |= {431: "Request Header Fields Too Large", 503: "Service Unavailable"}


class _Connection:
    """State of one accepted connection."""

    __slots__ = (
        "call",
        "close_after",
        "framer",
        "last_active_at",
        "lingering",
        "paused",
    )

    def __init__(self, framer, now):
        self.framer = framer
        self.call = None
        self.close_after = False
        self.lingering = False
        self.paused = False
        self.last_active_at = now


class _FramedRequest(wrappers.Request):
    """The request that a circuits.web Response refers to, with the needed fields only.

    The Request class of circuits.web would parse an address, two URLs and cookies for
    each request. The content of the request is in the framer's HttpRequest.
    """

    def __init__(self, sock, method, server):
        self.sock = sock
        self.method = method
        self.server = server
        self.headers = Headers()
        self.cookie = SimpleCookie()


class _FramedHTTP(HTTP):
    """The HTTP component of circuits.web, which receives only complete requests.

    Handlers that replace one of the base class need ``override=True``: without it,
    circuits runs both, and each request would be handled twice.
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

        framer = RequestFramer(lambda: self._limits, send_continue)
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
            conn.last_active_at = time.monotonic()
        try:
            conn.framer.feed(data)
        except FramingError as exc:
            conn.close_after = True
            if conn.call is None and not conn.framer.requests:
                self.reject(sock, exc.status, exc.message)
                return
            # Complete requests before the malformed bytes are still handled.
        self._handle_next(sock, conn)
        self._pause_reading(sock, conn)

    def _pause_reading(self, sock, conn):
        """Stop reading while many requests or large bodies wait; resume afterwards.

        While reading is paused, the server does not notice that the caller closes the
        connection.
        """
        requests = conn.framer.requests
        waiting = len(requests) > MAX_WAITING_REQUESTS or (
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
        """Return the number of response bytes that the socket has not accepted yet."""
        return sum(map(len, self._server.server._buffers.get(sock, ())))

    def reject(self, sock, status, message):
        """Send an error for a request that reached no handler; then close."""
        body = error_body("bad_request", message, Verdict.NOT_RUN)
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Error')}\r\n"
            f"Content-Type: {JSON}\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self._send(sock, head.encode("ascii") + body)
        self._linger(sock)

    def _send(self, sock, data):
        """Send the bytes that the socket accepts now; circuits sends the rest.

        Sending everything through an event would happen later, when the socket may
        already be closed: circuits then keeps the closed socket and its bytes forever.
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
        """Close the connection once the buffered bytes are sent."""
        if sock.fileno() >= 0:
            self._server.server.close(sock)

    def _linger(self, sock):
        """Discard further input for ``LINGER_S``; ``sweep`` then closes the connection.

        Closing a socket with unread input resets the connection, and the caller may
        lose a response that it has not read yet.
        """
        conn = self.connections.get(sock)
        if conn is None or sock.fileno() < 0:
            return
        conn.close_after = True
        conn.lingering = True
        conn.framer.discard()
        conn.last_active_at = time.monotonic()
        self._pause_reading(sock, conn)

    def _handle_next(self, sock, conn):
        if conn.call is not None or not conn.framer.requests:
            return
        if self._buffered(sock) > MAX_BUFFERED_BYTES:
            # ``sweep`` retries this until the caller has read earlier responses.
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
                    # A handler may close the connection so that the caller reconnects
                    # to another process.
                    res.close = res.close or (name, value) == CLOSE_HEADER
                self._respond(res)
            except Exception as exc:
                # Without a response, the caller would wait forever.
                log("error", "answer_failed", path=framed.path, exc=repr(exc))
                self._close(sock)

        conn.call = Call(framed, finish)
        event = request(req, res)
        # No handler listens for the three events that report the end of a request.
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
            trace = traceback.format_exc(limit=-3)
            log("error", "handler_failed", path=call.request.path, traceback=trace)
            body = error_body(INTERNAL, "internal error", Verdict.MAY_HAVE_RUN)
            call.answer(500, body)
        return True

    def _respond(self, res):
        sock = res.request.sock
        conn = self.connections.get(sock)
        if conn is None:
            return
        res.prepare()
        # Requests after malformed bytes get no response. The response to the last
        # request before them therefore announces that the connection closes.
        close_when_done = self.draining or conn.close_after
        closing = res.close or (close_when_done and not conn.framer.requests)
        if closing:
            res.headers["Connection"] = "close"
        body = b"" if res.request.method == "HEAD" else b"".join(res.body)
        self._send(sock, bytes(res) + bytes(res.headers) + body)
        res.done = True
        conn.call = None
        conn.last_active_at = time.monotonic()
        if closing and (conn.close_after or conn.framer.requests):
            self._linger(sock)
        elif closing:
            conn.close_after = True
            self._close(sock)
        else:
            self._handle_next(sock, conn)
            self._pause_reading(sock, conn)

    @handler("exception", override=True)
    def _on_exception(self, *args, **kwargs):
        # circuits.web would send the traceback to the caller.
        log("error", "event_failed", exc=repr(args[1] if len(args) > 1 else args))

    def close_idle(self):
        """Close the connections on which no request is being received or handled."""
        for sock, conn in list(self.connections.items()):
            if conn.call is None and not conn.framer.receiving:
                conn.close_after = True
                self._close(sock)

    def sweep(self, now):
        """Close idle connections and those that do not complete a request in time.

        Also handle the next request of connections whose caller has read earlier
        responses.
        """
        for sock, conn in list(self.connections.items()):
            if conn.call is not None:
                continue
            if conn.framer.requests:
                self._handle_next(sock, conn)
                self._pause_reading(sock, conn)
                continue
            self._close_if_inactive(sock, conn, now - conn.last_active_at)

    def _close_if_inactive(self, sock, conn, inactive_s):
        if conn.lingering:
            if inactive_s > LINGER_S:
                self._close(sock)
        elif conn.framer.receiving and inactive_s > self._limits.receive_timeout_s:
            self.reject(sock, 408, "the request was not received in time")
        elif inactive_s > self._limits.idle_timeout_s:
            self._close(sock)


class HttpServer(BaseComponent):
    """A server on ``bind`` (ip, port) that calls ``handle(call)`` for each request.

    Raises OSError if the address is in use.
    """

    display_banner = False
    secure = False

    def __init__(self, loop, bind, handle, limits=None):
        # Servers on one loop would handle each other's events if they shared a channel.
        channel = f"web{next(_channel_numbers)}"
        super().__init__(channel=channel)
        self.server = TCPServer(bind, channel=channel, bufsize=65_536).register(self)
        self.server._clients = DescriptorSet()
        self.server._closeq = DescriptorSet()
        self.http = _FramedHTTP(self, handle, limits or HttpLimits(), channel)
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
        """Return the bound address as "ip:port"."""
        return f"{self.host}:{self.port}"

    def start_draining(self):
        """Close each connection after its next response; idle connections stay open."""
        self.http.draining = True

    def stop_accepting(self):
        """Close the listening socket and idle connections."""
        self.http.draining = True
        if self.server._sock is not None:
            self.server.close(self.server._sock)
        self.http.close_idle()

    def is_drained(self):
        """Return whether no request is being received or handled and all is sent."""
        conns = self.http.connections
        if any(c.call is not None or c.framer.receiving for c in conns.values()):
            return False
        return not any(self.server._buffers.get(sock) for sock in conns)

    def open_calls(self):
        """Return the number of requests that wait for their response."""
        return sum(c.call is not None for c in self.http.connections.values())

    @handler("error")
    def _on_error(self, *args):
        log("debug", "socket_error", exc=repr(args[-1]))
