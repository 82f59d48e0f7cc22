"""Small HTTP/1.1 server and client for the stand-ins, on asyncio."""

import asyncio
import contextlib
import json
import random
import socket

__all__ = ["DROP", "SILENT", "Server", "call", "free_ports"]

# Results of a handler beside (status, body): close the connection, or never answer.
DROP, SILENT = "drop", "silent"


# Blocks of ports below the range of outgoing connections, so that none takes the port
# of a server that is down for a while. The first port of its block is bound by each
# process that uses it.
FIRST_PORT, BLOCK_PORTS, BLOCKS = 12_000, 200, 100
_block = []


def _bind(port):
    """Return a socket bound to a loopback port, or None if that is in use."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(("127.0.0.1", port))
        sock.listen()
    except OSError:
        sock.close()
        return None
    return sock


def _take_block():
    for number in random.sample(range(BLOCKS), BLOCKS):
        first = FIRST_PORT + BLOCK_PORTS * number
        lock = _bind(first)
        if lock is not None:
            _block.extend([lock, iter(range(first + 1, first + BLOCK_PORTS))])
            return
    raise OSError("no free ports")


def free_ports(count):
    """Return free loopback ports; none is returned twice."""
    if not _block:
        _take_block()
    found = []
    for port in _block[1]:
        sock = _bind(port)
        if sock is not None:
            sock.close()
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


class Server:
    """Serves ``handle(method, target, headers, body)`` on a loopback port.

    The handler is a coroutine; it returns (status, value), DROP or SILENT. The server
    can be closed like a process that is killed, and opened again at its port.
    """

    def __init__(self, handle):
        self.handle = handle
        (self.port,) = free_ports(1)
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def kill(self):
        """Close the listening socket and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def reset(self):
        """Reset the open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                result = await self.handle(*request)
                if result == DROP:
                    return
                if result == SILENT:
                    # Nothing more arrives on this connection.
                    await reader.read()
                    return
                status, value = result
                body = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The loop ends.
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.transport.abort()


async def _read_head(reader):
    lines = []
    while True:
        line = await reader.readline()
        if not line:
            return None
        line = line.decode("latin-1").strip()
        if not line:
            if lines:
                break
            continue
        lines.append(line)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def _read_request(reader):
    head = await _read_head(reader)
    if head is None:
        return None
    (method, target, _), headers = head
    size = int(headers.get("content-length", 0))
    body = await reader.readexactly(size) if size else b""
    return method, target, headers, body


async def call(address, method, path, value=None, headers=(), timeout_s=3.0):
    """Make one call on a connection of its own.

    Returns (status, decoded body), or (None, reason) without a complete answer.
    """
    try:
        return await asyncio.wait_for(
            _call(address, method, path, value, headers), timeout_s
        )
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return None, f"{type(exc).__name__}"
    except TimeoutError:
        return None, "timeout"


async def _call(address, method, path, value, headers):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if value is None else json.dumps(value).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        if not any(name == "Host" for name, _ in headers):
            lines.append(f"Host: {address}")
        lines += [f"{name}: {text}" for name, text in headers]
        if body:
            lines.append("Content-Type: application/json")
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        head = await _read_head(reader)
        if head is None:
            raise ConnectionResetError
        (_, status, *_), answered = head
        size = int(answered.get("content-length", 0))
        data = await reader.readexactly(size) if size else b""
        return int(status), json.loads(data) if data else None
    finally:
        writer.transport.abort()
