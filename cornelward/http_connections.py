"""Connections of an HTTP server: what they hold, how they are refused and closed."""

import collections
import time
import weakref

from .errors import BAD_REQUEST, OVERLOADED
from .http_call import JSON, error_body
from .http_framing import RequestFramer
from .http_listener import RECEIVE_BUFFER_BYTES
from .http_memory import MIN_SHED_BYTES, NOTHING, Held, connection_to_replace
from .log import get_logger
from .verdicts import Verdict

__all__ = ["MAX_BUFFERED_BYTES", "Connection", "Connections"]

log = get_logger("http_server")

LINGER_S = 1.0
# Reading from a connection is paused while more complete requests than this wait.
MAX_WAITING_REQUESTS = 8
# Reading is also paused while the bodies of the waiting requests exceed this size, and
# the next request is not handled while more bytes of responses than this are unsent.
MAX_BUFFERED_BYTES = 262_144
RETRY_AFTER_S = 1
REASON_PHRASES = {400: "Bad Request", 408: "Request Timeout", 413: "Content Too Large"}
REASON_PHRASES |= {431: "Request Header Fields Too Large", 503: "Service Unavailable"}
# Why connections were given up, as the log says.
MEMORY, PLACES, UNREAD = "memory", "places", "responses_not_read"


class Connection:
    """State of one accepted connection.

    ``call`` is the request that is handled, ``call_bytes`` the memory that it takes.
    ``served`` counts the requests handled, ``unsent`` is (bytes of responses that the
    socket has not accepted, since when they have been as many). ``is_closing`` is True
    while further input is discarded.
    """

    __slots__ = (
        "call",
        "call_bytes",
        "close_after",
        "framer",
        "is_closing",
        "last_active_at",
        "owner",
        "paused",
        "served",
        "sock",
        "unsent",
    )

    def __init__(self, owner, sock, now):
        self.owner = owner
        self.sock = sock
        self.framer = RequestFramer(lambda: owner.limits, self._send_continue)
        self.call = None
        self.call_bytes = 0
        self.close_after = False
        self.is_closing = False
        self.last_active_at = now
        self.paused = False
        self.served = 0
        self.unsent = (0, now)

    def _send_continue(self):
        self.owner.send(self.sock, b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def is_busy(self):
        """Return whether a whole request has arrived that is not answered."""
        return self.call is not None or bool(self.framer.requests)

    @property
    def is_receiving(self):
        return self.framer.receiving

    def give_up(self):
        """Release what the connection holds of a request or of unread responses."""
        self.owner.give_up(self)


class Connections:
    """The connections of one server, by socket.

    ``server`` is the Listener, ``budget`` the MemoryBudget, ``limits`` the HttpLimits
    of further requests.
    """

    def __init__(self, server, limits, budget):
        self.by_sock = {}
        self.limits = limits
        self._server = server
        self.budget = budget
        # Number of connections given up since the last report, by reason.
        self._given_up = collections.Counter()

    def open(self, sock):
        """Add a connection; if there are too many, another or this one is closed."""
        limit = self.limits.max_connections
        if len(self.by_sock) >= limit and not self.make_room():
            self._given_up[PLACES] += 1
            self.reject(sock, 503, "too many connections", OVERLOADED)
            self.close(sock)
            return
        self.by_sock[sock] = Connection(self, sock, time.monotonic())

    def make_room(self):
        """Close the connection that needs its place least, at once.

        Returns whether there was one.
        """
        conns = self.by_sock.values()
        # A response that is being sent is cut off only if nothing else makes room.
        conn = connection_to_replace(
            [conn for conn in conns if not self.buffered(conn.sock)]
        ) or connection_to_replace(conns)
        if conn is None:
            return False
        self._given_up[PLACES] += 1
        if conn.is_receiving:
            self.reject(conn.sock, 503, "too many connections", OVERLOADED)
        self._drop(conn)
        return True

    def forget(self, sock):
        """Remove a connection that is closed, and tell its handler."""
        conn = self.by_sock.pop(sock, None)
        if conn is None:
            return
        call, budget = conn.call, self.budget
        if call is None:
            budget.set_held(conn, NOTHING)
            return
        # The handler keeps the connection's requests that wait, too.
        conn.framer.discard()
        # Its handler may go on, as the caller sends the request again.
        conn.call, size = None, conn.call_bytes
        budget.set_held(conn, Held(0, size + call.held_bytes))

        def hold(held):
            budget.set_held(conn, Held(0, size + held))
            budget.shed()

        call.on_held = hold
        call.on_released = lambda: budget.set_held(conn, NOTHING)
        # A handler may drop the call without a response.
        weakref.finalize(call, call.on_released).atexit = False
        call.closed = True
        if call.on_closed is not None:
            call.on_closed()

    def _drop(self, conn):
        """Close the connection without sending what is buffered."""
        self.forget(conn.sock)
        self._server._close(conn.sock)

    # Memory

    def account(self, conn):
        """Tell the budget what the connection holds; it may take from others."""
        if conn.sock not in self.by_sock:
            return
        taken = sum(framed.size for framed in conn.framer.requests)
        if conn.call is not None:
            taken += conn.call_bytes + conn.call.held_bytes
        loose = conn.framer.unfinished_bytes + self.buffered(conn.sock)
        if conn.paused:
            loose += RECEIVE_BUFFER_BYTES
        self.budget.set_held(conn, Held(loose, taken))
        self.budget.shed()

    def has_memory(self):
        """Return whether another request may be handled."""
        return not self.budget.is_exceeded()

    def reject_for_memory(self, conn):
        """Refuse the requests of a connection, as there is no memory for them."""
        self._given_up[MEMORY] += 1
        self.reject(conn.sock, 503, "the server is short of memory", OVERLOADED)

    def give_up(self, conn):
        """Release what a connection holds of a request or of unread responses."""
        is_unread = self.buffered(conn.sock) >= MIN_SHED_BYTES
        if conn.is_closing or conn.paused or is_unread:
            self._given_up[MEMORY] += 1
            self._drop(conn)
        elif not conn.is_receiving:
            # The caller has read its responses since the last account.
            self.account(conn)
        elif conn.is_busy:
            # The response to what came before announces that the connection closes.
            self._given_up[MEMORY] += 1
            conn.framer.drop_unfinished()
            conn.close_after = True
            self.account(conn)
        else:
            self.reject_for_memory(conn)

    # Input and output

    def pause_reading(self, conn):
        """Stop reading while many requests or large bodies wait; resume afterwards.

        While reading is paused, the server does not notice that the caller closes the
        connection.
        """
        requests = conn.framer.requests
        waiting = len(requests) > MAX_WAITING_REQUESTS or (
            sum(len(req.body) for req in requests) > MAX_BUFFERED_BYTES
        )
        if waiting == conn.paused or conn.sock not in self.by_sock:
            return
        if conn.sock.fileno() < 0:
            return
        conn.paused = waiting
        poller = self._server._poller
        if waiting:
            poller.removeReader(conn.sock)
        else:
            poller.addReader(self._server, conn.sock)

    def buffered(self, sock):
        """Return the number of response bytes that the socket has not accepted yet."""
        return sum(map(len, self._server._buffers.get(sock, ())))

    def send(self, sock, data):
        """Send the bytes that the socket accepts now; circuits sends the rest.

        Sending everything through an event would happen later, when the socket may
        already be closed: circuits then keeps the closed socket and its bytes forever.
        """
        server = self._server
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

    def reject(self, sock, status, message, code=BAD_REQUEST):
        """Send an error for a request that reached no handler; then close."""
        retry_s = RETRY_AFTER_S if code == OVERLOADED else 0
        body = error_body(
            code, message, Verdict.NOT_RUN, retry_after_ms=retry_s * 1_000 or None
        )
        retry = f"Retry-After: {retry_s}\r\n" if retry_s else ""
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Error')}\r\n"
            f"Content-Type: {JSON}\r\nContent-Length: {len(body)}\r\n"
            f"{retry}Connection: close\r\n\r\n"
        )
        self.send(sock, head.encode("ascii") + body)
        self.linger(sock)

    # Closing

    def close(self, sock):
        """Close the connection once the buffered bytes are sent."""
        if sock.fileno() >= 0:
            self._server.close(sock)

    def linger(self, sock):
        """Discard further input for ``LINGER_S``; ``close_late`` then closes.

        Closing a socket with unread input resets the connection, and the caller may
        lose a response that it has not read yet.
        """
        conn = self.by_sock.get(sock)
        if conn is None or sock.fileno() < 0:
            return
        conn.close_after = True
        conn.is_closing = True
        conn.framer.discard()
        conn.last_active_at = time.monotonic()
        self.pause_reading(conn)
        self.account(conn)

    def close_idle(self):
        """Close the connections on which no request is being received or handled."""
        for conn in list(self.by_sock.values()):
            if not conn.is_busy and not conn.is_receiving:
                conn.close_after = True
                self.close(conn.sock)

    def close_if_unread(self, conn, now):
        """Close the connection if its caller has long read nothing of a response."""
        size = self.buffered(conn.sock)
        if size != conn.unsent[0] or not size:
            if size != conn.unsent[0]:
                self.account(conn)
            conn.unsent = (size, now)
        elif now - conn.unsent[1] > self.limits.idle_timeout_s:
            self._given_up[UNREAD] += 1
            self._drop(conn)

    def close_if_late(self, conn, now):
        """Close a connection without a call that is idle, or late with a request."""
        limits, inactive_s = self.limits, now - conn.last_active_at
        if conn.is_closing:
            if inactive_s > LINGER_S:
                self.close(conn.sock)
        elif conn.is_receiving:
            limit_s = limits.receive_timeout_s
            if not conn.framer.has_header:
                limit_s = min(limit_s, limits.header_timeout_s)
            if inactive_s > limit_s:
                self.reject(conn.sock, 408, "the request was not received in time")
        elif inactive_s > limits.idle_timeout_s and not self.buffered(conn.sock):
            self.close(conn.sock)

    def report(self):
        """Log how many connections were given up since the last report."""
        if not self._given_up:
            return
        counts, self._given_up = dict(self._given_up), collections.Counter()
        log(
            "warning",
            "connections_given_up",
            **counts,
            open=len(self.by_sock),
            buffered_bytes=self.budget.used_bytes,
        )
