"""Starts nodes and the project's stand-ins for a script of the review.

The nodes are processes started with the command of the deploy file; the platform's
store and the workers are stand-ins in this process. All addresses are on loopback.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cornelward.http_client import HttpClient  # noqa: E402
from cornelward.loop import Loop  # noqa: E402
from standins.cell import ROUTE, Cell  # noqa: E402
from tools.launch import free_ports  # noqa: E402

__all__ = ["BROKEN", "COULD_NOT_RUN", "HELD", "HOST", "Site", "lasting_job", "main"]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = ROUTE["host"]
# The bounds of rsl-cornelward and nkyene-lend that the scripts refer to, in seconds.
ACK_S, CANCEL_S, CONTACT_S = 4.0, 3.0, 3.0
SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge"]
zone = "laurentides-a"
region = "laurentides"
ip = "127.0.0.1"
internal_ports = [{peer}, {status}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "call"
advice = "{advice}"
[bind_addresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
config_apply_ms = 2500
grace_s = 6
max_hold_ms = 10000
stop_ms = 400
cancel_ms = 3000
[platform]
address = "{store}"
form = "table"
"""


# The pages give 4 ms an answer of the store and 5 ms (txn_ms) a transaction.
ANSWER_S, TRANSACTION_S = 0.004, 0.005


def slow_down_transactions(store):
    """Let each transaction take TRANSACTION_S beyond the time of an answer."""
    serve = store._serve

    def serve_later(call):
        if call.request.path == "/rows-tx":
            store.loop.call_later(TRANSACTION_S, lambda: serve(call))
        else:
            serve(call)

    store._serve = serve_later


def lasting_job(tasks=1):
    """Return the body of a job whose tasks run until it is cancelled."""
    step = {"count": tasks, "cpu": 500, "mem_mb": 256, "runs_forever": True}
    return {"spec": "review", "steps": [step]}


class Node:
    """A process of the system."""

    def __init__(self, site, name):
        self.name = name
        self.front, self.ready, self.peer, self.status = free_ports(4)
        self.address = f"127.0.0.1:{self.front}"
        self.status_address = f"127.0.0.1:{self.status}"
        self.path = site.folder / f"{name}.toml"
        self.log_path = site.folder / f"{name}.log"
        text = SETTINGS.format(
            name=name,
            front=self.front,
            ready=self.ready,
            peer=self.peer,
            status=self.status,
            store=site.cell.store.address,
            advice=site.cell.advice.server.address,
        )
        self.path.write_text(text, encoding="utf-8")
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CORNELWARD_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "cornelward.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def has_exited(self):
        return self.process.poll() is not None

    def send_signal(self, signo):
        if not self.has_exited():
            self.process.send_signal(signo)


class Site:
    """A small deployment; ``note`` adds a line to ``record.txt`` of the case."""

    def __init__(self, case_folder, folder, nodes, workers):
        self.folder = folder
        self.record = open(case_folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.loop = Loop()
        self.client = HttpClient(self.loop)
        self.cell = Cell(self.loop, workers=workers, cpu=32_000, run_s=3_600.0)
        self.cell.store.slow_s = ANSWER_S
        slow_down_transactions(self.cell.store)
        self.cell.configure(1, [ROUTE])
        self.began_at = time.monotonic()
        self.noted_starts = 0
        self.nodes = [Node(self, f"edge-{number}") for number in range(nodes)]

    @property
    def now(self):
        """Return the seconds since the beginning of the script."""
        return time.monotonic() - self.began_at

    def note(self, text):
        """Write a line to the record, with the time."""
        self.record.write(f"{self.now:8.3f} s  {text}\n")

    def wait(self, condition, what, limit_s):
        """Run until ``condition()`` is true; TimeoutError after ``limit_s``."""

        def check():
            self._note_starts()
            return condition()

        if not self.loop.run_until(check, limit_s):
            raise TimeoutError(what)

    def pause(self, seconds):
        """Run for ``seconds``."""
        end = time.monotonic() + seconds
        self.loop.call_later(seconds, lambda: None)
        self.wait(lambda: time.monotonic() >= end, "pause", seconds + 5.0)

    def _note_starts(self):
        starts = self.cell.starts
        for worker, task, run in starts[self.noted_starts :]:
            self.note(f"{worker} starts {task} run {run}")
        self.noted_starts = len(starts)

    def start_nodes(self):
        """Start all nodes; wait until each is ready and one leads."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            self.wait(lambda n=node: self.is_ready(n), f"{node.name} ready", 20.0)
        self.wait(lambda: self.leader() is not None, "a leader", 20.0)

    def fetch(self, address, path):
        """Return (status, body) of a GET; the status is None without an answer."""
        found = []
        self.client.request(address, "GET", path, found.append, timeout_s=1.0)
        self.loop.run_until(lambda: found, 2.0)
        return (found[0].status, found[0].body) if found else (None, b"")

    def is_ready(self, node):
        return self.fetch(f"127.0.0.1:{node.ready}", "/readyz")[0] == 200

    def await_leader(self):
        """Return the node that leads, once there is one."""
        self.wait(lambda: self.leader() is not None, "a leader", 20.0)
        return self.leader()

    def leader(self):
        """Return the node whose metrics say that it leads, or None."""
        for node in self.nodes:
            status, body = self.fetch(node.status_address, "/metrics")
            if status == 200 and b"cornelward_node_leads 1.0" in body:
                return node
        return None

    def call(
        self, node, method, job_id, on_answer, body=None, deadline_s=3.0, route=ROUTE
    ):
        """Send a client's call; ``on_answer(status or None, decoded body)``."""
        self.note(f"client sends {method} {job_id} to {node.name}")

        def done(result):
            try:
                value = msgspec.json.decode(result.body) if result.body else None
            except msgspec.DecodeError:
                value = None
            what = result.status if result.status is not None else result.error
            self.note(f"client gets {what} {value} for {method} {job_id}")
            on_answer(result.status, value)

        headers = [("Host", HOST), ("Deadline-Ms", str(int(deadline_s * 1000)))]
        data = b""
        if body is not None:
            headers.append(("Content-Type", "application/json"))
            data = msgspec.json.encode(body)
        self.client.request(
            node.address,
            method,
            f"{route['path_prefix']}{job_id}",
            done,
            headers=headers,
            body=data,
            timeout_s=deadline_s,
        )

    def ask(self, node, method, job_id, body=None, deadline_s=3.0, route=ROUTE):
        """Send a client's call and wait for (status, decoded body)."""
        found = []

        def on_answer(*answer):
            found.append(answer)

        self.call(node, method, job_id, on_answer, body, deadline_s, route)
        self.wait(lambda: found, f"answer to {method} {job_id}", deadline_s + 1.0)
        return found[0]

    def running_on(self, job_id):
        """Return [(worker id, task, run)] of a job's runs on workers that are up."""
        return [
            (worker.id, *key)
            for worker in self.cell.workers.values()
            for key in worker.running
            if key[0].startswith(job_id + ".")
        ]

    def close(self):
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None and not node.has_exited():
                node.process.send_signal(signal.SIGKILL)
                node.process.wait()
        self.record.close()


def main(case_folder, play, nodes, workers):
    """Run ``play(site, with_trouble)``; return its result as the exit code."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="cornelward-review-") as folder:
        site = Site(case_folder, Path(folder), nodes, workers)
        try:
            site.start_nodes()
            code = play(site, with_trouble)
        except Exception as exc:
            # Nothing but the check may lead to the exit code of a broken rule.
            site.note(f"the case could not run: {exc!r}")
            code = COULD_NOT_RUN
        finally:
            site.close()
    print(f"exit code {code}; see review/{case_folder.name}/record.txt")
    return code
