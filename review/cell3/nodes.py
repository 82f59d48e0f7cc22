"""Processes of the system, their settings, and a cell of nodes, store and executors."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from . import http
from .executor import Executor, Fleet
from .store import Port, Store

__all__ = ["HOST", "PREFIX", "Cell", "Node", "Record"]

ROOT = Path(__file__).resolve().parent.parent.parent
HOST, PREFIX = "dispatch.example", "/jobs/"

SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [{peer}, {status}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice"]
orders = "call"
advice = "{advice}"
[zones]
a = "r"
[bind_addresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = 10000
stop_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
checkpoint_s = 1
restore_ms = 250
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
enforce_fencing = false
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
txn_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
cross_shard = false
history_s = 20
"""


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.began_at = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began_at:7.2f} {text}\n")
        self.file.flush()


class Node:
    """One process of the system."""

    def __init__(self, name, folder, port, advice=""):
        self.name = name
        self.store_port = port
        self.log = folder / f"{name}.log"
        front, ready, control, peer, status = http.free_ports(5)
        self.address = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.path = folder / f"{name}.toml"
        text = SETTINGS.format(
            name=name,
            front=front,
            ready=ready,
            control=control,
            peer=peer,
            status=status,
            store=port.server.address,
            advice=advice,
        )
        self.path.write_text(text, encoding="utf-8")
        self.process = None

    def start(self):
        """Start the process, unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CORNELWARD_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "cornelward.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Cell:
    """Nodes, store and executors of a small deployment on loopback."""

    def __init__(self, record, nodes=4, seed=1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.store = Store(seed)
        self.fleet = Fleet(self.store, seed, record)
        self.ports = [Port(self.store) for _ in range(nodes)]
        self.nodes = []
        self.advice = ""
        self.turn = 0
        # Job id -> statuses of the attempts to hand it in.
        self.statuses = {}

    async def open(self, executors, config=None):
        """Start everything; ``executors`` are (id, kind, rack, room)."""
        for port in self.ports:
            await port.server.open()
        self.configure(config or {})
        for row in executors:
            executor = Executor(self.fleet, *row)
            await executor.start()
        for number, port in enumerate(self.ports):
            self.nodes.append(Node(f"edge-{number}", self.folder, port, self.advice))
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.until_ready(node)

    async def until_ready(self, node, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, _ = await http.call(node.ready, "GET", "/readyz", timeout_s=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise OSError(f"{node.name} does not get ready")

    def configure(self, more, version=1):
        route = {
            "name": "dispatch-q",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": "dispatch",
            "timeout_ms": 3000,
            "latency_slo_ms": 1200,
            "priority": 1,
            "max_attempts": 4,
            "stretch": 2.2,
            **more,
        }
        config = {
            "version": version,
            "routes": [route],
            "services": [{"name": "dispatch", "rejects_overload": False}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op", "config", json.dumps(config).encode())

    def close(self):
        """End all processes that were started."""
        for node in self.nodes:
            node.kill()

    def leader(self):
        """Return the node that wrote the leader's row last, or None."""
        for name, (value, _) in self.store.rows.items():
            if name[0] == "leader" and name[2] == "main":
                for node in self.nodes:
                    if node.name.encode() in value:
                        return node
        return None

    # Clients

    def next_node(self):
        self.turn += 1
        return self.nodes[self.turn % len(self.nodes)]

    async def ask(self, method, job_id, body=None, node=None, timeout_s=3.0):
        """Make one call of a client; returns (status, decoded body)."""
        node = node or self.next_node()
        headers = [("Host", HOST), ("Deadline-Ms", int(timeout_s * 1000))]
        result = await http.call(
            node.address, method, PREFIX + job_id, body, headers, timeout_s
        )
        self.record(f"{method} {job_id} at {node.name}: {result[0]} {result[1]}")
        return result

    async def submit(self, job_id, body, attempts=5):
        """Hand a job in, as a client does; returns whether it was accepted."""
        self.fleet.jobs[job_id] = body
        sent = {k: v for k, v in body.items() if k != "max_attempts"}
        for _ in range(attempts):
            status, _ = await self.ask("POST", job_id, sent)
            self.statuses.setdefault(job_id, []).append(status)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job_id):
        status, value = await self.ask("GET", job_id)
        return value["state"] if status == 200 else status
