"""Listening socket of an HTTP server, and the reads from its connections.

circuits accepts one connection in each iteration of the loop, and leaves the listening
socket readable, without a pause or a log line, once the process has no descriptors. It
reads from all connections before any of the data is handled.
"""

import errno
from socket import SO_RCVBUF, SOL_SOCKET

from circuits import handler
from circuits.net.sockets import TCPServer

from .log import get_logger
from .loop import DescriptorSet

__all__ = ["RECEIVE_BUFFER_BYTES", "Listener"]

log = get_logger("http_listener")

# Connections accepted in one iteration of the loop.
ACCEPT_BATCH = 32
# Bytes read from a connection at a time. Parsing them delays all other connections.
READ_BYTES = 16_384
# Bytes that the system keeps at most for a connection that is not read from. It takes
# twice the size that is asked for.
RECEIVE_BUFFER_BYTES = 65_536
# Accepting pauses for this long if the process can open no more descriptors.
PAUSE_S = 0.2
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener(TCPServer):
    """The TCP server of circuits, with sets instead of lists of sockets.

    ``on_data(sock, data)`` is called for what arrives. ``make_room()`` closes a
    connection and returns whether there was one to close.
    """

    def __init__(self, loop, bind, channel, on_data, make_room):
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2)
        self._clients = DescriptorSet()
        self._closeq = DescriptorSet()
        self._loop = loop
        self._on_data = on_data
        self._make_room = make_room
        self._pausing = False

    def _accept(self):
        for _ in range(ACCEPT_BATCH):
            if self._sock is None or not self._accept_one():
                return

    def _accept_one(self):
        """Accept a connection; return whether another one may be waiting."""
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return False
        except OSError as exc:
            if exc.errno not in NO_DESCRIPTORS:
                # The caller left, or a packet filter refused the connection.
                log("debug", "accept_failed", reason=str(exc))
                return True
            if self._make_room():
                return True
            log("warning", "accept_paused", reason=str(exc))
            self._pause()
            return False
        self._on_accept_done(sock)
        return True

    def _read(self, sock):
        if sock not in self._clients:
            return
        try:
            data = sock.recv(self._bufsize)
        except BlockingIOError:
            return
        except OSError as exc:
            log("debug", "read_failed", reason=str(exc))
            self._close(sock)
            return
        if data:
            self._on_data(sock, data)
        else:
            # The end of the input stays readable until the responses are sent.
            self._poller.removeReader(sock)
            self.close(sock)

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock):
        # circuits would make a buffer for a socket that was closed in this iteration.
        if sock in self._clients:
            super()._on_write(sock)

    def _close(self, sock):
        super()._close(sock)
        # circuits keeps a socket that was to be closed once its responses are sent.
        self._closeq.discard(sock)

    def _pause(self):
        if not self._pausing:
            self._pausing = True
            self._poller.removeReader(self._sock)
            self._loop.call_later(PAUSE_S, self._resume)

    def _resume(self):
        self._pausing = False
        if self._sock is not None:
            self._poller.addReader(self, self._sock)
