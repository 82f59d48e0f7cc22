"""Starts the platform, executors, entries and reference server of an HTTP benchmark."""

import http.client
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from circuits.web import Controller, Server

__all__ = ["OBJECTS", "OPERATION", "LocalCluster"]

OPERATION = "quotes/price"
READY_TIMEOUT_S = 60.0

OBJECTS = [
    {"kind": "region", "name": "laurentides", "failure_domains": ["l1"]},
    {"kind": "pool", "name": "front", "region": "laurentides", "holds": "executors"},
    {"kind": "policy", "name": "quick", "type": "request", "deadline_ms": 30_000},
    {
        "kind": "workload",
        "name": "quotes",
        "type": "request",
        "policy": "quick",
        "pool": "front",
        "operations": [{"name": "price", "idempotent": True}],
    },
]


class Root(Controller):
    """Answers every request to the reference server with a fixed body."""

    body = ""

    def index(self, *args, **kwargs):
        return self.body


def serve_bare(ready_file, body):
    """Run the bare circuits.web server that the entries are compared with.

    Its address (host:port) is written to ``ready_file``.
    """
    Root.body = body
    server = Server(("127.0.0.1", 0), display_banner=False)
    Root().register(server)
    Path(ready_file).write_text(f"{server.host}:{server.port}", encoding="ascii")
    server.run()


def send_json(address, method, path, value=None):
    """Send one request with ``value`` as a JSON body; return (status, body bytes)."""
    conn = http.client.HTTPConnection(address, timeout=READY_TIMEOUT_S)
    conn.request(method, path, json.dumps(value) if value is not None else None)
    answer = conn.getresponse()
    body = answer.read()
    conn.close()
    return answer.status, body


def wait_for(is_ready):
    """Poll until ``is_ready()`` is true; raise TimeoutError after READY_TIMEOUT_S."""
    end = time.monotonic() + READY_TIMEOUT_S
    while not is_ready():
        if time.monotonic() > end:
            raise TimeoutError("a benchmark process did not become ready in time")
        time.sleep(0.05)


class LocalCluster:
    """Platform, executors and entries as local processes, to be used in a with block.

    Settings and ready files are in a temporary directory. Leaving the block terminates
    all processes, kills those that are still running after 5 s, and removes the
    directory.
    """

    def __init__(self, executors):
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.executors = []
        self.entry_pids = []
        self.platform = self._start("standins.platform", {})
        for _ in range(executors):
            cfg = {"service": "quotes", "slots": 8, "connections": 256}
            cfg |= {"failure_domain": "l1", "region": "laurentides"}
            cfg["platform_address"] = self.platform
            self.executors.append(self._start("standins.executor", cfg))

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.folder.cleanup()

    def _start(self, module, cfg):
        """Start a module with settings; return the address it reports when ready."""
        number = len(self.processes)
        ready = Path(self.folder.name) / f"ready-{number}"
        path = Path(self.folder.name) / f"settings-{number}.json"
        cfg = {"id": f"p{number}", "ready_file": str(ready), **cfg}
        path.write_text(json.dumps(cfg))
        return self._spawn([module, str(path)], ready)

    def _spawn(self, arguments, ready):
        """Start a Python module; return the content of its ready file."""
        process = subprocess.Popen([sys.executable, "-m", *arguments])
        self.processes.append(process)
        wait_for(lambda: ready.exists() and ready.read_text())
        return ready.read_text()

    def start_bare(self, body):
        """Start the bare circuits.web server; return its address."""
        ready = Path(self.folder.name) / "ready-bare"
        return self._spawn(["tools.bench_site", str(ready), body], ready)

    def start_entries(self, count):
        """Start entries, apply the configuration and return the entries' addresses.

        Returns once every entry is in the view and all executors are ready. Raises
        RuntimeError if the configuration is refused.
        """
        cfg = {"failure_domain": "l1", "region": "laurentides"}
        cfg |= {"platform_address": self.platform, "log_level": "warning"}
        addresses = [self._start("cornelward.entry", cfg) for _ in range(count)]
        self.entry_pids = [process.pid for process in self.processes[-count:]]
        body = {"parent": 0, "objects": OBJECTS}
        status, answer = send_json(addresses[0], "PUT", "/v1/config", body)
        if status != 200:
            raise RuntimeError(answer)
        wait_for(lambda: self._is_settled(addresses))
        return addresses

    def _is_settled(self, addresses):
        """Return whether all entries are in the view and own all executors as ready."""
        ready = set()
        for address in addresses:
            router = json.loads(send_json(address, "GET", "/state")[1])["router"]
            if len(router["view"]["members"]) != len(addresses):
                return False
            ready |= {
                name
                for name, item in router["executors"].items()
                if item["owned"] and item["ready"]
            }
            if not router["services"]:
                return False
        return len(ready) == len(self.executors)

    def configure_executors(self, **changes):
        """Change the behaviour of every stand-in executor, for example ``slow_ms``."""
        for address in self.executors:
            send_json(address, "POST", "/switch", changes)


if __name__ == "__main__":
    serve_bare(*sys.argv[1:])
