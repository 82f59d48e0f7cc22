"""Node processes on a stand-in platform whose gangs end as a test says."""

import random
import signal

import pytest

from cornelward.http_client import HttpClient
from cornelward.leadership import decode_row
from cornelward.loop import Loop
from standins.cell import ROUTE, Cell
from standins.proxy import Proxy
from tools.launch import ROOT
from tools.soak_nodes import Node

__all__ = ["GangProcesses", "end_members", "start_gangs"]

WAIT_LIMIT_S = 90
# A rack's workers, and how long one that has crashed is away.
RACK, BACK_S = 8, 3.0
MAX_ATTEMPTS = (1, 2, 3)
RUN_S = 0.3


class GangProcesses:
    """Nodes of the checkouts ``roots`` and 24 workers in racks of eight.

    The queue ``qN`` allows N attempts. ``jobs`` maps the ids of the jobs to N.
    """

    def __init__(self, folder, seed=1, nodes=3, roots=(ROOT,), workers=24):
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.client = HttpClient(self.loop)
        self.cell = Cell(self.loop, workers, 16_000, RUN_S, seed=seed)
        for number, worker in enumerate(self.workers):
            worker.labels = ["a", f"r1-{number // RACK}"]
            worker.register()
        routes = [
            ROUTE | {"name": f"q{n}", "path_prefix": f"/q{n}/", "max_attempts": n}
            for n in MAX_ATTEMPTS
        ]
        self.cell.configure(1, routes)
        self.jobs, self.states, self.accepted = {}, {}, set()
        # Fencing tokens of the leaders that were replaced, with their names.
        self.replaced = {}
        store = self.cell.store.address
        advice = self.cell.advice.server.address
        self.nodes = [
            Node(
                f"n{i}", folder, Proxy(self.loop, store), advice, roots[i % len(roots)]
            )
            for i in range(nodes)
        ]

    @property
    def workers(self):
        return list(self.cell.workers.values())

    def start(self):
        """Start the nodes; returns once there is a leader."""
        for node in self.nodes:
            node.start()
        self.wait(lambda: self.leader() is not None)
        return self

    def close(self):
        for node in self.nodes:
            if node.popen is not None and node.popen.poll() is None:
                node.popen.kill()
                node.popen.wait()

    def leader(self):
        """Return (node, fencing token) of the leader, or None if it does not run.

        A node that was replaced does not lead until it has a new token.
        """
        value, _ = self.cell.store.rows.get(("leader", "", "main"), (None, 0))
        row = decode_row(value) if value is not None else None
        if row is None or row.token in self.replaced:
            return None
        node = next(n for n in self.nodes if n.name == row.node)
        return (node, row.token) if node.popen.poll() is None else None

    def wait(self, condition):
        """Run the loop until the condition holds; returns whether it does."""
        return self.loop.run_until(condition, WAIT_LIMIT_S)

    def pause(self, seconds):
        self.loop.run_until(lambda: False, seconds)

    def submit(self, job_id, count, attempts, script, cpu=500):
        """Submit a gang whose runs are ended by ``script`` until it is accepted."""
        self.jobs[job_id] = attempts
        self.cell.gangs.scripts[job_id] = script
        step = {"count": count, "cpu": cpu, "mem_mb": 64, "gang": True}
        body = {"spec": "s", "steps": [step | {"estimate_ms": 300}]}

        def done(result):
            if result.status == 200:
                self.accepted.add(job_id)
            else:
                self.loop.call_later(0.3, send)

        def send():
            self._call("POST", job_id, done, body)

        send()

    def _call(self, method, job_id, on_done, body=None):
        running = [n for n in self.nodes if n.popen.poll() is None]
        if not running:
            self.loop.call_later(0.3, lambda: self._call(method, job_id, on_done, body))
            return
        self.client.request_json(
            self.rng.choice(running).address,
            method,
            f"/q{self.jobs[job_id]}/{job_id}",
            on_done,
            value=body,
            headers=(("Host", "jobs.example"), ("Deadline-Ms", "3000")),
            timeout_s=5.0,
        )

    def wait_ended(self):
        """Wait until each job is shown as ended."""
        ended = ("completed", "failed", "cancelled")

        def ask(job_id):
            def done(result):
                answer = result.json() if result.status == 200 else None
                self.states[job_id] = (answer or {}).get("state")
                if self.states[job_id] not in ended:
                    self.loop.call_later(0.3, lambda: ask(job_id))

            self._call("GET", job_id, done)

        self.wait(lambda: self.accepted == set(self.jobs))
        for job_id in self.jobs:
            ask(job_id)
        self.wait(lambda: all(self.states.get(j) in ended for j in self.jobs))

    def failed_runs(self, job_id):
        """Return the attempts of which a member has ended as failed."""
        return self.cell.gangs.failed.get(f"{job_id}.0.0", set())

    def faults(self):
        """Return the broken rules: LOST, BUDGET and those of the cell."""
        found = list(self.cell.violations)
        found += [f"BUDGET: run {unit}" for unit in self.cell.gangs.excess_starts()]
        for job_id, attempts in self.jobs.items():
            state, runs = self.states.get(job_id), self.failed_runs(job_id)
            if state == "failed" and len(runs) < attempts:
                found.append(f"LOST: {job_id} failed after runs {runs} of {attempts}")
            elif state not in ("failed", "completed"):
                found.append(f"LOST: {job_id} is {state}, failed runs {runs}")
        for node in self.nodes:
            if not node.exit_expected and node.popen.poll() is not None:
                found.append(f"{node.name} exited with {node.popen.poll()}")
        return found

    def replace_leader(self, signo=signal.SIGKILL):
        """Signal the leader, if any, and start its process again after its exit."""
        leader = self.leader()
        if leader is None:
            return
        node, token = leader
        self.replaced[token] = node.name
        node.exit_expected = True
        node.signal(signo)

        def restart():
            if node.popen.poll() is None:
                self.loop.call_later(0.3, restart)
            else:
                node.start()

        self.loop.call_later(0.5, restart)

    def shuffled(self, members):
        """Return the members in an order that the seed determines."""
        return self.rng.sample(members, len(members))

    def crash_rack(self, members):
        """Crash the workers of the rack that has most of the members; returns it."""
        racks = [worker.labels[1] for worker, _ in members]
        lost = max(sorted(set(racks)), key=racks.count)
        for worker in self.workers:
            if worker.labels[1] == lost:
                worker.crash(BACK_S, worker.next_id())
        return lost


def end_members(loop, members, hows, gap_s=0.0):
    """End members as ``hows`` says, each ``gap_s`` after the one before."""
    for number, ((worker, key), how) in enumerate(zip(members, hows, strict=True)):
        if gap_s:
            end = lambda w=worker, k=key, h=how: w.end(k, h)  # noqa: E731
            loop.call_later(number * gap_s, end)
        else:
            worker.end(key, how)


@pytest.fixture
def start_gangs(tmp_path):
    """Return a function that starts GangProcesses, which end after the test."""
    started = []

    def start(**options):
        started.append(GangProcesses(tmp_path, **options))
        return started[-1].start()

    yield start
    for processes in started:
        processes.close()
