"""Loopback TCP proxy that injects faults into the connections through it.

Used only by tests and tools. ``delay_s`` delays forwarded bytes, ``dropped_directions``
(``to_target``, ``to_caller``) names the directions whose bytes are discarded while the
connections stay open, ``refuse_connections`` closes each new connection on accept,
``reset()`` closes the open ones, and ``silence(direction)`` discards their bytes in one
direction for good, while new connections work. With ``bytes_per_s`` all connections
share a link of that capacity toward the caller.
"""

import socket

from circuits import BaseComponent, handler

__all__ = ["TO_CALLER", "TO_TARGET", "Proxy"]

TO_TARGET, TO_CALLER = "to_target", "to_caller"
READ_BYTES = 65_536
# Bytes of one connection that the link takes at once if its capacity is limited.
LINK_BYTES = 16_384
BACKLOG = 128


class _Endpoint:
    """One of the two sockets of a proxied connection.

    ``direction`` says where the bytes read from it are forwarded.
    """

    __slots__ = ("direction", "is_silent", "last_due_s", "peer", "sock", "unsent")

    def __init__(self, sock, direction):
        self.sock = sock
        self.direction = direction
        self.is_silent = False
        self.peer = None
        self.unsent = b""
        # When the latest bytes for this socket are sent. Later bytes are not sent
        # before that time, so that a change of the delay does not reorder them.
        self.last_due_s = 0.0


class Proxy(BaseComponent):
    """Forwards connections made to ``address`` to ``target``, both "ip:port"."""

    def __init__(self, loop, target):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._listener.setblocking(False)
        port = self._listener.getsockname()[1]
        super().__init__(channel=f"proxy-{port}")
        self.address = f"127.0.0.1:{port}"
        self.delay_s = 0.0
        self.dropped_directions = frozenset()
        self.refuse_connections = False
        self.bytes_per_s = None
        # When the link has transmitted what it was given.
        self._link_free_at = 0.0
        self._loop = loop
        self._target = target
        self._endpoints = {}
        self.register(loop)
        loop.poller.addReader(self, self._listener)

    def clear_faults(self):
        """End all faults; if bytes were being dropped, close the open connections."""
        was_dropping = bool(self.dropped_directions)
        self.delay_s, self.dropped_directions, self.refuse_connections = (
            0.0,
            frozenset(),
            False,
        )
        if was_dropping:
            self.reset()

    def reset(self):
        """Close all open connections."""
        for endpoint in list(self._endpoints.values()):
            self._close(endpoint)

    def silence(self, direction):
        """Discard what the open connections transmit in a direction from now on."""
        for endpoint in self._endpoints.values():
            if endpoint.direction == direction:
                endpoint.is_silent = True

    @handler("_read")
    def _on_read(self, sock):
        if sock is self._listener:
            self._accept()
            return
        endpoint = self._endpoints.get(sock)
        if endpoint is None:
            return
        limited = self.bytes_per_s is not None and endpoint.direction == TO_CALLER
        try:
            data = sock.recv(LINK_BYTES if limited else READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(endpoint)
        elif limited:
            self._transmit(endpoint, data)
        elif not (endpoint.is_silent or endpoint.direction in self.dropped_directions):
            self._pass_on(endpoint.peer, data)

    def _accept(self):
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if self.refuse_connections:
            sock.close()
            return
        host, _, port = self._target.rpartition(":")
        out = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for item in (sock, out):
            item.setblocking(False)
            item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        out.connect_ex((host, int(port)))
        caller, target = _Endpoint(sock, TO_TARGET), _Endpoint(out, TO_CALLER)
        caller.peer, target.peer = target, caller
        for endpoint in (caller, target):
            self._endpoints[endpoint.sock] = endpoint
            self._loop.poller.addReader(self, endpoint.sock)

    def _transmit(self, endpoint, data):
        """Pass bytes on at the capacity of the link; read no more of them meanwhile."""
        now = self._loop.now()
        self._link_free_at = max(self._link_free_at, now) + len(data) / self.bytes_per_s
        self._loop.poller.removeReader(endpoint.sock)

        def done():
            if endpoint.sock in self._endpoints:
                self._loop.poller.addReader(self, endpoint.sock)
                self._send(endpoint.peer, data)

        self._loop.call_later(self._link_free_at - now, done)

    def _pass_on(self, endpoint, data):
        now = self._loop.now()
        due = max(endpoint.last_due_s, now + self.delay_s)
        endpoint.last_due_s = due
        if due <= now:
            self._send(endpoint, data)
        else:
            self._loop.call_later(due - now, lambda: self._send(endpoint, data))

    def _send(self, endpoint, data=b""):
        if endpoint.sock not in self._endpoints:
            return
        endpoint.unsent += data
        try:
            endpoint.unsent = endpoint.unsent[endpoint.sock.send(endpoint.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self._close(endpoint)
            return
        waits = self._loop.poller.isWriting(endpoint.sock)
        if endpoint.unsent and not waits:
            self._loop.poller.addWriter(self, endpoint.sock)
        elif not endpoint.unsent and waits:
            self._loop.poller.removeWriter(endpoint.sock)

    @handler("_write")
    def _on_write(self, sock):
        endpoint = self._endpoints.get(sock)
        if endpoint is not None:
            self._send(endpoint)

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        endpoint = self._endpoints.get(sock)
        if endpoint is not None:
            self._close(endpoint)

    def _close(self, endpoint):
        for item in (endpoint, endpoint.peer):
            if self._endpoints.pop(item.sock, None) is not None:
                self._loop.poller.discard(item.sock)
                item.sock.close()
