"""Listening socket of an HTTP server, and the reads from its connections.

circuits reads from all connections before any of the data is handled.
"""

from circuits.net.sockets import TCPServer

from .log import get_logger
from .loop import DescriptorSet

__all__ = ["Listener"]

log = get_logger("http_listener")

# Bytes read from a connection at a time. Parsing them delays all other connections.
READ_BYTES = 16_384


class Listener(TCPServer):
    """The TCP server of circuits, with sets instead of lists of sockets.

    ``on_data(sock, data)`` is called for what arrives.
    """

    def __init__(self, bind, channel, on_data):
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._clients = DescriptorSet()
        self._closeq = DescriptorSet()
        self._on_data = on_data

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
            self.close(sock)

    def _close(self, sock):
        super()._close(sock)
        # circuits keeps a socket that was to be closed once its responses are sent.
        self._closeq.discard(sock)
