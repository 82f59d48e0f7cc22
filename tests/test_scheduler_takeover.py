"""Guards against urgent jobs that cannot preempt tasks after a takeover.

A worker may report its tasks before the new owner has listed their jobs.
"""

import random

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Not

from cornelward import task_scheduler as core
from cornelward.platform_client import Row
from cornelward.router import Identity
from cornelward.settings import SCHEDULER_DEFAULTS, takeover_time_s
from cornelward.task_effects import RenewWorker, Txn
from tests.fixtures_tasks import make_cell, make_job

FD = "a1"
DEMAND = {"cpu": 4, "memory_mb": 100, "accelerators": 0}
WORKER = {"id": "w", "kind": "worker", "failure_domain": FD, "state": "live"}
WORKER |= {"address": "127.0.0.1:1", "rack": "r", **DEMAND}
OBJECTS = [
    {"kind": "policy", "name": "b", "type": "batch", "preemptible": True},
    {"kind": "policy", "name": "u", "type": "batch", "urgent": True},
    {"kind": "workload", "name": "b", "type": "batch", "policy": "b", "team": "t"},
    {"kind": "workload", "name": "u", "type": "batch", "policy": "u", "team": "t"},
]


def job_row(name, workload, **task):
    queued = {"state": "queued", "worker": None, "attempt": 0, "epoch": 0}
    record = {
        "id": name,
        "key": None,
        "workload": workload,
        "type": "batch",
        "team": "t",
        "state": "queued",
        "reason": "",
        "verdict": None,
        "demand": DEMAND,
        "run": {},
        "submitted_ms": 0,
        "nonce": name,
        "tasks": [{"task": f"{name}.0", **queued, **task}],
    }
    return Row(f"jobs/{FD}/{name}", record, 1)


def report(epoch, running):
    body = {"clock_ms": 1_000, "epoch": epoch, "capacity": DEMAND, "state": "live"}
    return {**body, "running": running, "finished": []}


def test_urgent_job_preempts_task_reported_before_its_job_was_listed():
    identity = Identity("s1", 1, FD, "a", "127.0.0.1:2", "127.0.0.1:3")
    state = core.new_scheduler(SCHEDULER_DEFAULTS, identity, random.Random(1))
    core.update_config(state, 0, 1, OBJECTS)
    core.update_members(state, 0, [WORKER])
    effects = core.row_read(state, 1, 1, f"owners/{FD}", Row(f"owners/{FD}", None, 0))
    takeover = next(e for e in effects if isinstance(e, Txn))
    versions = {key: 2 for key, _ in takeover.puts}
    effects = core.txn_done(state, 1, 1, takeover.txn_id, versions)
    assert_that([type(e) for e in effects], Contains(RenewWorker))
    running = [{"task": "old.0", "attempt": 1, **DEMAND}]
    core.lease_reply(state, 1.01, 1, "w", 200, report(1, running))
    jobs = [
        job_row("old", "b", state="running", worker="w", attempt=1),
        job_row("new", "u"),
    ]
    effects = core.rows_listed(state, 1.02, 1, f"jobs/{FD}/", jobs)
    effects += core.lease_reply(state, 1.05, 1.03, "w", 200, report(1, running))
    effects += core.tick(state, 1.25)
    bodies = [getattr(effect, "body", {}) for effect in effects]
    actions = [body.get("action") for body in bodies]
    assert_that(actions, Contains("checkpoint"))


SHORT = {
    "owner_renew_s": 0.5,
    "owner_poll_s": 0.25,
    "owner_lease_s": 1.5,
    "worker_renew_s": 0.5,
}


def runs_after_owner_death(seed, worker_lease_s):
    """Return {task: number of its runs} if the owner dies while long tasks run."""
    cfg = {**SHORT, "worker_lease_s": worker_lease_s}
    cell = make_cell(schedulers=("s1", "s2"), seed=seed, cfg=cfg)
    counts = {}

    def on_start(now, worker, task, attempt, body):
        counts[task] = counts.get(task, 0) + 1

    cell.on_start = on_start
    record = make_job("long", tasks=6, run={"run_s": 20.0})
    cell.at(6.0, lambda: cell.submit(record))
    owner = []

    def kill_owner():
        owner.extend(
            name for name, c in cell.cores.items() if c.owner_lease.role == "owner"
        )
        cell.remove_scheduler(owner[0])

    cell.at(10.0 + random.Random(seed).random(), kill_owner)
    cell.run(45.0)
    assert_that(owner, HasLength(1))
    return counts


def test_lease_of_a_worker_outlasts_a_takeover():
    # With a lease of 3.0 s tasks ran twice: the successor renewed it too late. The
    # interval is the one of the settings' check, so that no valid settings allow it.
    least_s = SHORT["worker_renew_s"] + takeover_time_s({**SCHEDULER_DEFAULTS, **SHORT})
    once = {f"long/{i}": 1 for i in range(6)}
    for seed in range(20, 40):
        assert_that(runs_after_owner_death(seed, least_s), Equals(once))
    assert_that(runs_after_owner_death(31, 3.0), Not(Equals(once)))
