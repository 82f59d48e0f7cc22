"""Tests the guarantees of the task scheduler's core under seeded faults.

Two or three schedulers compete for one failure domain while answers are lost or late,
schedulers pause and restart, workers die or fail tasks, and the table is down. The
model worker checks only epoch and lease.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Not

from cornelward import task_reports, task_scheduler
from tests.fixtures_tasks import make_cell, make_job
from tools.task_model import Faults

FAULTS_S = 80
RECOVERY_S = 160
FAULT_KINDS = ("pause", "pause", "worker", "worker", "outage", "restart", "failing")
FINAL_STATES = ("succeeded", "failed", "cancelled", "refused", "lost")


class GuaranteeRecorder:
    """Records violations of the guarantees, final job records and runs of a cell."""

    def __init__(self, cell):
        self.cell = cell
        self.violations = []
        self.final_records = {}
        self.running_at = {}
        self.run_counts = {}
        cell.on_start = self.on_start
        cell.on_end = self.on_end
        cell.table.on_put = self.on_put

    def on_start(self, now, worker, task, attempt, body):
        if task in self.running_at:
            self.violations.append(
                ("two places", task, self.running_at[task], worker.id)
            )
        self.running_at[task] = (worker.id, attempt)
        self.run_counts[task] = self.run_counts.get(task, 0) + 1
        for kind in ("cpu", "memory_mb"):
            used = sum(run["demand"][kind] for run in worker.running.values())
            if used > worker.capacity[kind]:
                self.violations.append(("capacity", worker.id, kind, used))
        job_id = task.split("/")[0]
        row = self.cell.table.get(f"jobs/fd/{job_id}")
        items = row.value["tasks"] if row.version else []
        recorded = [
            item
            for item in items
            if (item["task"], item["attempt"], item["worker"])
            == (task, attempt, worker.id)
            and item["state"] in ("starting", "running")
        ]
        if not recorded:
            self.violations.append(("no starting row", task, attempt, worker.id))

    def on_end(self, now, worker, task, attempt, ok):
        if self.running_at.get(task) == (worker.id, attempt):
            del self.running_at[task]

    def on_put(self, key, value):
        if key.startswith("done/"):
            self.final_records.setdefault(value["id"], []).append(value)


def add_jobs(cell, rng, count):
    """Schedule submissions of jobs of all types, and some cancellations.

    The submissions fall within ``FAULTS_S``. Return the job ids.
    """
    ids = []
    for number in range(count):
        job_type = rng.choice(["batch", "batch", "service", "gang"])
        tasks = rng.randrange(1, 5)
        record = make_job(
            f"j{number}",
            tasks=tasks,
            cpu=rng.choice([1, 2, 4, 6]),
            type=job_type,
            workload=rng.choice(["w", "w", "w", "u"]),
            team=rng.choice(["t", "small"]),
            repeatable=rng.random() < 0.8,
            run={"run_s": rng.uniform(0.5, 12.0), "ok": rng.random() < 0.95},
        )
        ids.append(record["id"])
        at = rng.uniform(1, FAULTS_S)
        cell.at(at, lambda record=record: cell.submit(record))
        if rng.random() < 0.15:
            cancel_at = at + rng.uniform(0, 15)
            cell.at(cancel_at, lambda i=record["id"]: cell.cancel(i))
    return ids


def add_faults(cell, rng):
    """Schedule pauses, restarts, worker faults and outages within ``FAULTS_S``."""

    def set_down(down):
        cell.table.down = down

    def set_failing(worker, failing):
        cell.workers[worker].fail_all = failing

    def restart(name, incarnation):
        if name in cell.cores:
            cell.remove_scheduler(name)
            delay = rng.uniform(0, 10)
            cell.at(cell.now + delay, lambda: cell.add_scheduler(name, incarnation))

    for number in range(rng.randrange(4, 10)):
        at = rng.uniform(5, FAULTS_S)
        kind = rng.choice(FAULT_KINDS)
        length = rng.choice([0.5, 3, 6, 12, 20]) * rng.uniform(0.8, 1.2)
        name = rng.choice(sorted(cell.cores))
        worker = rng.choice(sorted(cell.workers))
        if kind == "pause":
            cell.at(at, lambda n=name, t=at + length: cell.pause(n, t))
        elif kind == "worker":
            cell.at(at, lambda w=worker: cell.kill(w))
            cell.at(at + length, lambda w=worker: cell.revive(w))
        elif kind == "failing":
            cell.at(at, lambda w=worker: set_failing(w, True))
            cell.at(at + length, lambda w=worker: set_failing(w, False))
        elif kind == "outage":
            cell.at(at, lambda: set_down(True))
            cell.at(at + length, lambda: set_down(False))
        else:
            cell.at(at, lambda n=name, i=number + 2: restart(n, i))


def run_seed(seed):
    """Run one seeded schedule; return the cell, its recorder and the job ids."""
    rng = random.Random(seed)
    names = ("s1", "s2", "s3")[: rng.choice([2, 3])]
    faults = Faults(
        lose_request=rng.choice([0, 0.02, 0.1]),
        lose_answer=rng.choice([0, 0.02, 0.1]),
        late=rng.choice([0, 0.05]),
    )
    cell = make_cell(schedulers=names, seed=seed, faults=faults)
    recorder = GuaranteeRecorder(cell)
    ids = add_jobs(cell, rng, 25)
    add_faults(cell, rng)
    cell.run(FAULTS_S)
    cell.faults = Faults()
    cell.run(FAULTS_S + RECOVERY_S)
    return cell, recorder, ids


def unfinished(cell, recorder, ids):
    """Return the ids of jobs without exactly one final record, or with a row left."""
    return [
        job_id
        for job_id in ids
        if len({value["nonce"] for value in recorder.final_records.get(job_id, ())})
        != 1
        or recorder.final_records[job_id][0]["state"] not in FINAL_STATES
        or cell.table.get(f"jobs/fd/{job_id}").version
    ]


@pytest.mark.proof
@pytest.mark.parametrize("seed", range(40))
def test_guarantees_hold_under_faults(seed):
    """Guards guarantees 1, 2 and 5 of tasks, and against jobs that do not end."""
    cell, recorder, ids = run_seed(seed)
    assert_that(recorder.violations, HasLength(0))
    assert_that(unfinished(cell, recorder, ids), Equals([]))
    records = {job_id: recorder.final_records[job_id][0] for job_id in ids}
    repeated = [
        task
        for task, count in recorder.run_counts.items()
        if count > 1 and not records[task.split("/")[0]]["repeatable"]
    ]
    assert_that(repeated, HasLength(0))


def violations_of(seeds):
    found = [run_seed(seed)[1].violations for seed in seeds]
    return [kind for violations in found for kind, *_ in violations]


def test_check_finds_restarts_before_the_lease_expired(monkeypatch):
    """The check must find tasks restarted before the lease of their worker expired."""

    def early(worker, owner_lease, cfg):
        return (worker.reported_at or owner_lease.owner_since) + 2.5

    monkeypatch.setattr(task_reports, "lapse_at", early)
    monkeypatch.setattr(task_scheduler, "lapse_at", early)
    assert_that("two places" in violations_of(range(8)), Equals(True))


def test_check_finds_a_start_without_the_epoch_gate(monkeypatch):
    """The check must find a new owner that acts before a worker has answered it.

    Without the epoch gate, the successor treats a ``starting`` task of the former owner
    as not started, although the worker still accepts the former owner's late command.
    """
    listed = task_scheduler.jobs_listed

    def listed_without_gate(state, now, rows):
        listed(state, now, rows)
        for tasks in list(state.assigned.values()):
            for task in list(tasks.values()):
                if task.epoch < state.owner_lease.epoch and task.state == "starting":
                    task_reports.lose_task(state, task, "not started")

    monkeypatch.setattr(task_scheduler, "jobs_listed", listed_without_gate)
    assert_that(violations_of(range(20)), Not(HasLength(0)))


def make_recorded_cell():
    """Return a cell of two schedulers after 5 s, its recorder and the owner's name."""
    cell = make_cell(schedulers=("s1", "s2"))
    recorder = GuaranteeRecorder(cell)
    cell.run(5)
    owner = next(
        name for name, core in cell.cores.items() if core.owner_lease.role == "owner"
    )
    return cell, recorder, owner


@pytest.mark.proof
@pytest.mark.parametrize("step", range(24))
def test_owner_paused_past_its_lease_at_every_step_of_a_start(step):
    """Guards against a paused owner that starts the tasks of its successor again."""
    cell, recorder, owner = make_recorded_cell()
    for number in range(3):
        cell.submit(make_job(f"j{number}", tasks=3, cpu=2, run={"run_s": 20.0}))
    cell.at(5 + step * 0.0015, lambda: cell.pause(owner, cell.now + 9))
    cell.run(120)
    assert_that(recorder.violations, HasLength(0))
    assert_that(unfinished(cell, recorder, ["j0", "j1", "j2"]), Equals([]))


@pytest.mark.proof
@pytest.mark.parametrize("lost", range(1, 14))
@pytest.mark.parametrize("applied", [True, False])
def test_lost_answer_of_every_transaction_is_read_back(lost, applied):
    """Guards against a start that is based on a write whose result is unknown."""
    cell, recorder, _ = make_recorded_cell()
    write, count = cell.table.txn, [0]

    def txn(checks, puts, deletes):
        count[0] += 1
        if count[0] != lost:
            return write(checks, puts, deletes)
        if applied:
            write(checks, puts, deletes)
        return None

    cell.submit(make_job("j0", tasks=3, run={"run_s": 3.0}))
    cell.table.txn = txn
    cell.run(60)
    assert_that(recorder.violations, HasLength(0))
    assert_that(unfinished(cell, recorder, ["j0"]), Equals([]))
    assert_that(recorder.run_counts, Equals({f"j0/{number}": 1 for number in range(3)}))
