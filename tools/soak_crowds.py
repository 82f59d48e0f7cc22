"""Crowds of clients that do not behave, for the soak test.

Each crowd holds requests open on one node: bodies in very small chunks that lack their
end, headers that lack theirs, connections that send nothing, or requests whose
responses are not read. The nodes must stay within their memory, and the jobs of
ordinary callers must go on.
"""

import contextlib
import random
import socket

__all__ = ["Crowds", "send_next_crowd"]

INTERVAL_S = 1.0
HOLD_S = (1.0, 4.0)
POLL_S = 0.05
CONNECTIONS = 50
CHUNKS = 75_000
HEAD = b"POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def _small_chunks(number):
    return HEAD % number + CHUNKED + b"2\r\n  \r\n" * CHUNKS


def _many_fields(number):
    return HEAD % number + b"a:\r\n" * 90


def _nothing(number):
    return b""


def _unread(number):
    return b"GET /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\n\r\n" % number * 60


KINDS = (_small_chunks, _small_chunks, _many_fields, _nothing, _unread)


class Crowds:
    """The crowds of a seed, drawn apart from its other jobs and faults."""

    def __init__(self, seed):
        self.rng = random.Random(f"crowds {seed}")
        # [(socket, bytes that it is still to send)]
        self.open = []

    def close(self):
        """Close all connections."""
        for sock, _ in self.open:
            sock.close()
        self.open.clear()


def send_next_crowd(soak):
    """Open a crowd's connections to a node, and others at intervals."""
    crowds = soak.crowds
    crowds.close()
    if soak.is_load_over:
        return
    rng = crowds.rng
    node, make = rng.choice(soak.nodes), rng.choice(KINDS)
    soak.record_event(f"crowd of {make.__name__[1:]} on {node.name}")
    host, _, port = node.address.rpartition(":")
    for _ in range(CONNECTIONS):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((host, int(port)))
        crowds.open.append((sock, memoryview(make(rng.getrandbits(64)))))
    _send(soak)

    def end():
        soak.check_memory(node)
        crowds.close()

    soak.loop.call_later(rng.uniform(*HOLD_S), end)
    soak.loop.call_later(HOLD_S[1] + INTERVAL_S, lambda: send_next_crowd(soak))


def _send(soak):
    """Send what the sockets accept, until all is sent."""
    crowds = soak.crowds
    for number, (sock, rest) in enumerate(crowds.open):
        # The node may be down, or have closed the connection.
        with contextlib.suppress(OSError):
            crowds.open[number] = sock, rest[sock.send(rest) :]
    if any(rest for _, rest in crowds.open):
        soak.loop.call_later(POLL_S, lambda: _send(soak))
