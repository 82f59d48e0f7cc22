"""Runs real schedulers, stand-in workers and a stand-in platform through failures.

Guards against a task that runs twice at a time, a worker loaded beyond its capacity and
an accepted job that never ends. What ran is read from the workers' record files.
"""

import itertools
import json
import signal
import time
from pathlib import Path

import pytest
from processes import call_json, call_text, launcher, wait_until  # noqa: F401
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Not

FAILURE_DOMAIN = "a1"
# Shorter leases than in production keep the tests short. The lease of a worker must
# outlast a takeover, and leave some time for calls of busy processes.
SHORT_INTERVALS = {
    "owner_renew_s": 0.5,
    "owner_poll_s": 0.25,
    "owner_lease_s": 1.5,
    "worker_renew_s": 0.5,
    "worker_lease_s": 6.0,
    "inbox_poll_s": 0.5,
    "platform_timeout_s": 1.0,
}
CAPACITY = {"cpu": 4, "memory_mb": 4_000, "accelerators": 0}
OBJECTS = [
    {"kind": "policy", "name": "p", "type": "batch"},
    {"kind": "team", "name": "t"},
    {
        "kind": "workload",
        "name": "w",
        "type": "batch",
        "policy": "p",
        "pool": "workers",
        "team": "t",
    },
]


class Cell:
    """Processes of one failure domain: a platform, schedulers and workers."""

    def __init__(self, programs, schedulers=2, workers=3):
        self.programs = programs
        self.folder = programs.folder
        self.platform = programs.start("standins.platform", {})
        self.txn([["config/head", {"version": 1}], ["config/doc/1", document()]])
        self.workers = [self.start_worker(i) for i in range(workers)]
        self.schedulers = [self.start_scheduler(i) for i in range(schedulers)]
        self.job_ids = []
        self.killed_at = {}

    def start_worker(self, index):
        settings = {
            "id": f"w{index}",
            "failure_domain": FAILURE_DOMAIN,
            "region": "a",
            "rack": f"rack{index}",
            "platform_address": self.platform.address,
            "record_file": str(self.folder / f"record-w{index}"),
            **CAPACITY,
        }
        return self.programs.start("standins.worker", settings)

    def start_scheduler(self, index):
        settings = {
            "id": f"s{index}",
            "failure_domain": FAILURE_DOMAIN,
            "region": "a",
            "platform_address": self.platform.address,
            **SHORT_INTERVALS,
        }
        return self.programs.start("cornelward.scheduler", settings)

    def txn(self, puts, checks=()):
        body = {"checks": list(checks), "puts": puts, "deletes": []}
        return call_json(self.platform.address, "POST", "/txn", body)

    def switch(self, **changes):
        call_json(self.platform.address, "POST", "/switch", changes)

    def insert_job(self, name, tasks=1, ms=200, cpu=1, **fields):
        """Insert a job as an entry does (its row and its inbox row); return its id."""
        job_id = f"{FAILURE_DOMAIN}.{name}"
        record = {
            "id": job_id,
            "key": None,
            "workload": "w",
            "type": "batch",
            "team": "t",
            "state": "queued",
            "reason": "",
            "verdict": None,
            "demand": {"cpu": cpu, "memory_mb": 100, "accelerators": 0},
            "run": {"ms": ms},
            "submitted_ms": 0,
            "nonce": name,
            "tasks": [queued_task(f"{job_id}.{i}") for i in range(tasks)],
            **fields,
        }
        inbox = [f"inbox/{FAILURE_DOMAIN}/{job_id}/submit", {"op": "submit"}]
        status, _ = self.txn([[f"jobs/{FAILURE_DOMAIN}/{job_id}", record], inbox])
        assert_that(status, Equals(200))
        self.job_ids.append(job_id)
        return job_id

    def final_record(self, job_id):
        """Return the final record of a job, or None while it has not ended."""
        try:
            path = f"/table/done/{FAILURE_DOMAIN}/{job_id}"
            return call_json(self.platform.address, "GET", path)[1].get("value")
        except OSError:
            return None

    def wait_done(self):
        """Wait until every inserted job has ended; return their final records."""
        return [
            wait_until(
                lambda job_id=job_id: self.final_record(job_id), f"{job_id} in done/"
            )
            for job_id in self.job_ids
        ]

    def owner(self):
        """Return the scheduler that reports authority as a loaded owner, or None."""
        for program in self.schedulers:
            try:
                state = call_json(program.address, "GET", "/state", timeout_s=1)[1]
            except OSError:
                continue
            owner = state["scheduler"]["owner"]
            if owner["authority"] and owner["loaded"]:
                return program
        return None

    def wait_owner(self, other_than=None):
        return wait_until(
            lambda: (owner := self.owner()) is not other_than and owner, "an owner"
        )

    def kill(self, program):
        program.kill()
        self.killed_at[program.settings["id"]] = time.monotonic()

    def executions(self):
        """Return [task, attempt, worker, start, end] of each execution."""
        found = {}
        for path in sorted(Path(self.folder).glob("record-*")):
            for line in path.read_text(encoding="utf-8").splitlines():
                event, worker, task, attempt, at, _ = json.loads(line)
                if event == "start":
                    end = self.killed_at.get(worker, time.monotonic())
                    found[worker, task, attempt] = [task, attempt, worker, at, end]
                else:
                    found[worker, task, attempt][4] = at
        return list(found.values())

    def started_count(self):
        """Return how many executions have started so far."""
        return len(self.executions())


def document():
    return {"version": 1, "objects": OBJECTS}


def queued_task(name):
    state = {"state": "queued", "worker": None, "attempt": 0, "epoch": 0}
    return {"task": name, **state}


@pytest.fixture
def cell(launcher):  # noqa: F811
    return Cell(launcher)


def assert_guarantees(cell):
    """Check guarantees 1 and 2 on the workers' records.

    No task runs twice at a time or under one attempt number, and no worker is loaded
    beyond its capacity.
    """
    executions = cell.executions()
    by_task = {}
    by_worker = {}
    for task, attempt, worker, start, end in executions:
        by_task.setdefault(task, []).append((start, end, attempt, worker))
        by_worker.setdefault(worker, []).extend([(start, 1, task), (end, -1, task)])
    for task, runs in by_task.items():
        runs.sort()
        for earlier, later in itertools.pairwise(runs):
            assert earlier[1] <= later[0], f"{task} ran in two places at once: {runs}"
        attempts = [run[2] for run in runs]
        assert_that(attempts, HasLength(len(set(attempts))))
    for worker, steps in by_worker.items():
        load = list(itertools.accumulate(s[1] for s in sorted(steps)))
        assert max(load) <= CAPACITY["cpu"], f"{worker} ran {max(load)} tasks at once"
    for program in cell.workers:
        if program.settings["id"] not in cell.killed_at:
            refusals = call_json(program.address, "GET", "/record")[1]["refusals"]
            assert_that(refusals["capacity"], Equals(0))


@pytest.mark.proof
def test_jobs_end_in_done_and_run_once(cell):
    cell.insert_job("one")
    cell.insert_job("many", tasks=30, ms=300)
    states = {record["state"] for record in cell.wait_done()}
    assert_that(states, Equals({"succeeded"}))
    assert_that(cell.executions(), HasLength(31))
    assert_guarantees(cell)


@pytest.mark.proof
def test_successor_of_a_killed_owner_adopts_its_tasks(cell):
    cell.insert_job("long", tasks=6, ms=6_000)
    cell.insert_job("short", tasks=60, ms=200)
    wait_until(lambda: cell.started_count() >= 12, "tasks run")
    owner = cell.wait_owner()
    owner.kill()
    cell.wait_owner(other_than=owner)
    states = {record["state"] for record in cell.wait_done()}
    assert_that(states, Equals({"succeeded"}))
    long_runs = [e for e in cell.executions() if ".long." in e[0]]
    # The successor adopted the tasks: each ran once.
    assert_that(long_runs, HasLength(6))
    assert_guarantees(cell)


@pytest.mark.proof
def test_owner_frozen_past_its_lease_does_nothing_when_it_resumes(cell):
    cell.insert_job("work", tasks=60, ms=400)
    wait_until(lambda: cell.started_count() >= 6, "tasks run")
    owner = cell.wait_owner()
    owner.signal(signal.SIGSTOP)
    cell.wait_owner(other_than=owner)
    cell.insert_job("more", tasks=20, ms=400)
    wait_until(lambda: cell.started_count() >= 20, "the successor starts tasks")
    owner.signal(signal.SIGCONT)
    states = {record["state"] for record in cell.wait_done()}
    assert_that(states, Equals({"succeeded"}))

    def stepped_down():
        state = call_json(owner.address, "GET", "/state")[1]
        return state["scheduler"]["owner"]["role"] == "standby"

    wait_until(stepped_down, "the former owner is on standby")
    assert_guarantees(cell)


@pytest.mark.proof
def test_platform_outage_keeps_tasks_running_and_starts_nothing(cell):
    cell.insert_job("long", tasks=4, ms=16_000)
    wait_until(lambda: cell.started_count() == 4, "tasks run")
    cell.insert_job("next", tasks=8, ms=200, cpu=4)
    cell.switch(down=True)
    down_at = time.monotonic()
    # The outage is longer than the worker lease, so that only renewals keep the tasks
    # running.
    wait_until(
        lambda: time.monotonic() - down_at > 2 * SHORT_INTERVALS["worker_lease_s"],
        "the outage lasts two worker leases",
    )
    # A task recorded as starting before the outage may still start shortly after it
    # began.
    late = [
        e
        for e in cell.executions()
        if e[3] > down_at + SHORT_INTERVALS["owner_lease_s"]
    ]
    assert_that(late, Equals([]))
    cell.switch(down=False)
    states = {record["state"] for record in cell.wait_done()}
    assert_that(states, Equals({"succeeded"}))
    assert_that([e for e in cell.executions() if ".long." in e[0]], HasLength(4))
    assert_guarantees(cell)


@pytest.mark.proof
def test_slow_platform_that_loses_answers_repeats_nothing(cell):
    cell.wait_owner()
    cell.switch(slow_ms=150)
    for i in range(4):
        cell.insert_job(f"job{i}", tasks=10, ms=150)
    # Set only now, or the answers of the insertions above would be lost too.
    cell.switch(lose_answers=12)
    states = {record["state"] for record in cell.wait_done()}
    assert_that(states, Equals({"succeeded"}))
    assert_that(cell.executions(), HasLength(40))
    assert_guarantees(cell)


@pytest.mark.proof
def test_tasks_of_a_killed_or_frozen_worker_run_again_elsewhere(cell):
    # Twelve tasks fill three workers of four processors, so that at least one of the
    # five tasks that must not be repeated is on one of the two workers that fail.
    cell.insert_job("work", tasks=7, ms=8_000)
    lost_id = cell.insert_job("once", tasks=5, ms=8_000, repeatable=False)
    wait_until(lambda: cell.started_count() == 12, "tasks run")
    cell.kill(cell.workers[0])
    cell.workers[1].signal(signal.SIGSTOP)
    wait_until(lambda: cell.started_count() > 12, "a task has been restarted")
    cell.workers[1].signal(signal.SIGCONT)
    records = {record["id"]: record for record in cell.wait_done()}
    assert_that(records[f"{FAILURE_DOMAIN}.work"]["state"], Equals("succeeded"))
    assert_that(cell.started_count(), GreaterThan(12))
    once = [e for e in cell.executions() if ".once." in e[0]]
    assert_that([e[1] for e in once], Not(Contains(2)))
    assert_that(records[lost_id]["state"], Contains("lost"))
    assert_guarantees(cell)


def test_graceful_shutdown_hands_over_at_once(cell):
    cell.insert_job("long", tasks=4, ms=4_000)
    wait_until(lambda: cell.started_count() == 4, "tasks run")
    owner = cell.wait_owner()
    assert_that(owner.stop(), Equals(0))
    assert_that(owner.output(), Equals(""))
    row = call_json(cell.platform.address, "GET", f"/table/owners/{FAILURE_DOMAIN}")[1]
    assert_that(row["value"]["owner"], Not(Equals(owner.settings["id"])))
    cell.wait_owner(other_than=owner)
    assert_that(cell.wait_done()[0]["state"], Equals("succeeded"))
    assert_that(cell.executions(), HasLength(4))
    assert_guarantees(cell)


def test_both_roles_serve_health_metrics_and_state(cell):
    cell.insert_job("one")
    cell.wait_done()
    owner = cell.wait_owner()
    for program in cell.schedulers:
        wait_until(
            lambda address=program.address: (
                call_json(address, "GET", "/readyz")[0] == 200
            ),
            "the scheduler is ready",
        )
        assert_that(call_json(program.address, "GET", "/healthz")[0], Equals(200))
        assert_that(call_json(program.address, "GET", "/none")[0], Equals(404))
        text = call_text(program.address, "/metrics")
        role = "1.0" if program is owner else "0.0"
        assert_that(text, Contains(f"\ncornelward_owner {role}\n"))
        assert_that(text, Contains('cornelward_platform_calls_total{operation="get"'))
    text = call_text(owner.address, "/metrics")
    for name in (
        "cornelward_owner_lease_age_seconds ",
        "cornelward_scheduler_starts_total 1.0",
        'cornelward_packing_ratio{resource="cpu"} 0.0',
        'cornelward_worker_calls_total{operation="start",outcome="200"} 1.0',
        "cornelward_loop_lag_seconds_count ",
    ):
        assert_that(text, Contains(name))
