"""Fault soak test: runs nodes under load, injects faults and checks guarantees.

``python -m tools.soak --seed 7`` runs one seed, ``--seeds 50`` fifty consecutive ones.
The nodes are ``python -m cornelward.platform`` processes. The stand-ins of the platform
and one proxy for each node's store connections and each worker run in this process.

Faults overlap: signals to nodes, restarts, connections that are delayed, reset, refused
or silent, a store that is unavailable, slow or loses answers or its change history,
workers that are silent, crash or change their capacity, and deadly tasks, which crash
each worker that starts them. Beside the ends of gangs that fail, leaders are replaced,
and workers or racks of members are lost or cut off. Crowds of clients hold requests
open. The checks: no task runs twice or again after its end, no start exceeds a worker's
capacity or a workspace's cap, no deadly task is started without limit, gangs that fail
use exactly their attempts, no call with an unknown key runs, a withdrawn key is refused
and no other one, a job whose submissions were all refused runs no task, every accepted
job completes, or fails if it has a deadly task or its gang fails, without waiting
beside free room once the faults are over (only by the command), no node exits unless it
was told to, and no node uses more than 128 MiB of memory.
"""

import argparse
import math
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path

from cornelward.http_client import HttpClient
from cornelward.loop import Loop
from standins.cell import Cell
from standins.proxy import Proxy

from . import soak_crowds, soak_gangs, soak_keys
from .soak_faults import FAULTS, WORKER_CPU, restart
from .soak_nodes import Node
from .soak_waits import watch_waits

__all__ = ["Soak", "main", "run_seed"]

NODES, WORKERS = 3, 6
LOAD_S = 20.0
# Run time of a task. A job has up to eight tasks in two steps.
TASK_RUN_S = 0.3
SUBMIT_INTERVAL_S = 0.12
FAULT_INTERVAL_S = 0.7
# Longest fault: longer than a takeover takes, and longer than a leader keeps its role
# while it can't reach the store.
FAULT_MAX_S = 5.0
MAX_ATTEMPTS = 4
RETRY_S = 0.4
CALL_LIMIT_S = 5.0
# Time limit for the start and for each wait after the last fault. Jobs may have to wait
# until a lease granted by an unreachable former leader expires, and then have to run.
SETTLE_S = 120.0
MAX_RSS_KB = 128 * 1024


class SubmittedJob:
    """A job, the HTTP statuses of its submissions and its last reported state.

    ``owner`` is its (workspace, key).
    """

    def __init__(self, job_id, body, owner, outcome="completed"):
        self.id = job_id
        self.workspace, self.key = owner
        self.body = body
        self.outcome = outcome
        self.statuses = []
        self.state = None

    @property
    def is_accepted(self):
        return 200 in self.statuses

    @property
    def has_ended(self):
        """Return whether the job was reported to have its outcome."""
        return self.state == self.outcome

    @property
    def is_refused(self):
        """Return whether every submission was answered with a refusal."""
        return all(status in (401, 429, 503) for status in self.statuses)


class Soak:
    """The run of one seed; ``failures`` describes each violated guarantee."""

    def __init__(self, seed, folder, load_s=LOAD_S, check_waits=False):
        self.rng = random.Random(seed)
        self.folder = Path(folder)
        self.load_s = load_s
        self.check_waits = check_waits
        self.loop = Loop()
        self.client = HttpClient(self.loop)
        self.cell = Cell(self.loop, WORKERS, WORKER_CPU, TASK_RUN_S, seed=seed)
        # Keys are drawn apart, so that the faults and jobs of a seed stay as they were.
        self.key_rng = random.Random(f"keys {seed}")
        self.withdrawn_at = math.inf
        # Ids of jobs submitted with a key that no configuration contains, and the
        # number of answers by status to all calls with such a key.
        self.unknown_key_ids = []
        self.unknown_key_statuses = Counter()
        soak_keys.configure(self)
        self.worker_proxies = [Proxy(self.loop, w.address) for w in self.workers]
        for worker, proxy in zip(self.workers, self.worker_proxies, strict=True):
            worker.address = proxy.address
        self.nodes = [self._make_node(f"n{i}") for i in range(NODES)]
        self.jobs = []
        # Names of the deadly tasks.
        self.deadly = set()
        self.cell.deadly = self.deadly.__contains__
        self.gangs = soak_gangs.FailingGangs(seed)
        self.crowds = soak_crowds.Crowds(seed)
        self.events = []
        self.failures = []
        self.is_load_over = False

    @property
    def workers(self):
        return list(self.cell.workers.values())

    def _make_node(self, name):
        store_proxy = Proxy(self.loop, self.cell.store.address)
        return Node(name, self.folder, store_proxy, self.cell.advice.server.address)

    def record_event(self, text):
        """Record a timestamped line for the report of a failed run."""
        self.events.append(f"{self.loop.now():.2f} {text}")

    def run(self):
        """Run the load under faults, end the faults and check; returns the failures."""
        try:
            for node in self.nodes:
                node.start()
            self._wait_serving()
            self._submit_next()
            self.submit_deadly_job(self.rng)
            soak_gangs.submit_failing_gang(self)
            soak_crowds.send_next_crowd(self)
            self._start_next_fault()
            soak_keys.call_with_unknown_key(self)
            self.loop.call_later(self.load_s / 2, lambda: soak_keys.withdraw_key(self))
            self.loop.run_until(lambda: False, self.load_s)
            self.is_load_over = True
            self._clear_faults()
            if self.check_waits:
                watch_waits(self)
            soak_keys.check_withdrawn_key(self, SETTLE_S)
            self._check_outcome()
        finally:
            self._kill_nodes()
            self.crowds.close()
        return self.failures

    def _wait_serving(self):
        body = {"spec": "", "steps": [{"count": 1, "cpu": 10}]}
        probe = SubmittedJob("f" * 16, body, soak_keys.choose_key(self))
        self.submit(probe, SETTLE_S / RETRY_S)
        if not self.loop.run_until(lambda: probe.is_accepted, SETTLE_S):
            self.failures.append("no node accepted a job before the first fault")

    # Load

    def _submit_next(self):
        if self.is_load_over:
            return
        rng = self.rng
        steps = [
            {"count": rng.randint(1, 4), "cpu": 1_000, "mem_mb": 64, "estimate_ms": 300}
            for _ in range(rng.randint(1, 2))
        ]
        if len(steps) > 1:
            steps[1]["after"] = [0]
        if rng.random() < 0.2:
            steps[0]["gang"] = True
        job_id, body = f"{rng.getrandbits(64):016x}", {"spec": "s", "steps": steps}
        job = SubmittedJob(job_id, body, soak_keys.choose_key(self))
        self.jobs.append(job)
        self.submit(job)
        self.loop.call_later(SUBMIT_INTERVAL_S, self._submit_next)

    def submit_doomed_job(self, job_id, step, owner):
        """Submit a job of one step that is to fail."""
        job = SubmittedJob(job_id, {"spec": "s", "steps": [step]}, owner, "failed")
        self.jobs.append(job)
        self.submit(job)

    def submit_deadly_job(self, rng):
        """Submit a job with one deadly task."""
        job_id, count = f"{rng.getrandbits(64):016x}", rng.randint(1, 4)
        step = {"count": count, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 300}
        self.deadly.add(f"{job_id}.0.0.{rng.randrange(count)}")
        self.submit_doomed_job(job_id, step, soak_keys.choose_key(self))

    def submit(self, job, attempts=MAX_ATTEMPTS):
        """Submit a job; retry with the same id until it is accepted.

        Makes at most ``attempts`` attempts, and none after the load has ended.
        """

        def done(result):
            job.statuses.append(result.status)
            soak_keys.check_status(self, job.key, result.status)
            if result.status != 200 and attempts > 1 and not self.is_load_over:
                self.loop.call_later(RETRY_S, lambda: self.submit(job, attempts - 1))

        self.send(self.rng.choice(self.nodes), "POST", job.id, job.key, done, job.body)

    def send(self, node, method, job_id, key, on_done, body=None):
        """Send one call to a node; ``on_done`` gets the HttpResult."""
        self.client.request_json(
            node.address,
            method,
            f"/{self.gangs.queues.get(job_id, 'jobs')}/{job_id}",
            on_done,
            value=body,
            headers=soak_keys.headers_of(key),
            timeout_s=CALL_LIMIT_S,
        )

    # Faults

    def _start_next_fault(self):
        if self.is_load_over:
            return
        fault = self.rng.choice(FAULTS)
        duration_s = self.rng.uniform(0.2, FAULT_MAX_S)
        end = fault(self, self.rng)
        self.record_event(f"{fault.__name__[1:]} for {duration_s:.2f} s")
        if end is not None:
            self.loop.call_later(duration_s, end)
        self.loop.call_later(
            self.rng.uniform(0, 2 * FAULT_INTERVAL_S), self._start_next_fault
        )

    def _clear_faults(self):
        self.record_event("calm")
        store = self.cell.store
        store.down, store.slow_s, store.lose_answer_rate = False, 0.0, 0.0
        for proxy in (*self.worker_proxies, *(n.store_proxy for n in self.nodes)):
            proxy.clear_faults()
        for worker in self.workers:
            worker.silent = False
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            restart(self, node)

    # Checks

    def _check_outcome(self):
        """Wait until all accepted jobs have ended, then check all guarantees."""
        accepted = [job for job in self.jobs if job.is_accepted]

        def poll_jobs():
            for job in accepted:
                if not job.has_ended:
                    self.send(
                        self.rng.choice(self.nodes),
                        "GET",
                        job.id,
                        soak_keys.current_key(job.workspace),
                        lambda result, job=job: _update_job_state(job, result),
                    )
            self.loop.call_later(1.0, poll_jobs)

        poll_jobs()
        self.loop.run_until(lambda: all(job.has_ended for job in accepted), SETTLE_S)
        for job in accepted:
            if not job.has_ended:
                self.failures.append(
                    f"{job.id} was accepted, but its state is {job.state} instead of"
                    f" {job.outcome}"
                )
        self.failures += self.cell.violations
        soak_gangs.check_attempts(self)
        started = {task.split(".")[0] for _, task, _ in self.cell.starts}
        for job in self.jobs:
            if job.statuses and job.is_refused and job.id in started:
                self.failures.append(
                    f"{job.id} ran although it was refused: {job.statuses}"
                )
        self.failures += [
            f"ROUTE: {job_id} with an unknown key ran"
            for job_id in self.unknown_key_ids
            if job_id in started
        ]
        self.loop.run_until(
            lambda: not any(n.exit_expected for n in self.nodes), SETTLE_S
        )
        for node in self.nodes:
            self._check_node(node)

    def _check_node(self, node):
        code = node.popen.poll()
        if code is not None:
            self.failures.append(f"{node.name} exited unexpectedly with code {code}")
        self.check_memory(node)

    def check_memory(self, node):
        """Check the peak of the node's process, which a restart would forget."""
        if node.rss_kb() > MAX_RSS_KB:
            self.failures.append(f"{node.name} used {node.rss_kb()} KiB of memory")

    def _kill_nodes(self):
        for node in self.nodes:
            if node.popen is not None and node.popen.poll() is None:
                node.popen.kill()
                node.popen.wait()


def _update_job_state(job, result):
    answer = result.json() if result.status == 200 else None
    if isinstance(answer, dict):
        job.state = answer.get("state")


def run_seed(seed, folder, load_s=LOAD_S, check_waits=False):
    """Run one seed with ``load_s`` seconds of load; returns (failures, Soak).

    ``check_waits`` adds a check in real time, which needs a machine that is not busy.
    """
    soak = Soak(seed, folder, load_s, check_waits)
    return soak.run(), soak


def main(argv=None):
    """Run consecutive seeds; returns the exit code, 1 if any seed failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=LOAD_S)
    args = parser.parse_args(argv)
    failed_seeds = 0
    for seed in range(args.seed, args.seed + args.seeds):
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        failures, soak = run_seed(seed, folder, args.seconds, check_waits=True)
        accepted = sum(job.is_accepted for job in soak.jobs)
        print(
            f"seed {seed}: {len(soak.jobs)} jobs, {accepted} accepted,"
            f" {len(soak.cell.starts)} starts, {soak.cell.crashes.deadly} crashes by"
            f" {len(soak.deadly)} deadly tasks,"
            f" {soak.unknown_key_statuses[401]} calls with unknown keys refused,"
            f" {soak.cell.peak_use} of the cap used, {len(failures)} failures",
            flush=True,
        )
        if failures:
            failed_seeds += 1
            print("\n".join(failures[:10]))
            print(f"node logs are in {folder}; events of the run:")
            print("\n".join(soak.events), flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    raise SystemExit(main())
