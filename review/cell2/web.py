"""A small HTTP/1.1 server and client on asyncio, for stand-ins on loopback."""

import asyncio
import json
from urllib.parse import parse_qs

__all__ = ["LOST", "RESET", "Server", "call"]

# What a handler returns to leave a request unanswered, or to reset its connection.
LOST, RESET = "lost", "reset"
MAX_BODY_BYTES = 4_000_000


class Request:
    """One request; ``query`` maps names to their first value."""

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        pairs = parse_qs(query, keep_blank_values=True)
        self.query = {name: values[0] for name, values in pairs.items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def _read_head(reader):
    first = (await reader.readline()).decode("latin-1").split()
    headers = {}
    while first:
        line = (await reader.readline()).decode("latin-1")
        if line in ("\r\n", ""):
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = min(int(headers.get("content-length", "0")), MAX_BODY_BYTES)
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class Server:
    """Passes requests to ``handle``, a coroutine function.

    It returns (status, object for the JSON body), LOST or RESET.
    """

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def reset_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers, body = await _read_head(reader)
        if len(first) < 3:
            return False
        answer = await self._handle(Request(first[0], first[1], headers, body))
        if answer == RESET:
            writer.transport.abort()
            return False
        if answer == LOST:
            # A connection on which an answer is lost delivers nothing further.
            while await reader.read(65_536):
                pass
            return False
        status, value = answer
        data = json.dumps(value).encode()
        head = (
            f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        writer.write(head.encode() + data)
        await writer.drain()
        return True


async def _exchange(address, method, path, value, headers):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
        named = {"Host": address, **headers}
        lines += [f"{name}: {text}" for name, text in named.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        first, _, body = await _read_head(reader)
        if len(first) < 2:
            return None
        return int(first[1]), json.loads(body) if body else {}
    finally:
        writer.close()


async def call(address, method, path, value=None, headers=None, timeout_s=3.0):
    """Return (status, decoded body) of one request, or None without an answer."""
    try:
        return await asyncio.wait_for(
            _exchange(address, method, path, value, headers or {}), timeout_s
        )
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        return None
