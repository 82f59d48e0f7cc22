"""Crowds of clients that do not behave.

The sizes of the crowds are fixed. A crowd is bounded in connections, bytes and time; it
never reads a response.
"""

import itertools
import selectors
import socket
import time
from pathlib import Path
from typing import Any, NamedTuple

__all__ = [
    "CHUNKED",
    "CROWDS",
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "POLL_S",
    "Crowd",
    "Target",
    "chunks",
    "head",
    "legal_body",
    "parse_address",
    "send_crowds",
]

# Limits of a request, as in the configuration of the stand-in platform.
MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
# A crowd sends for at most SEND_S. It then stays until the process has read everything,
# or has read nothing for HOLD_S; for at most STAY_S.
SEND_S, HOLD_S, STAY_S = 20.0, 3.0, 10.0
POLL_S = 0.1
BLOCK = b" " * 65_536
ENDLESS_BLOCKS = 32


class Target(NamedTuple):
    """The program that a crowd calls; ``path(number)`` differs for each request."""

    address: str
    host: str
    path: Any
    body: bytes


class Crowd(NamedTuple):
    """``count`` connections; ``stream(target, number)`` yields the bytes of each."""

    count: int
    stream: Any


def head(target, number, *lines):
    """Return the header of a POST request with the given lines."""
    first = f"POST {target.path(number)} HTTP/1.1", f"Host: {target.host}"
    return "\r\n".join((*first, *lines, "", "")).encode("latin-1")


def chunk(data):
    """Return a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunks(body, step):
    """Return the chunks of ``body``, without the last empty one."""
    parts = (body[at : at + step] for at in range(0, len(body), step))
    return b"".join(map(chunk, parts))


CHUNKED = "Transfer-Encoding: chunked"
SHORT_BODY = b" " * (MAX_BODY_BYTES - 1)


def _chunked(step):
    data = chunks(SHORT_BODY, step)
    return lambda target, number: (head(target, number, CHUNKED), data)


def _one_short(target, number):
    return head(target, number, f"Content-Length: {MAX_BODY_BYTES}"), SHORT_BODY


def _endless(*lines, start=b"", block=BLOCK):
    """Return a stream of a header, ``start`` and many blocks."""

    def stream(target, number):
        blocks = itertools.repeat(block, ENDLESS_BLOCKS)
        return itertools.chain((head(target, number, *lines) + start,), blocks)

    return stream


def _empty_lines(target, number):
    return itertools.repeat(b"\r\n" * 32_768, ENDLESS_BLOCKS)


def _fields(lines):
    """Return a stream whose header has the given lines and whose body lacks a byte."""
    return lambda target, number: (
        head(target, number, *lines, "Content-Length: 10") + b" " * 9,
    )


# Lines of a header count with four bytes more than name and value; some room is for
# the request line, the host and the length.
FIELD_ROOM = MAX_HEADER_BYTES - 512
SHORT_LINES = [f"{n:03x}:" for n in range(FIELD_ROOM // 7)]
# One name, empty values, long names, and values that are not ASCII.
ODD_LINES = [
    *("same: x",) * (FIELD_ROOM // 8 // 9),
    *(f"e{n:03x}:" for n in range(FIELD_ROOM // 8 // 8)),
    *(f"{'l' * 200}{n:03x}: {'v' * 20}" for n in range(FIELD_ROOM // 8 // 227)),
    *(f"{n:03x}:\xfe\xff" for n in range(FIELD_ROOM * 5 // 8 // 9)),
]


def _pipelined(target, number):
    body = b" " * 4_096
    one = head(target, number, f"Content-Length: {len(body)}") + body
    return itertools.repeat(one * 16, 32)


def legal_body(target, size=MAX_BODY_BYTES):
    """Return a valid body of ``size`` bytes."""
    return target.body.ljust(size)


def _complete(target, number):
    body = legal_body(target)
    return head(target, number, f"Content-Length: {len(body)}"), body


# Crowds by kind: rounds one after another, each of crowds at the same time.
CHUNKS_OF_2 = Crowd(50, _chunked(2))
CHUNKS_OF_1 = Crowd(100, _chunked(1))
CHUNKS_OF_64K = Crowd(400, _chunked(65_536))
ONE_SHORT = Crowd(400, _one_short)
TOO_LONG = Crowd(500, _endless("Content-Length: 4000000000"))
TOO_LONG_CHUNKS = Crowd(300, _endless(CHUNKED, block=chunk(BLOCK)))
HUGE_CHUNK = Crowd(300, _endless(CHUNKED, start=b"80000000\r\n"))
SHORT_FIELDS = Crowd(500, _fields(SHORT_LINES))
ODD_FIELDS = Crowd(500, _fields(ODD_LINES))
EXTENSION = Crowd(500, _endless(CHUNKED, start=b"5;", block=b"a" * 65_536))
TRAILER_FIELD = Crowd(100, _endless(CHUNKED, start=b"0\r\na: ", block=b"a" * 65_536))
TRAILER_FIELDS = Crowd(500, _endless(CHUNKED, start=b"0\r\n", block=b"a:b\r\n" * 9_000))
EMPTY_LINES = Crowd(300, _empty_lines)
PIPELINED = Crowd(400, _pipelined)
COMPLETE = Crowd(400, _complete)
FIRST_BYTE = Crowd(1_000, lambda target, number: (b"P",))
CONNECTED = Crowd(1_000, lambda target, number: ())

CROWDS = {
    "chunks-of-2": [[CHUNKS_OF_2]],
    "chunks-of-1": [[CHUNKS_OF_1]],
    "chunks-of-64k": [[CHUNKS_OF_64K]],
    "one-byte-short": [[ONE_SHORT]],
    "too-long": [[TOO_LONG]],
    "too-long-chunks": [[TOO_LONG_CHUNKS]],
    "huge-chunk": [[HUGE_CHUNK]],
    "short-fields": [[SHORT_FIELDS]],
    "odd-fields": [[ODD_FIELDS]],
    "endless-extension": [[EXTENSION]],
    "endless-trailer-field": [[TRAILER_FIELD]],
    "endless-trailer-fields": [[TRAILER_FIELDS]],
    "empty-lines": [[EMPTY_LINES]],
    "pipelined": [[PIPELINED]],
    "complete-bodies": [[COMPLETE]],
    "first-byte": [[FIRST_BYTE]],
    "connected": [[CONNECTED]],
    "in-a-row": [
        [CHUNKS_OF_2._replace(count=20)],
        [TOO_LONG_CHUNKS._replace(count=100)],
        [SHORT_FIELDS],
        [FIRST_BYTE],
        [ONE_SHORT],
    ],
    "mixed": [
        [
            CHUNKS_OF_2._replace(count=20),
            ONE_SHORT._replace(count=100),
            HUGE_CHUNK._replace(count=50),
            ODD_FIELDS._replace(count=100),
            EXTENSION._replace(count=50),
            FIRST_BYTE._replace(count=600),
        ]
    ],
}


class _Client:
    """One connection of a crowd; ``rest`` has the bytes of the current part."""

    __slots__ = ("parts", "rest", "sock")

    def __init__(self, address, parts):
        self.parts = iter(parts)
        self.rest = memoryview(b"")
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)

    def send(self):
        """Send what the socket accepts; return whether more is to be sent."""
        try:
            if not self.rest:
                self.rest = memoryview(next(self.parts))
            self.rest = self.rest[self.sock.send(self.rest) :]
        except BlockingIOError:
            pass
        except (OSError, StopIteration):
            return False
        return True


def parse_address(address):
    """Return (host, port) of an address "ip:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def send_crowds(target, crowds, sample):
    """Send crowds at the same time and stay until the process has read them.

    ``sample()`` is called repeatedly while the crowds are there; they leave once it
    returns False.
    """
    address = parse_address(target.address)
    streams = (crowd.stream for crowd in crowds for _ in range(crowd.count))
    clients = [_Client(address, s(target, n)) for n, s in enumerate(streams)]
    _send(clients, sample)
    last, unread = time.monotonic() + STAY_S, None
    end = time.monotonic() + HOLD_S
    while sample() and time.monotonic() < min(end, last):
        before, unread = unread, _unread_bytes(address[1])
        if not unread:
            break
        if unread != before:
            end = time.monotonic() + HOLD_S
        time.sleep(POLL_S)
    for client in clients:
        client.sock.close()


def _send(clients, sample):
    """Send until all is sent or refused, for at most SEND_S."""
    end = time.monotonic() + SEND_S
    sample_at = 0.0
    with selectors.DefaultSelector() as selector:
        for client in clients:
            selector.register(client.sock, selectors.EVENT_WRITE, client)
        while selector.get_map() and time.monotonic() < end:
            for key, _ in selector.select(POLL_S):
                if not key.data.send():
                    selector.unregister(key.fileobj)
            if time.monotonic() > sample_at:
                if not sample():
                    return
                sample_at = time.monotonic() + POLL_S


def _unread_bytes(port):
    """Return the number of bytes and connections that a server has not taken yet."""
    lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    fields = (line.split() for line in lines)
    # Local address, remote address, state, then unsent and unread bytes; for a socket
    # that listens, the connections to accept are in the place of the unread bytes.
    return sum(
        int(f[4].split(":")[1], 16) for f in fields if f[1].endswith(f":{port:04X}")
    )
