"""Fixtures for tests of the task core: small simulated cells in virtual time."""

import pytest

from tools.task_model import ModelWorker
from tools.task_replay import Replay

OBJECTS = [
    {"kind": "workload", "name": "w", "type": "batch", "policy": "p", "team": "t"},
    {"kind": "workload", "name": "u", "type": "batch", "policy": "urgent", "team": "t"},
    {"kind": "policy", "name": "p", "type": "batch"},
    {"kind": "policy", "name": "urgent", "type": "batch", "urgent": True},
    {"kind": "team", "name": "small", "quota": {"cpu": 12, "memory_mb": 4000}},
]


def make_job(job_id, tasks=1, cpu=1, memory_mb=100, **fields):
    """Return the record of a new job, as an entry writes it."""
    return {
        "id": job_id,
        "key": None,
        "workload": "w",
        "type": "batch",
        "team": "t",
        "state": "queued",
        "reason": None,
        "verdict": None,
        "tasks": [
            {"task": f"{job_id}/{i}", "state": "queued", "attempt": 0, "epoch": 0}
            for i in range(tasks)
        ],
        "demand": {"cpu": cpu, "memory_mb": memory_mb, "accelerators": 0},
        "run": {"run_s": 5.0},
        "submitted_ms": 0,
        "nonce": "",
        **fields,
    }


def run_declared(worker, task, attempt, body):
    """Return ``(run time in seconds, success, usage)`` of an execution.

    All are taken from the job's ``run`` object, by default 5 s, True and no usage.
    """
    run = body["run"]
    return run.get("run_s", 5.0), run.get("ok", True), run.get("used", {})


def make_cell(workers=4, cpu=8, memory_mb=8000, schedulers=("s1",), **options):
    """Return a Replay with the given schedulers and workers, two to a rack."""
    capacity = {"cpu": cpu, "memory_mb": memory_mb, "accelerators": 0}
    models = [
        ModelWorker(f"w{i}", f"rack{i // 2}", capacity, clock_s=1000.0 * i)
        for i in range(workers)
    ]
    replay = Replay(models, run_declared, **options)
    replay.objects = OBJECTS
    replay.version = 1
    for name in schedulers:
        replay.add_scheduler(name)
    return replay


def done_record(replay, job_id):
    """Return the job's final record, or None."""
    return replay.table.get(f"done/{replay.fd}/{job_id}").value


def done_state(replay, job_id):
    """Return the state in the job's final record, or None."""
    record = done_record(replay, job_id)
    return record and record["state"]


@pytest.fixture
def cell():
    return make_cell()
