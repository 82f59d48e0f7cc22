"""Starts programs of this repository as processes and calls them over HTTP.

Used by tests and measurement scripts. Programs bind port 0 and write their address to
``ready_file``; a launcher ends only the processes that it started, by id.
"""

import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

__all__ = ["ROOT", "Launcher", "call_json", "call_text", "free_ports", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent
READY_LIMIT_S = 30.0
STOP_LIMIT_S = 20.0
POLL_S = 0.05
# Ports of programs that are started again; the system gives out those from 32768 on.
FIRST_PORT, PORTS_PER_RANGE, PORT_RANGES = 12_000, 600, 10
_port_numbers = itertools.count()


def wait_until(condition, what, limit_s=60.0):
    """Return the first true value of ``condition()``.

    Raises AssertionError that names ``what`` after ``limit_s``.
    """
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"after {limit_s} s still not so: {what}")
        time.sleep(POLL_S)


def free_ports(count):
    """Return loopback ports that are free, below those that connections get.

    A program that is started again finds its port free. Test processes that run side
    by side look in ranges of their own.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    first = FIRST_PORT + PORTS_PER_RANGE * (worker % PORT_RANGES)
    found = []
    while len(found) < count:
        port = first + next(_port_numbers) % PORTS_PER_RANGE
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)):
                found.append(port)
    return found


def call_json(address, method, path, value=None, timeout_s=5.0, headers=None):
    """Return (status, decoded body or None) of one HTTP call; raises OSError."""
    status, data = _call(address, method, path, value, timeout_s, headers)
    try:
        return status, json.loads(data)
    except ValueError:
        return status, None


def call_text(address, path):
    """Return the text of one GET; raises OSError."""
    return _call(address, "GET", path, None, 5.0, None)[1].decode("utf-8")


def _call(address, method, path, value, timeout_s, headers):
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        body = None if value is None else json.dumps(value)
        conn.request(method, path, body, headers or {})
        answer = conn.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as exc:
        raise ConnectionError(repr(exc)) from exc
    finally:
        conn.close()


class Program:
    """One running program; ``address`` is None until it is ready."""

    def __init__(self, popen, settings, folder):
        self.popen = popen
        self.settings = settings
        self.folder = folder
        self.address = None

    @property
    def pid(self):
        return self.popen.pid

    def output(self):
        """Return what the program wrote to standard output and error."""
        return (self.folder / "output").read_text(encoding="utf-8", errors="replace")

    def log_events(self, message_type=None):
        """Return the decoded lines of its log, in order."""
        path = Path(self.settings["log_file"])
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        events = [json.loads(line) for line in lines if line.endswith("}")]
        return [e for e in events if message_type in (None, e.get("message_type"))]

    def wait_ready(self):
        """Wait for the address; raises AssertionError if the program ends instead."""
        path = Path(self.settings["ready_file"])

        def ready():
            if self.popen.poll() is not None:
                raise AssertionError(
                    f"{self.folder.name} ended with {self.popen.returncode}: "
                    + self.output()
                )
            return path.exists() and path.read_text(encoding="ascii")

        self.address = wait_until(ready, f"{self.folder.name} ready", READY_LIMIT_S)
        return self

    def signal(self, signo):
        """Send a signal to this process if it still runs."""
        if self.popen.poll() is None:
            os.kill(self.pid, signo)

    def kill(self):
        """End the process at once and wait for it."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, limit_s=STOP_LIMIT_S):
        """Ask for a graceful shutdown; returns the exit code."""
        self.signal(signal.SIGTERM)
        # A stopped process handles SIGTERM only after it is continued.
        self.signal(signal.SIGCONT)
        return self.popen.wait(limit_s)


class Launcher:
    """Starts programs with settings in sub-folders of ``folder``."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.programs = []

    def start(self, module, settings, wait=True):
        """Start ``python -m module SETTINGS``; returns a Program.

        ``ready_file``, ``log_file`` and loopback addresses with port 0 are filled in
        unless ``settings`` has them.
        """
        name = f"{len(self.programs)}-{module.rpartition('.')[2]}"
        folder = self.folder / name
        folder.mkdir(parents=True)
        settings = {
            "id": name,
            "http_address": "127.0.0.1:0",
            "ready_file": str(folder / "ready"),
            "log_file": str(folder / "log"),
            **settings,
        }
        path = folder / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        with open(folder / "output", "wb") as output:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        program = Program(popen, settings, folder)
        self.programs.append(program)
        return program.wait_ready() if wait else program

    def close(self):
        """End every program that still runs."""
        for program in reversed(self.programs):
            program.signal(signal.SIGTERM)
            program.signal(signal.SIGCONT)
        for program in reversed(self.programs):
            try:
                program.popen.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                program.kill()
