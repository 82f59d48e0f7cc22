"""Starts the programs of the capacity measurements and samples their resource use."""

import socket
import time
from pathlib import Path

import msgspec

from .launch import call_json, call_text, wait_until

__all__ = ["Cell", "cpu_s", "exchange_bytes", "growth_per_s", "rss_kb"]

FAILURE_DOMAIN = "a1"
REQUEST_LIMIT_S = 3_600
SAMPLE_WINDOW_S = 8.0

TASK_POLICIES = [
    {"kind": "policy", "name": "batch", "type": "batch", "preemptible": True},
    {"kind": "policy", "name": "urgent", "type": "batch", "urgent": True},
    {"kind": "policy", "name": "service", "type": "service"},
]


def base_objects(teams=1):
    """Return the objects of a configuration with ``teams`` teams.

    It has one request workload and one task workload for each of TASK_POLICIES.
    """
    quota = {"cpu": 1_000_000, "memory_mb": 1_000_000_000}
    demand = {"cpu": 1, "memory_mb": 100}
    tasks = {"pool": "workers", "team": "team0", "demand": demand}
    return [
        {"kind": "region", "name": "a", "failure_domains": [FAILURE_DOMAIN]},
        {"kind": "pool", "name": "executors", "region": "a", "holds": "executors"},
        {"kind": "pool", "name": "workers", "region": "a", "holds": "workers"},
        *TASK_POLICIES,
        {
            "kind": "policy",
            "name": "requests",
            "type": "request",
            "deadline_ms": REQUEST_LIMIT_S * 1000,
            "queue_limit": 10_000,
            "max_run_ms": REQUEST_LIMIT_S * 1000,
        },
        {
            "kind": "workload",
            "name": "quotes",
            "type": "request",
            "policy": "requests",
            "pool": "executors",
            "operations": [{"name": "price", "idempotent": True}],
        },
        *({"kind": "team", "name": f"team{i}", "quota": quota} for i in range(teams)),
        *(
            {"kind": "workload", "name": p["name"], "type": p["type"]}
            | {"policy": p["name"], **tasks}
            for p in TASK_POLICIES
        ),
    ]


class Cell:
    """The platform stand-in and the programs of one failure domain that use it."""

    def __init__(self, launcher):
        self.launcher = launcher
        self.platform = launcher.start("standins.platform", {})
        self.version = 0

    def start(self, module, **settings):
        """Start a program in the failure domain; returns the Program when ready."""
        common = {
            "failure_domain": FAILURE_DOMAIN,
            "region": "a",
            "platform_address": self.platform.address,
        }
        return self.launcher.start(module, {**common, **settings})

    def publish(self, entry, objects):
        """Publish a configuration; returns its version.

        Raises AssertionError if the entry refuses it.
        """
        body = {"parent": self.version, "objects": objects}
        status, answer = call_json(entry.address, "PUT", "/v1/config", body)
        if status != 200:
            raise AssertionError(f"configuration refused: {answer}")
        self.version = answer["version"]
        return self.version

    def wait_ready(self, programs):
        """Wait until the readiness check of every program succeeds."""
        for program in programs:
            wait_until(
                lambda address=program.address: (
                    call_json(address, "GET", "/readyz")[0] == 200
                ),
                f"{program.folder.name} is ready",
            )

    def submit(self, entry, workload, tasks, run):
        """Submit a job of ``tasks`` tasks; returns its id.

        Raises AssertionError if the entry refuses it.
        """
        body = {"workload": workload, "tasks": tasks, "run": run}
        status, answer = call_json(entry.address, "POST", "/v1/jobs", body)
        if status not in (200, 201):
            raise AssertionError(f"job refused: {answer}")
        return answer["id"]

    def counts(self):
        """Return the numbers of table reads and writes so far."""
        answer = call_json(self.platform.address, "GET", "/counts")[1]
        return answer["reads"], answer["writes"]

    def metric(self, program, name):
        """Return the sum of the samples whose text starts with ``name``."""
        text = call_text(program.address, "/metrics")
        lines = [line for line in text.splitlines() if line.startswith(name)]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


def cpu_s(program):
    """Return the processor time used so far by a process's live threads, in seconds."""
    total = 0
    for task in Path(f"/proc/{program.pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def rss_kb(program):
    """Return the resident memory of a process in KiB."""
    status = Path(f"/proc/{program.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS:"))
    return int(line.split()[1])


def growth_per_s(samples, seconds=SAMPLE_WINDOW_S):
    """Return the growth per second of each sample over ``seconds``.

    ``samples`` maps names to functions that return the current value.
    """
    start = time.monotonic()
    before = {name: sample() for name, sample in samples.items()}
    time.sleep(seconds)
    after = {name: sample() for name, sample in samples.items()}
    elapsed_s = time.monotonic() - start
    return {name: (after[name] - before[name]) / elapsed_s for name in samples}


def exchange_bytes(address, method, path, value=None, headers=()):
    """Return the bytes sent and received for one call, without TCP and IP headers.

    The request has the form in which the system's HTTP client sends it.
    """
    body = b"" if value is None else msgspec.json.encode(value)
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"X-Failure-Domain: {FAILURE_DOMAIN}\r\nContent-Length: {len(body)}\r\n\r\n"
    request = head.encode("ascii") + body
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(65_536)
        header, _, rest = data.partition(b"\r\n\r\n")
        fields = dict(x.lower().split(b": ", 1) for x in header.split(b"\r\n")[1:])
        missing = int(fields[b"content-length"]) - len(rest)
        while missing > 0:
            missing -= len(sock.recv(65_536))
    length = len(header) + 4 + int(fields[b"content-length"])
    return len(request) + length
