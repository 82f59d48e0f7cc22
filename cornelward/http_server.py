"""HTTP server: circuits.web behind a request framer.

``HttpServer`` calls ``handle(call)`` for each complete request; the handler responds
immediately or later with ``call.answer``. Requests of one connection are handled one
after another, so responses are sent in the order of the requests.
"""

import itertools
import time
import traceback
from http.cookies import SimpleCookie

import msgspec
from circuits import BaseComponent, handler
from circuits.web import wrappers
from circuits.web.events import request
from circuits.web.headers import Headers
from circuits.web.http import HTTP

from .errors import INTERNAL, CornelwardError
from .http_call import JSON, Call, HttpLimits, error_body
from .http_connections import MAX_BUFFERED_BYTES, Connections
from .http_framing import FramingError
from .http_listener import Listener
from .http_memory import MemoryBudget, least_buffered_bytes
from .log import get_logger
from .verdicts import Verdict

__all__ = ["JSON", "Call", "HttpLimits", "HttpServer", "error_body"]

log = get_logger("http_server")

_channel_numbers = itertools.count(1)
SWEEP_INTERVAL_S = 1.0
CLOSE_HEADER = ("Connection", "close")
# Characters of a path that a log line shows.
MAX_PATH_CHARS = 100


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

    def __init__(self, server, handle, conns, channel):
        super().__init__(server, channel=channel)
        self.conns = conns
        self.draining = False
        self._handle = handle

    @handler("connect")
    def _on_connect(self, sock, *peer):
        self.conns.open(sock)

    @handler("disconnect", override=True)
    def _on_disconnect(self, sock):
        self.conns.forget(sock)

    def on_data(self, sock, data):
        """Handle the bytes that have arrived on a connection."""
        conns, conn = self.conns, self.conns.by_sock.get(sock)
        if conn is None or conn.close_after:
            return
        framer, was_receiving = conn.framer, conn.is_receiving
        try:
            framer.feed(data)
        except FramingError as exc:
            conn.close_after = True
            if not conn.is_busy:
                conns.reject(sock, exc.status, exc.message)
                return
            # Complete requests before the malformed bytes are still handled.
            framer.drop_unfinished()
        if framer.requests or (framer.receiving and not was_receiving):
            # Bytes that begin no request do not keep the connection open.
            conn.last_active_at = time.monotonic()
        self._handle_next(conn)
        conns.pause_reading(conn)
        conns.account(conn)

    def _handle_next(self, conn):
        if conn.call is not None or not conn.framer.requests:
            return
        if self.conns.buffered(conn.sock) > MAX_BUFFERED_BYTES:
            # ``sweep`` retries this until the caller has read earlier responses.
            return
        if not self.conns.has_memory():
            self.conns.reject_for_memory(conn)
            return
        framed = conn.framer.requests.pop(0)
        conn.served += 1
        conn.call_bytes = framed.size
        req = _FramedRequest(conn.sock, framed.method, self._server)
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
                path = framed.path[:MAX_PATH_CHARS]
                log("error", "answer_failed", path=path, exc=repr(exc))
                self.conns.close(conn.sock)

        conn.call = Call(framed, finish)
        conn.call.on_held = lambda held: self.conns.account(conn)
        event = request(req, res)
        # No handler listens for the three events that report the end of a request.
        event.success = event.failure = event.complete = False
        self.fire(event)

    @handler("request")
    def _on_request(self, event, req, res):
        event.stop()
        conn = self.conns.by_sock.get(req.sock)
        if conn is None or conn.call is None:
            return True
        call = conn.call
        try:
            self._handle(call)
        except CornelwardError as exc:
            call.refuse(exc)
        except Exception:
            trace = traceback.format_exc(limit=-3)
            path = call.request.path[:MAX_PATH_CHARS]
            log("error", "handler_failed", path=path, traceback=trace)
            body = error_body(INTERNAL, "internal error", Verdict.MAY_HAVE_RUN)
            call.answer(500, body)
        self.conns.account(conn)
        return True

    def _respond(self, res):
        sock, conns = res.request.sock, self.conns
        conn = conns.by_sock.get(sock)
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
        conns.send(sock, bytes(res) + bytes(res.headers) + body)
        res.done = True
        conn.call = None
        conn.last_active_at = time.monotonic()
        if closing and (conn.close_after or conn.framer.requests):
            conns.linger(sock)
        elif closing:
            conn.close_after = True
            conns.close(sock)
        else:
            self._handle_next(conn)
            conns.pause_reading(conn)
        conns.account(conn)

    @handler("exception", override=True)
    def _on_exception(self, *args, **kwargs):
        # circuits.web would send the traceback to the caller.
        log("error", "event_failed", exc=repr(args[1] if len(args) > 1 else args))

    def sweep(self, now):
        """Close idle connections and those that do not complete a request in time.

        Also handle the next request of connections whose caller has read earlier
        responses, and close those whose caller reads none.
        """
        conns = self.conns
        for conn in list(conns.by_sock.values()):
            conns.close_if_unread(conn, now)
            if conn.call is not None:
                continue
            if conn.framer.requests:
                self._handle_next(conn)
                conns.pause_reading(conn)
                conns.account(conn)
            else:
                conns.close_if_late(conn, now)
        conns.report()


class HttpServer(BaseComponent):
    """A server on ``bind`` (ip, port) that calls ``handle(call)`` for each request.

    Servers of a process may share a MemoryBudget. Raises OSError if the address is in
    use.
    """

    display_banner = False
    secure = False

    def __init__(self, loop, bind, handle, limits=None, budget=None):
        # Servers on one loop would handle each other's events if they shared a channel.
        channel = f"web{next(_channel_numbers)}"
        super().__init__(channel=channel)
        self.server = Listener(
            loop,
            bind,
            channel,
            lambda sock, data: self.http.on_data(sock, data),
            lambda: self.conns.make_room(),
        )
        self.server.register(self)
        self.conns = Connections(
            self.server, limits or HttpLimits(), budget or MemoryBudget()
        )
        self.http = _FramedHTTP(self, handle, self.conns, channel)
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

    def set_limits(self, limits):
        """Set the HttpLimits of further requests; ``max_connections`` stays.

        The budget grows if it has no room for one of the largest bodies.
        """
        budget = self.conns.budget
        least = least_buffered_bytes(limits.max_body_bytes)
        budget.max_bytes = max(budget.max_bytes, least)
        self.conns.limits = msgspec.structs.replace(
            limits, max_connections=self.conns.limits.max_connections
        )

    def start_draining(self):
        """Close each connection after its next response; idle connections stay open."""
        self.http.draining = True

    def stop_accepting(self):
        """Close the listening socket and idle connections."""
        self.http.draining = True
        if self.server._sock is not None:
            self.server.close(self.server._sock)
        self.conns.close_idle()

    def is_drained(self):
        """Return whether no request is being received or handled and all is sent."""
        conns = self.conns.by_sock
        if any(c.is_busy or c.is_receiving for c in conns.values()):
            return False
        return not any(self.server._buffers.get(sock) for sock in conns)

    def open_connections(self):
        """Return the number of open connections."""
        return len(self.conns.by_sock)

    def buffered_bytes(self):
        """Return the memory in bytes that connections take, of the shared budget."""
        return self.conns.budget.used_bytes

    def open_calls(self):
        """Return the number of requests that wait for their response."""
        return sum(c.call is not None for c in self.conns.by_sock.values())

    @handler("error")
    def _on_error(self, *args):
        log("debug", "socket_error", exc=repr(args[-1]))
