"""The dispatcher under faults: seeded schedules on a simulated cell.

Guards against two runs of a task, overloaded workers, steps out of order, work that is
never finished.
"""

import pytest
from fixtures_dispatch import ADVISED, Sim, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from cornelward import dispatch

SEEDS = range(12)
JOBS = 12


def submit_mix(sim, seconds=8.0):
    """Submit batches, chains and gangs over some seconds."""
    for i in range(JOBS):
        gang = i % 3 == 0
        steps = steps_of(3, 2, gang=gang) if i % 2 else steps_of(4, gang=gang)
        queue = ADVISED if i % 4 == 1 else None
        job_id = f"{i:016x}"
        sim.after(
            sim.rng.uniform(0, seconds),
            lambda job_id=job_id, steps=steps, queue=queue: sim.submit(
                job_id, steps, queue
            ),
        )


def states(sim):
    return {dispatch.state_of(sim.leader.core, job_id) for job_id in sim.specs}


def assert_all_done(sim):
    assert_that(sim.broken, Equals([]))
    assert_that(sim.specs, HasLength(JOBS))
    assert_that(states(sim) - {"completed", "failed"}, Equals(set()))


@pytest.mark.parametrize("seed", SEEDS)
def test_calm_cell_finishes_every_job(seed):
    sim = Sim(seed)
    sim.lead()
    submit_mix(sim)
    sim.run(40)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_carried_out_late_never_run_a_task_twice(seed):
    sim = Sim(seed)
    sim.lead()
    submit_mix(sim)
    for worker in sim.workers.values():
        worker.late = 0.1
    sim.run(15)
    for worker in sim.workers.values():
        worker.late = 0.0
    sim.run(45)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_takeover_beside_a_former_leader_that_goes_on(seed):
    sim = Sim(seed)
    sim.lead()
    submit_mix(sim)
    for _ in range(3):
        sim.run(sim.rng.uniform(0.5, 3.0))
        former = sim.leader
        if sim.rng.random() < 0.5:
            former.frozen = True
            sim.after(sim.rng.uniform(0.1, 4.0), former.thaw)
        sim.lead()
    sim.run(50)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_dead_leader_and_silent_workers(seed):
    sim = Sim(seed)
    sim.lead()
    submit_mix(sim)
    sim.run(sim.rng.uniform(0.5, 4.0))
    silent = sim.rng.sample(list(sim.workers.values()), 2)
    for worker in silent:
        worker.silent = True
    sim.run(sim.rng.uniform(0.1, 2.0))
    sim.leader.dead = True
    sim.run(2.0)
    sim.lead()
    sim.run(sim.rng.uniform(1.0, 30.0))
    for worker in silent:
        worker.silent = False
    sim.run(60)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_workers_that_never_answer_again(seed):
    # rsl-cornelward mix --seed 372350576025: looks without an answer moved the end of
    # the lease on for ever, so that the tasks of a crashed worker never ran again.
    sim = Sim(seed)
    sim.lead()
    submit_mix(sim, seconds=2.0)
    sim.run(2.2)
    for worker in sim.rng.sample(list(sim.workers.values()), 2):
        worker.silent = True
    sim.run(45)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_unreachable_worker_keeps_its_tasks_until_its_lease_is_over(seed):
    sim = Sim(seed, workers=2, cpu=4_000)
    sim.lead()
    sim.submit("a" * 16, steps_of(6, estimate_s=30.0))
    sim.run(1.0)
    sim.workers["w0"].silent = True
    sim.run(sim.rng.uniform(0.1, 3.0))
    # The former leader dies; its lease on w0 is not known to the next one.
    sim.leader.dead = True
    sim.run(1.0)
    sim.submit("b" * 16, steps_of(2))
    sim.lead()
    sim.run(60)
    assert_that(sim.broken, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_and_late_answers_of_the_store(seed):
    sim = Sim(seed)
    sim.store.lost = 0.3
    sim.lead()
    submit_mix(sim)
    sim.run(12)
    sim.lead()
    sim.run(8)
    sim.store.lost = 0.0
    sim.store.down = True
    sim.run(3)
    sim.store.down = False
    sim.run(40)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_workers_reborn_under_the_same_id(seed):
    sim = Sim(seed)
    sim.lead()
    submit_mix(sim)
    for born in range(2, 8):
        sim.run(sim.rng.uniform(0.3, 2.0))
        sim.rng.choice(list(sim.workers.values())).rebirth(born)
    sim.run(50)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_leave_a_draining_worker_in_time(seed):
    # Its leaving ends them without a checkpoint, and their lease keeps them for 6 s.
    sim = Sim(seed, workers=3)
    sim.fail_share = 0.0
    sim.lead()
    sim.submit("a" * 16, steps_of(9, estimate_s=20.0))
    sim.run(2.0)
    leaving = next(w for w in sim.workers.values() if w.running)
    info = leaving.info._replace(draining=True, leaves_in_s=2.5)
    dispatch.update_workers(sim.leader.core, sim.now, [info], False)
    sim.run(1.0)
    assert_that(bool(leaving.running), Equals(True))
    sim.run(1.4)
    assert_that(leaving.running, Equals({}))
    others = [k for w in sim.workers.values() for k in w.running]
    assert_that(others, HasLength(9))
    assert_that(sim.broken, Equals([]))


def test_cancelled_job_stops_and_is_shown_so():
    sim = Sim(1)
    sim.lead()
    sim.submit("a" * 16, steps_of(4, estimate_s=30.0))
    sim.run(1.0)
    replies = []
    dispatch.cancel(sim.leader.core, sim.now, "a" * 16, replies.append)
    sim.run(2.0)
    assert_that(replies, Equals([True]))
    running = [k for w in sim.workers.values() for k in w.running]
    assert_that(running, Equals([]))
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("cancelled"))


def test_cancel_while_the_end_is_written_is_answered():
    # Seen as a DELETE that waited for its time limit and got 410.
    sim = Sim(1)
    sim.lead()
    sim.submit("a" * 16, steps_of(1, cpu=99_000))
    sim.run(0.2)
    replies = []
    for _ in range(2):
        dispatch.cancel(sim.leader.core, sim.now, "a" * 16, replies.append)
        sim.leader.step()
    sim.run(0.3)
    assert_that(replies, Equals([True, True]))


def test_job_without_a_started_task_counts_as_pending():
    sim = Sim(1, workers=1)
    sim.lead()
    sim.submit("a" * 16, steps_of(1, cpu=99_000))
    sim.run(1.0)
    counts = dispatch.pending_by_queue(sim.leader.core)
    assert_that(counts, Equals({"q": 1}))


def test_job_whose_starts_did_not_arrive_counts_as_pending():
    # hunt-f203-27 of shahidi-ops: 0 jobs were said to wait while the starts of four
    # had been sent to workers that did not get them.
    sim = Sim(1, workers=1)
    sim.lead()
    sim.run(1.0)
    sim.workers["w0"].silent = True
    sim.submit("a" * 16, steps_of(1))
    sim.run(0.3)
    core = sim.leader.core
    assert_that(core.jobs["a" * 16].started, Equals(True))
    assert_that(dispatch.pending_by_queue(core), Equals({"q": 1}))
    sim.workers["w0"].silent = False
    sim.run(20.0)
    assert_that(dispatch.pending_by_queue(core), Equals({}))
    assert_that(dispatch.state_of(core, "a" * 16), Equals("completed"))
