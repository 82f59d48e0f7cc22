"""Tests of what counts as a failed run of a gang.

A run counts once, however many of its members end as failed, in whatever order and by
whichever leader their ends are read.
"""

import itertools

import pytest
from fixtures_dispatch import WAITING_SEEDS, Sim, make_worker, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cornelward import dispatch
from cornelward.job_records import (
    Record,
    TaskRecord,
    decode_record,
    encode_record,
    restore_record,
)
from cornelward.staged_jobs import WAITING, JobSpec, Queue, new_job

JOB = "a" * 16
MEMBERS, MAX_ATTEMPTS = 4, 3
QUEUE = Queue("q", "svc", 1, MAX_ATTEMPTS, 2.0, 1.0)
SEEDS = [0, WAITING_SEEDS[0]]
# How the members of a run end, but one that has failed.
ENDS = [
    hows
    for hows in itertools.product(("failed", "broken", "stopped"), repeat=MEMBERS)
    if "failed" in hows
]


def start_gang(seed, hows, delays=(0.0,) * MEMBERS, workers=MEMBERS):
    """Submit a gang to a cell of as many workers; its runs end as ``hows`` says."""
    sim = Sim(seed, workers=0)
    sim.fail_share = 0.0
    for i in range(workers):
        sim.add_worker(make_worker(f"w{i}", rack=f"r{i}"))
    sim.failing_jobs = {JOB}
    sim.draw_gang_ends = lambda step_name, attempt, count: list(hows)
    sim.gang_end_delays = lambda step_name, attempt, count: list(delays)
    sim.start_leader()
    sim.run(1.0)
    steps = steps_of(MEMBERS, gang=True, max_per_worker=-(-MEMBERS // workers))
    sim.submit(JOB, steps, QUEUE)
    return sim


def assert_failed_after_all_attempts(sim):
    """Check that the job is shown as failed after exactly MAX_ATTEMPTS failed runs."""
    assert_that(dispatch.state_of(sim.leader.core, JOB), Equals("failed"))
    assert_that(sim.attempts.most_failed_runs(JOB), Equals(MAX_ATTEMPTS))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("hows", ENDS, ids="-".join)
def test_run_of_a_gang_counts_once_however_its_members_end(hows):
    # Guards against a job shown as failed although it had attempts left (issue 50).
    sim = start_gang(0, hows)
    sim.run(30.0)
    assert_failed_after_all_attempts(sim)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("workers", [1, 2, 4])
@pytest.mark.parametrize(
    "delays", [(0.0, 0.02, 0.04, 0.06), (0.1, 0.0, 0.1, 0.0)], ids=str
)
def test_members_that_fail_apart_count_as_one_run(seed, workers, delays):
    sim = start_gang(seed, ["failed"] * MEMBERS, delays, workers)
    sim.run(30.0)
    assert_failed_after_all_attempts(sim)


def change_leaders_at_ends(sim, seed, seconds):
    """Replace the leader within 0.15 s after each first failed end of a run."""
    seen = 0
    for _ in range(int(seconds / 0.01)):
        sim.run(0.01)
        failed = sum(map(len, sim.attempts.failed.values()))
        if failed > seen:
            seen = failed
            sim.run(sim.rng.uniform(0.0, 0.15))
            sim.leader.dead = True
            sim.run(sim.rng.uniform(0.05, 1.0))
            sim.start_leader()


@pytest.mark.parametrize("seed", [*range(12), *WAITING_SEEDS[:6]])
@pytest.mark.parametrize("failed", [1, 2, MEMBERS])
def test_successor_does_not_count_a_run_again(seed, failed):
    # It may read one end of a run that its predecessor had counted by another.
    hows = ["failed"] * failed + ["broken"] * (MEMBERS - failed)
    sim = start_gang(seed, hows, (0.0, 0.05, 0.1, 0.0))
    change_leaders_at_ends(sim, seed, 50.0)
    sim.run(20.0)
    assert_failed_after_all_attempts(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_failed_end_counts_after_a_broken_one_was_recorded(seed):
    # The worker of the member that failed does not answer when the others end.
    hows = ["broken", "broken", "broken", "failed"]
    sim = start_gang(seed, hows, (0.0, 0.0, 0.0, 0.0))
    for _ in range(4_000):
        sim.run(0.01)
        sim.workers["w3"].silent = int(sim.now * 2) % 2 == 1
    sim.run(20.0)
    assert_failed_after_all_attempts(sim)


def test_record_of_an_earlier_release_is_read():
    # It has no entry for the run that has failed; what it counted stands.
    job = new_job(JobSpec(JOB, QUEUE, "", tuple(steps_of(2, gang=True))), 1, 0.0)
    rows = [TaskRecord(0, 0, i, WAITING, 1, "", 1, "") for i in range(2)]
    restore_record(job, Record("", True, rows, {"w0": ("addr", 7)}), 1)
    assert_that([task.failures for task in job.tasks[0, 0]], Equals([1, 1]))
    assert_that(job.failed_gang_runs, Equals({}))


def test_earlier_releases_read_the_record_of_a_failed_run():
    # They take a record with more fields for an invalid one, and keys for worker ids.
    job = new_job(JobSpec(JOB, QUEUE, "", tuple(steps_of(2, gang=True))), 1, 0.0)
    job.failed_gang_runs[0, 0] = 3
    record = decode_record(encode_record(job))
    assert_that(record._fields, Equals(("outcome", "started", "tasks", "lives")))
    assert_that(record.lives, Equals({"failed-run 0.0": ("", 3)}))
    restored = new_job(job.spec, 1, 0.0)
    restore_record(restored, record, 1)
    assert_that(restored.failed_gang_runs, Equals({(0, 0): 3}))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("others", [0, 2])
def test_gang_whose_members_fail_on_one_worker_is_placed_there_again(seed, others):
    # Guards against a gang that never starts again: its failures put its worker on
    # probation, which took one member at a time, and it fits on no other.
    sim = start_gang(seed, ["failed"] * MEMBERS, workers=1)
    for i in range(others):
        sim.add_worker(make_worker(f"small-{i}", cpu=500))
    sim.run(40.0)
    assert_failed_after_all_attempts(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_gang_starts_on_workers_on_probation_for_several_jobs(seed):
    # All members fit only on workers on which runs of several jobs have failed.
    sim = start_gang(seed, ["failed"] * MEMBERS, workers=2)
    sim.failing_jobs = set()
    sim.cancel(JOB)
    sim.failing = {"w0"}
    for i in range(6):
        sim.submit(f"{i:016x}", steps_of(1, estimate_s=0.3, cpu=4_000), QUEUE)
    sim.run(4.0)
    sim.failing = set()
    sim.submit("b" * 16, steps_of(MEMBERS, cpu=4_000, gang=True), QUEUE)
    sim.run(20.0)
    assert_that(dispatch.state_of(sim.leader.core, "b" * 16), Equals("completed"))
    assert_that(sim.violations, Equals([]))
