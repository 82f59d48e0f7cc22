"""Tests of the whole task core in virtual time."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    AllMatch,
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
)

from cornelward import task_scheduler as core
from tests.fixtures_tasks import cell, done_record, done_state, make_cell, make_job

__all__ = ["cell"]


def record_starts(cell):
    """Return a list that collects (time, worker, task, attempt) of each execution."""
    starts = []
    cell.on_start = lambda now, worker, task, attempt, body: starts.append(
        (now, worker.id, task, attempt)
    )
    return starts


def test_job_runs_and_ends_with_one_final_record(cell):
    """Guards against jobs that never start, and rows that remain after their job."""
    cell.run(2)
    cell.submit(make_job("a", tasks=3))
    cell.run(15)
    assert_that(done_state(cell, "a"), Equals("succeeded"))
    left = [k for k in cell.table.rows if k.startswith(("jobs/", "inbox/"))]
    assert_that(left, Equals([]))


def test_nothing_starts_while_the_table_is_down_and_leases_are_renewed(cell):
    """Guards against starts without a stored record, and tasks that an outage stops."""
    starts = record_starts(cell)
    cell.run(2)
    cell.submit(make_job("long", run={"run_s": 60.0}))
    cell.run(4)
    cell.submit(make_job("late"))
    cell.table.down = True
    cell.run(45)
    assert_that([task for _, _, task, _ in starts], Equals(["long/0"]))
    cell.table.down = False
    cell.run(80)
    assert_that(done_state(cell, "long"), Equals("succeeded"))
    assert_that(done_state(cell, "late"), Equals("succeeded"))
    assert_that([s[3] for s in starts], AllMatch(Equals(1)))


def test_successor_adopts_running_tasks():
    """Guards against a takeover that restarts or stops running tasks."""
    cell = make_cell(schedulers=("s1", "s2"))
    starts = record_starts(cell)
    cell.run(2)
    cell.submit(make_job("a", tasks=4, run={"run_s": 30.0}))
    cell.run(5)
    owner = next(n for n, c in cell.cores.items() if c.owner_lease.role == "owner")
    cell.remove_scheduler(owner)
    cell.run(50)
    assert_that(starts, HasLength(4))
    assert_that(done_state(cell, "a"), Equals("succeeded"))


@pytest.mark.parametrize(
    ("repeatable", "state"), [(True, "succeeded"), (False, "lost")]
)
def test_tasks_of_a_killed_worker_run_again_only_if_repeatable(cell, repeatable, state):
    """Guards against lost tasks, and second runs of tasks that must not be repeated."""
    starts = record_starts(cell)
    cell.run(2)
    cell.submit(make_job("a", run={"run_s": 20.0}, repeatable=repeatable))
    cell.run(5)
    _, worker, _, _ = starts[0]
    cell.kill(worker)
    cell.run(60)
    record = done_record(cell, "a")
    assert_that(record["state"], Equals(state))
    assert_that(record["verdict"], Equals("RAN" if repeatable else "MAY_HAVE_RUN"))
    assert_that([s[3] for s in starts], Equals([1, 2] if repeatable else [1]))
    if repeatable:
        # The second run must not start before the killed worker's lease has expired.
        assert_that(starts[1][0], GreaterThan(5 + 8))


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"cpu": 9}, "largest worker"),
        ({"memory_mb": 9000}, "largest worker"),
        ({"team": "small", "tasks": 4, "cpu": 4, "type": "gang"}, "quota"),
    ],
)
def test_job_that_can_never_run_is_refused(cell, fields, reason):
    """Guards against jobs that wait forever; the reason names the exceeded limit."""
    cell.run(3)
    cell.submit(make_job("a", **fields))
    cell.run(6)
    record = done_record(cell, "a")
    assert_that(record["state"], Equals("refused"))
    assert_that(record["verdict"], Equals("NOT_RUN"))
    assert_that(record["reason"], Contains(reason))


def test_work_over_quota_waits(cell):
    """Guards against a team that runs more than its quota at the same time."""
    peak = []
    cell.on_start = lambda now, *rest: peak.append(
        sum(len(worker.running) for worker in cell.workers.values())
    )
    cell.run(2)
    cell.submit(make_job("a", tasks=9, cpu=4, team="small"))
    cell.run(60)
    assert_that(done_state(cell, "a"), Equals("succeeded"))
    assert_that(max(peak), Equals(3))


def test_quota_counts_the_usage_of_other_owners(cell):
    """Guards against failure domains that each grant a team its full quota."""
    used = {"teams": {"small": {"cpu": 8, "memory_mb": 0, "accelerators": 0}}}
    cell.table.txn([], [["usage/other", used]], [])
    starts = record_starts(cell)
    cell.run(4)
    cell.submit(make_job("a", tasks=2, cpu=4, team="small", run={"run_s": 30}))
    cell.run(20)
    assert_that(starts, HasLength(1))


def test_urgent_job_preempts_batch_tasks(cell):
    """Guards the bound of 6.9 s until urgent tasks start in a full cell."""
    starts = record_starts(cell)
    cell.run(2)
    cell.submit(make_job("full", tasks=32, run={"run_s": 100.0}))
    cell.run(10)
    cell.submit(make_job("now", cpu=4, tasks=2, workload="u"))
    cell.run(30)
    urgent = [start for start in starts if start[2].startswith("now")]
    assert_that(urgent, HasLength(2))
    assert_that(urgent[-1][0], LessThan(10 + 6.9))
    assert_that(done_state(cell, "now"), Equals("succeeded"))
    cell.run(300)
    assert_that(done_state(cell, "full"), Equals("succeeded"))


def test_successor_can_preempt_adopted_tasks():
    """Guards against adopted tasks that are not preemptible after a takeover."""
    cell = make_cell(schedulers=("s1", "s2"))
    starts = record_starts(cell)
    cell.run(2)
    cell.submit(make_job("full", tasks=32, run={"run_s": 100.0}))
    cell.run(10)
    owner = next(n for n, c in cell.cores.items() if c.owner_lease.role == "owner")
    cell.remove_scheduler(owner)
    cell.run(20)
    cell.submit(make_job("now", cpu=4, workload="u"))
    cell.run(27)
    assert_that([start[2] for start in starts], Contains("now/0"))


def test_gang_is_not_starved_by_a_stream_of_small_jobs(cell):
    """Guards against backfill that delays the first gang indefinitely."""
    starts = record_starts(cell)
    cell.run(2)
    for number in range(400):
        job = make_job(f"s{number}", cpu=2, run={"run_s": 8.0})
        cell.at(2 + number * 0.3, lambda job=job: cell.submit(job))
    gang = make_job("gang", tasks=4, cpu=8, type="gang")
    cell.at(30, lambda: cell.submit(gang))
    cell.run(60)
    at = [start[0] for start in starts if start[2].startswith("gang")]
    assert_that(at, HasLength(4))
    assert_that(max(at) - min(at), LessThan(1.0))
    assert_that(max(at), LessThan(30 + 20.0))


def test_service_spreads_over_racks(cell):
    """Guards against a service that the failure of one rack stops completely."""
    starts = record_starts(cell)
    cell.run(2)
    cell.submit(make_job("web", tasks=2, type="service", run={"run_s": 1e9}))
    cell.run(4)
    racks = {cell.workers[worker].rack for _, worker, _, _ in starts}
    assert_that(racks, HasLength(2))


def test_worker_that_fails_all_tasks_is_quarantined(cell):
    """Guards against a worker that attracts tasks because failures free capacity."""
    starts = record_starts(cell)
    cell.workers["w0"].fail_all = True
    cell.run(2)
    for number in range(12):
        cell.submit(make_job(f"a{number}", tasks=4, cpu=2))
    cell.run(60)
    on_bad = [start for start in starts if start[1] == "w0"]
    assert_that(len(on_bad), LessThan(12))
    states = [done_state(cell, f"a{number}") for number in range(12)]
    assert_that(states, AllMatch(Equals("succeeded")))


def test_job_that_fails_everywhere_quarantines_no_worker(cell):
    """Guards against faulty jobs that quarantine healthy workers."""
    cell.run(2)
    for number in range(8):
        cell.submit(make_job(f"bad{number}", run={"run_s": 0.5, "ok": False}))
    cell.run(30)
    core_state = cell.cores["s1"]
    assert_that(
        [w.accepts for w in core_state.workers.by_id.values()], AllMatch(Equals(True))
    )
    assert_that(done_state(cell, "bad7"), Equals("failed"))


def test_many_cancellations_cost_constant_time_each(cell):
    """Guards against cancellations that scan queues or tasks."""
    cell.run(2)
    for number in range(300):
        cell.submit(make_job(f"a{number}", tasks=20, cpu=8))
    cell.run(6)
    decisions = cell.cores["s1"].stats["decisions"]
    for number in range(300):
        cell.cancel(f"a{number}")
    cell.run(40)
    states = {done_state(cell, f"a{number}") for number in range(300)}
    assert_that(states, Equals({"cancelled"}))
    assert_that(cell.cores["s1"].stats["decisions"] - decisions, LessThan(300))


def test_reported_usage_above_demand_reduces_free_capacity(cell):
    """Guards against workers overloaded by tasks that use more than their demand."""
    cell.run(2)
    heavy = {"run_s": 60.0, "used": {"cpu": 7.5, "memory_mb": 100}}
    cell.submit(make_job("heavy", tasks=4, cpu=5, run=heavy))
    cell.run(10)
    starts = record_starts(cell)
    cell.submit(make_job("more", tasks=1, cpu=2))
    cell.run(30)
    assert_that(starts, HasLength(0))


def test_leave_finishes_writes_and_releases_the_owner_row():
    """Guards against a planned shutdown after which a successor waits for the lease."""
    cell = make_cell(schedulers=("s1",))
    cell.run(2)
    cell.add_scheduler("s2")
    cell.submit(make_job("a", run={"run_s": 20.0}))
    cell.run(5)
    cell._event("s1", core.leave)
    cell.run(6)
    assert_that(core.has_left(cell.cores["s1"]), Equals(True))
    assert_that(cell.cores["s2"].owner_lease.role, Equals("owner"))
    cell.run(40)
    assert_that(done_record(cell, "a")["tasks"][0]["attempt"], Equals(1))


def test_dump_is_json_serializable(cell):
    """Guards against a state dump that cannot be encoded."""
    cell.run(2)
    cell.submit(make_job("a"))
    cell.run(4)
    state = cell.cores["s1"]
    value = core.dump(state, cell.now + cell.clocks["s1"])
    assert_that(msgspec.json.encode(value), Contains(b'"role":"owner"'))
