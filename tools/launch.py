"""Starts programs of this repository as processes and calls them over HTTP.

Used by tests and measurement scripts. Each program binds port 0 by default and writes
the address it got to ``ready_file``. A launcher signals only processes that it started,
by process id.
"""

import fcntl
import functools
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

__all__ = ["ROOT", "Launcher", "call_json", "call_text", "free_ports", "wait_until"]

ROOT = Path(__file__).resolve().parent.parent
READY_LIMIT_S = 30.0
STOP_LIMIT_S = 20.0
POLL_S = 0.05
# Fixed ports for programs that are restarted. They lie below 32768, where Linux's
# default range of ephemeral ports begins, and below those of ``test_docs``.
FIRST_PORT, PORTS_PER_RANGE, PORT_RANGES = 10_000, 400, 25
_port_numbers = itertools.count()


def wait_until(condition, what, limit_s=60.0):
    """Poll until ``condition()`` returns a true value, and return that value.

    Raises AssertionError after ``limit_s`` seconds; ``what`` describes the condition.
    """
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"condition not met within {limit_s} s: {what}")
        time.sleep(POLL_S)


def free_ports(count):
    """Return ``count`` free loopback ports below the ephemeral range.

    No outgoing connection takes such a port while its program is down, so that the
    program can bind it again after a restart. Each process has a range of its own, also
    among test runs that do not know of each other.
    """
    first, _ = _reserve_range()
    found = []
    for _ in range(PORTS_PER_RANGE):
        if len(found) == count:
            break
        port = first + next(_port_numbers) % PORTS_PER_RANGE
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)):
                found.append(port)
    assert len(found) == count, f"all ports from {first} on are in use"
    return found


@functools.cache
def _reserve_range():
    """Lock a range of ports until this process ends.

    Returns (first port, lock file); the lock ends when the file is closed.
    """
    for number in range(PORT_RANGES):
        first = FIRST_PORT + PORTS_PER_RANGE * number
        path = Path(tempfile.gettempdir()) / f"cornelward-ports-{first}.lock"
        file = path.open("ab")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            file.close()
            continue
        return first, file
    raise AssertionError("all ranges of ports are in use by other processes")


def call_json(address, method, path, value=None, timeout_s=5.0, headers=None):
    """Make one HTTP call with ``value`` as the JSON body.

    Returns (status, decoded body); the body is None if it is not JSON. Raises OSError
    if the connection fails or times out or the answer is not valid HTTP.
    """
    status, data = _call(address, method, path, value, timeout_s, headers)
    try:
        return status, json.loads(data)
    except ValueError:
        return status, None


def call_text(address, path):
    """Return the body of a GET request as text; raises OSError as call_json does."""
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
    """A started process; ``address`` is None until ``wait_ready`` returns."""

    def __init__(self, popen, settings, folder):
        self.popen = popen
        self.settings = settings
        self.folder = folder
        self.address = None

    @property
    def pid(self):
        return self.popen.pid

    def output(self):
        """Return what the program has written to standard output and error so far."""
        return (self.folder / "output").read_text(encoding="utf-8", errors="replace")

    def log_events(self, message_type=None):
        """Return the decoded lines of the program's log file, in order.

        ``message_type`` selects the lines of one type. An incomplete last line is left
        out.
        """
        path = Path(self.settings["log_file"])
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        events = [json.loads(line) for line in lines if line.endswith("}")]
        return [e for e in events if message_type in (None, e.get("message_type"))]

    def wait_ready(self):
        """Wait until the program has written its address; returns the Program.

        Raises AssertionError if the program exits first or takes longer than 30 s.
        """
        path = Path(self.settings["ready_file"])

        def ready():
            if self.popen.poll() is not None:
                raise AssertionError(
                    f"{self.folder.name} exited with {self.popen.returncode}: "
                    + self.output()
                )
            return path.exists() and path.read_text(encoding="ascii")

        self.address = wait_until(ready, f"{self.folder.name} is ready", READY_LIMIT_S)
        return self

    def signal(self, signo):
        """Send a signal to the process if it is still running."""
        if self.popen.poll() is None:
            os.kill(self.pid, signo)

    def kill(self):
        """Send SIGKILL and wait for the process to exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, limit_s=STOP_LIMIT_S):
        """Request a graceful shutdown; returns the exit code.

        Raises TimeoutExpired if the process is still running after ``limit_s`` seconds.
        """
        self.signal(signal.SIGTERM)
        # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
        self.signal(signal.SIGCONT)
        return self.popen.wait(limit_s)


class Launcher:
    """Starts programs, each with its files in a sub-folder of ``folder``."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.programs = []

    def start(self, module, settings, wait=True):
        """Start ``python -m module`` with a settings file; returns the Program.

        ``id``, ``ready_file``, ``log_file`` and an ``http_address`` on loopback with
        port 0 are added unless ``settings`` has them. With ``wait``, the program is
        ready on return.
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
        """Stop every running program, and kill those that do not exit in time."""
        for program in reversed(self.programs):
            program.signal(signal.SIGTERM)
            program.signal(signal.SIGCONT)
        for program in reversed(self.programs):
            try:
                program.popen.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                program.kill()
