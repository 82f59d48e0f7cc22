"""Loopback proxy that disturbs the connections through it.

Not part of the product. ``delay_s`` holds back what is passed on, ``silent`` swallows
it in the directions named (``to_target``, ``to_caller``) without closing anything,
``refuses`` closes new connections, and ``reset`` cuts the open ones.
"""

import socket

from circuits import BaseComponent, handler

__all__ = ["TO_CALLER", "TO_TARGET", "Proxy"]

TO_TARGET, TO_CALLER = "to_target", "to_caller"
READ_BYTES = 65_536
BACKLOG = 128


class _Side:
    """One socket of a passed connection; ``direction`` is where its input goes."""

    __slots__ = ("direction", "due", "other", "out", "sock")

    def __init__(self, sock, direction):
        self.sock = sock
        self.direction = direction
        self.other = None
        self.out = b""
        # When the last bytes to this side are passed on: delays keep their order.
        self.due = 0.0


class Proxy(BaseComponent):
    """Passes connections to ``target`` ("ip:port") on; ``address`` is its own."""

    def __init__(self, loop, target):
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self._listener.setblocking(False)
        port = self._listener.getsockname()[1]
        super().__init__(channel=f"proxy-{port}")
        self.address = f"127.0.0.1:{port}"
        self.delay_s = 0.0
        self.dropped_directions = frozenset()
        self.refuse_connections = False
        self._loop = loop
        self._target = target
        self._sides = {}
        self.register(loop)
        loop.poller.addReader(self, self._listener)

    def clear_faults(self):
        """End all disturbance; connections that lost bytes are cut."""
        was_silent = bool(self.dropped_directions)
        self.delay_s, self.dropped_directions, self.refuse_connections = (
            0.0,
            frozenset(),
            False,
        )
        if was_silent:
            self.reset()

    def reset(self):
        """Cut all open connections."""
        for side in list(self._sides.values()):
            self._close(side)

    @handler("_read")
    def _on_read(self, sock):
        if sock is self._listener:
            self._accept()
            return
        side = self._sides.get(sock)
        if side is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(side)
        elif side.direction not in self.dropped_directions:
            self._pass_on(side.other, data)

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
        caller, target = _Side(sock, TO_TARGET), _Side(out, TO_CALLER)
        caller.other, target.other = target, caller
        for side in (caller, target):
            self._sides[side.sock] = side
            self._loop.poller.addReader(self, side.sock)

    def _pass_on(self, side, data):
        now = self._loop.now()
        due = max(side.due, now + self.delay_s)
        side.due = due
        if due <= now:
            self._send(side, data)
        else:
            self._loop.call_later(due - now, lambda: self._send(side, data))

    def _send(self, side, data=b""):
        if side.sock not in self._sides:
            return
        side.out += data
        try:
            side.out = side.out[side.sock.send(side.out) :]
        except BlockingIOError:
            pass
        except OSError:
            self._close(side)
            return
        waits = self._loop.poller.isWriting(side.sock)
        if side.out and not waits:
            self._loop.poller.addWriter(self, side.sock)
        elif not side.out and waits:
            self._loop.poller.removeWriter(side.sock)

    @handler("_write")
    def _on_write(self, sock):
        side = self._sides.get(sock)
        if side is not None:
            self._send(side)

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        side = self._sides.get(sock)
        if side is not None:
            self._close(side)

    def _close(self, side):
        for item in (side, side.other):
            if self._sides.pop(item.sock, None) is not None:
                self._loop.poller.discard(item.sock)
                item.sock.close()
