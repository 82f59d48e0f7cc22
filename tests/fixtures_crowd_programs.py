"""Processes that crowds of clients call, with the limits of a small machine.

The stand-ins run in the loop of the test, the clients in threads beside it.
"""

import contextlib
import fcntl
import itertools
import json
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec
import pytest
from fixtures_crowds import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    POLL_S,
    Target,
    parse_address,
    send_crowds,
)
from fixtures_entry import OBJECTS, Cluster

from cornelward.http_client import HttpClient
from cornelward.loop import Loop
from cornelward.settings import ENTRY_DEFAULTS
from standins.cell import ROUTE, Cell
from tools.launch import ROOT, free_ports

__all__ = ["MAX_FDS", "MAX_SOCKETS", "MEMORY_MB", "Program", "program"]

# Bounds: the memory and the descriptors of the machine, 200 of these for files.
MEMORY_MB = 96
MAX_FDS = 800
MAX_SOCKETS = MAX_FDS - 200
# Settings of the entry: it has no configuration for these.
RECEIVE_TIMEOUT_S = 3.0
MAX_CONNECTIONS = 550
BUFFERED_BYTES = 16_777_216
LIMIT_S = 60.0

NODE_SETTINGS = """
node_name = "n0"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
internal_ports = [{peer}, {status}]
[bind_addresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[platform]
address = "{store}"
[bounds]
max_hold_ms = 6000
stop_ms = 400
grace_s = 6
[limits]
cpu_share = 1.0
cores = 2
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
"""


class Program:
    """A process under test and the stand-ins that it uses.

    ``peak_fds`` and ``peak_sockets`` are the largest counts of descriptors, and of
    sockets and pipes among them, while a crowd was there.
    """

    def __init__(self, loop, client, popen, target):
        self.loop = loop
        self.client = client
        self.popen = popen
        self.target = target
        self.peak_fds = self.peak_sockets = 0

    def until(self, condition):
        """Run the loop of the stand-ins until a condition holds."""
        assert self.loop.run_until(condition, LIMIT_S), "timed out"

    def is_alive(self):
        """Return whether the process has not exited."""
        return self.popen.poll() is None

    def peak_mb(self):
        """Return the peak resident memory of the process in MiB."""
        text = Path(f"/proc/{self.popen.pid}/status").read_text(encoding="ascii")
        line = next(line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def ask(self, method="POST", path=None, value=None):
        """Send one ordinary request and return the status, None without a response."""
        body = self.target.body if method == "POST" else b""
        results = []
        self.client.request(
            self.target.address,
            method,
            path or self.target.path("ordinary"),
            results.append,
            headers=(("Host", self.target.host),),
            body=body if value is None else msgspec.json.encode(value),
            timeout_s=LIMIT_S,
        )
        self.until(lambda: results or not self.is_alive())
        return results[0].status if results else None

    def is_answered(self):
        """Return whether an ordinary request is served; repeats one that is refused."""
        end = time.monotonic() + LIMIT_S
        while self.is_alive() and time.monotonic() < end:
            if self.ask() == 200:
                return True
            retry_at = time.monotonic() + POLL_S
            self.until(lambda at=retry_at: time.monotonic() > at)
        return False

    def run(self, function, *args):
        """Run a function in a thread beside the loop; return its result."""
        results = []
        thread = threading.Thread(target=lambda: results.append(function(*args)))
        thread.start()
        while thread.is_alive():
            self.loop.run_until(lambda: not thread.is_alive(), POLL_S)
        thread.join()
        return results[0]

    def send_crowds(self, crowds):
        """Send crowds at the same time and stay until the process has read them."""
        self.run(send_crowds, self.target, crowds, self._sample)

    def exchange(self, requests):
        """Send complete requests at once; return the statuses of their responses."""
        address = parse_address(self.target.address)
        statuses = [0] * len(requests)

        def exchange(number):
            with socket.create_connection(address, LIMIT_S) as sock:
                sock.sendall(requests[number])
                statuses[number] = int(sock.makefile("rb").readline().split()[1])

        def exchange_all():
            threads = [
                threading.Thread(target=exchange, args=(n,))
                for n in range(len(requests))
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            return statuses

        return self.run(exchange_all)

    def _sample(self):
        """Count the descriptors; return whether the process is alive."""
        folder, kinds = f"/proc/{self.popen.pid}/fd", []
        with contextlib.suppress(OSError):
            for name in os.listdir(folder):
                with contextlib.suppress(FileNotFoundError):
                    kinds.append(os.readlink(f"{folder}/{name}"))
        sockets = sum(kind.startswith(("socket:", "pipe:")) for kind in kinds)
        self.peak_fds = max(self.peak_fds, len(kinds))
        self.peak_sockets = max(self.peak_sockets, sockets)
        return self.is_alive()


def _start(args, folder, env=None):
    def limit_descriptors():
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, hard))

    with open(folder / "output", "wb") as output:
        return subprocess.Popen(
            [sys.executable, "-m", *args],
            cwd=ROOT,
            env={**os.environ, **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            preexec_fn=limit_descriptors,
        )


def _start_node(folder, processes):
    loop = Loop()
    cell = Cell(loop)
    cell.configure(1, [ROUTE])
    front, ready, peer, status = free_ports(4)
    text = NODE_SETTINGS.format(
        front=front,
        ready=ready,
        peer=peer,
        status=status,
        store=cell.store.address,
        memory_mb=MEMORY_MB,
        max_fds=MAX_FDS,
    )
    path = folder / "settings.toml"
    path.write_text(text, encoding="utf-8")
    popen = _start(["cornelward.platform"], folder, {"CORNELWARD_CONFIG": str(path)})
    processes.append(popen)
    body = msgspec.json.encode({"spec": "x", "steps": [{"count": 1, "cpu": 100}]})
    numbers = itertools.count(1 << 32)
    target = Target(
        f"127.0.0.1:{front}",
        ROUTE["host"],
        lambda number: f"/jobs/{next(numbers):016x}",
        body,
    )
    return Program(loop, HttpClient(loop), popen, target)


def _start_entry(folder, processes):
    cluster = Cluster()
    cluster.add_executor()
    ready = folder / "ready"
    cfg = {
        "id": "p0",
        "failure_domain": "l1",
        "region": "laurentides",
        "platform_address": cluster.platform,
        "ready_file": str(ready),
        "log_file": str(folder / "log"),
        "max_body_bytes": MAX_BODY_BYTES,
        "max_header_bytes": MAX_HEADER_BYTES,
        "max_connections": MAX_CONNECTIONS,
        "receive_timeout_s": RECEIVE_TIMEOUT_S,
    }
    if "max_buffered_bytes" in ENTRY_DEFAULTS:
        cfg["max_buffered_bytes"] = BUFFERED_BYTES
    path = folder / "settings.json"
    path.write_text(json.dumps(cfg), encoding="utf-8")
    popen = _start(["cornelward.entry", str(path)], folder)
    processes.append(popen)
    cluster.until(lambda: ready.exists() and ready.read_text())
    address = ready.read_text()
    target = Target(
        address, address, lambda number: "/v1/services/quotes/note", b'{"run_ms": 1}'
    )
    program = Program(cluster.loop, cluster.client, popen, target)
    document = {"parent": 0, "objects": OBJECTS}
    assert program.ask("PUT", "/v1/config", document) == 200
    return program


@pytest.fixture(params=["node", "entry"])
def program(request, tmp_path):
    """Provide a Program that serves; tests with one run one at a time."""
    start = {"node": _start_node, "entry": _start_entry}[request.param]
    processes = []
    lock = Path(tempfile.gettempdir()) / "cornelward-crowds.lock"
    with lock.open("ab") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        try:
            started = start(tmp_path, processes)
            assert started.is_answered(), (tmp_path / "output").read_text()
            yield started
        finally:
            for popen in processes:
                popen.kill()
                popen.wait()
