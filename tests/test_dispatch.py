"""Tests of the dispatcher under faults, with seeded schedules on a simulated cell.

They guard against two concurrent runs of a task, overcommitted workers, steps that
start out of order and jobs that never finish.
"""

import msgspec
import pytest
from fixtures_dispatch import (
    ADVISED,
    LEASE_S,
    LONGEST_LEASE_S,
    WAITING_SEEDS,
    Leader,
    Report,
    Sim,
    start_late,
    steps_of,
)
from fixtures_gangs import disturb_gangs
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan, Not

from cornelward import (
    commits,
    dispatch,
    dispatch_jobs,
    dispatch_polls,
    dispatch_runs,
    dispatch_tasks,
    job_records,
    workers,
)
from cornelward.dispatch_effects import AskAdvice
from cornelward.staged_jobs import JobSpec

SEEDS = [*range(12), *WAITING_SEEDS[:4]]
JOBS = 12


def submit_mix(sim, seconds=8.0):
    """Submit batches, chains of steps and gangs at random times within ``seconds``."""
    for i in range(JOBS):
        fields = {"gang": i % 3 == 0}
        if sim.gang_trouble:
            fields["checkpoints"] = i % 5 < 2
        steps = steps_of(3, 2, **fields) if i % 2 else steps_of(4, **fields)
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
    assert_that(sim.violations, Equals([]))
    assert_that(sim.specs, HasLength(JOBS))
    assert_that(states(sim) - {"completed", "failed"}, Equals(set()))


@pytest.mark.parametrize("seed", SEEDS)
def test_every_job_finishes_without_faults(seed):
    sim = Sim(seed)
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim)
    sim.run(40)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_delayed_requests_never_run_a_task_twice(seed):
    sim = Sim(seed)
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim)
    for worker in sim.workers.values():
        worker.late_share = 0.1
    sim.run(15)
    for worker in sim.workers.values():
        worker.late_share = 0.0
    sim.run(45)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_takeover_while_the_former_leader_is_still_active(seed):
    sim = Sim(seed)
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim)
    for _ in range(3):
        sim.run(sim.rng.uniform(0.5, 3.0))
        former = sim.leader
        if sim.rng.random() < 0.5:
            former.frozen = True
            sim.after(sim.rng.uniform(0.1, 4.0), former.resume)
        sim.start_leader()
    sim.run(50)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_leader_crash_while_workers_are_unreachable(seed):
    sim = Sim(seed)
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim)
    sim.run(sim.rng.uniform(0.5, 4.0))
    silent = sim.rng.sample(list(sim.workers.values()), 2)
    for worker in silent:
        worker.silent = True
    sim.run(sim.rng.uniform(0.1, 2.0))
    sim.leader.dead = True
    sim.run(2.0)
    sim.start_leader()
    sim.run(sim.rng.uniform(1.0, 30.0))
    for worker in silent:
        worker.silent = False
    sim.run(60)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_of_workers_that_never_answer_again_run_elsewhere(seed):
    # Guards against unanswered polls that extend a crashed worker's lease forever, so
    # that its tasks never run again. Seen with rsl-cornelward mix --seed 372350576025.
    sim = Sim(seed)
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim, seconds=2.0)
    sim.run(2.2)
    for worker in sim.rng.sample(list(sim.workers.values()), 2):
        worker.silent = True
    sim.run(45)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_unreachable_worker_keeps_its_tasks_until_its_lease_expires(seed):
    sim = Sim(seed, workers=2, cpu=4_000)
    sim.start_leader()
    sim.submit("a" * 16, steps_of(6, estimate_s=30.0))
    sim.run(1.0)
    sim.workers["w0"].silent = True
    sim.run(sim.rng.uniform(0.1, 3.0))
    # The leader crashes; its successor does not know the lease that it granted to w0.
    sim.leader.dead = True
    sim.run(1.0)
    sim.submit("b" * 16, steps_of(2))
    sim.start_leader()
    sim.run(60)
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_and_late_responses_of_the_store(seed):
    sim = Sim(seed)
    sim.store.lost_share = 0.3
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim)
    sim.run(12)
    sim.start_leader()
    sim.run(8)
    sim.store.lost_share = 0.0
    sim.store.down = True
    sim.run(3)
    sim.store.down = False
    sim.run(40)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_end_is_acknowledged_before_a_successor_can_read_it(seed):
    # Guards against tasks that run again after their acknowledged end (large, issue
    # 17): the store loses answers and carries writes out late, registry entries expire
    # and come back, orders are late, and leaders freeze, resume and change hands.
    sim = Sim(seed)
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim, seconds=14.0)
    for i in range(JOBS):
        if i % 4 == 2:
            sim.after(sim.rng.uniform(1, 14), lambda i=i: sim.cancel(f"{i:016x}"))
    for worker in sim.workers.values():
        worker.late_share = 0.05
        for _ in range(3):
            at, away_s = sim.rng.uniform(1, 14), sim.rng.uniform(0.1, 2.0)
            sim.after(at, lambda w=worker, s=away_s: sim.unlist(w, s))
    for _ in range(4):
        sim.store.lost_share = sim.rng.choice((0.0, 0.4, 0.7))
        sim.run(sim.rng.uniform(1.0, 4.0))
        former = sim.leader
        if sim.rng.random() < 0.5:
            former.frozen = True
            sim.after(sim.rng.uniform(0.1, 4.0), former.resume)
        sim.start_leader()
    sim.store.lost_share = 0.0
    for worker in sim.workers.values():
        worker.late_share = 0.0
    sim.run(60)
    assert_that(sim.violations, Equals([]))
    assert_that(states(sim) - {"completed", "failed", "cancelled"}, Equals(set()))


@pytest.mark.parametrize("seed", SEEDS)
def test_worker_that_restarts_unseen_keeps_its_new_ends(seed):
    # The registry may tell of the restart before a poll does. The numbers of ends
    # start anew, so that ends of the new life must not be acknowledged by an old one.
    sim = Sim(seed)
    sim.fail_share = 0.0
    sim.start_leader()
    disturb_gangs(sim)
    submit_mix(sim)
    for born in range(2, 8):
        sim.run(sim.rng.uniform(0.3, 2.0))
        worker = sim.rng.choice(list(sim.workers.values()))
        worker.restart(born)
        infos = [worker.info]
        dispatch.update_workers(sim.leader.core, sim.now, infos, complete=False)
    sim.run(50)
    assert_all_done(sim)


@pytest.mark.parametrize("polls_wait", [False, True])
@pytest.mark.parametrize("seed", SEEDS)
def test_idle_worker_that_restarts_unseen_keeps_its_new_ends(seed, polls_wait):
    # An idle worker is not polled. Guards against a first poll of its new life that
    # acknowledges numbers of the former one: the new ends up to them are never listed,
    # and their tasks run again (rsl-cornelward, issue 23).
    sim = Sim(seed, workers=2)
    sim.fail_share = 0.0
    sim.polls_wait = polls_wait
    for worker in sim.workers.values():
        worker.keeps_last_end = True
    sim.start_leader()
    for i in range(JOBS):
        sim.submit(f"{i:016x}", steps_of(6, estimate_s=0.2, gang=i % 4 == 3))
        sim.run(1.5)
        idle = [w for w in sim.workers.values() if not (w.running or w.ended)]
        for worker in sim.rng.sample(idle, min(1, len(idle))):
            worker.restart(2 + i)
        sim.run(sim.rng.choice((0.0, 0.01, 0.5)))
        if i % 5 == 4:
            sim.start_leader()
        for other in sim.workers.values():
            other.late_share = 0.1 if i % 3 == 1 else 0.0
    sim.run(30)
    assert_all_done(sim)


def test_ends_beyond_the_longest_list_are_not_taken_for_runs_that_never_were():
    # A report lists at most 500 ends. While the store is down, more than that may wait
    # to be acknowledged.
    sim = Sim(1, workers=1, cpu=600_000)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.5)
    for i in range(4):
        sim.submit(f"{i:016x}", steps_of(150, estimate_s=4.0))
    sim.run(1.9)
    (worker,) = sim.workers.values()
    assert_that(worker.running, HasLength(600))
    sim.store.down = True
    sim.run(10.0)
    sim.store.down = False
    sim.run(10.0)
    assert_that(sim.violations, Equals([]))
    assert_that(states(sim), Equals({"completed"}))
    assert_that(worker.number, Equals(600))


def test_acknowledgement_that_did_not_arrive_is_sent_again():
    # Guards against an idle worker that keeps its ends listed and, after the failed
    # poll, is never used again.
    sim = Sim(1, workers=1)
    worker, known = start_one_task(sim)
    sim.store.down = True
    sim.run(2.0)
    assert_that(worker.ended, HasLength(1))
    worker.silent = True
    sim.store.down = False
    sim.run(2.0)
    worker.silent = False
    sim.run(2.0)
    assert_that(worker.ended, Equals([]))
    assert_that(known.failed_polls, Equals(0))


def test_worker_that_was_silent_for_longer_than_its_lease_is_used_again():
    # Guards against a worker without runs that is not polled after a failed poll: it
    # counts as unreachable until the next change of leader.
    sim = Sim(1, workers=1)
    worker, known = start_one_task(sim)
    worker.silent = True
    sim.run(12.0)
    assert_that(known.runs, Equals({}))
    worker.silent = False
    sim.run(5.0)
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("completed"))


@pytest.mark.parametrize("from_former", [False, True])
def test_lost_start_is_repeated_though_no_stop_is_acknowledged(from_former):
    # Reports do not list the run, and its start can no longer begin it: the time for
    # that has passed on the worker's clock, or a former leader sent it.
    sim = Sim(1, workers=1)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(1.0)
    (worker,) = sim.workers.values()
    start, worker.start = worker.start, lambda effect, token: "unknown"
    worker.stop = lambda effect, token: False
    sim.submit("a" * 16, steps_of(2, gang=True))
    sim.run(1.0)
    if from_former:
        sim.leader.dead = True
        sim.start_leader()
    worker.start = start
    sim.run(LEASE_S + 3.0)
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("completed"))
    assert_that(sim.violations, Equals([]))


def test_task_of_a_worker_that_restarted_unseen_outlives_no_lease():
    # The new life's clock is behind, so that it would cut the lease of the start to the
    # longest one. Guards against a second run before that has run out: the start is
    # sent only once the new life has answered.
    sim = Sim(1, workers=2)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(20.0)
    for worker in sim.workers.values():
        worker.restart(2)
        worker.silent = True
    sim.submit("a" * 16, steps_of(1, estimate_s=30.0))
    sim.leader.step()
    # The polls are lost; the start would not be.
    for worker in sim.workers.values():
        worker.silent = False
    sim.run(0.1)
    assert_that([w for w in sim.workers.values() if w.running], Equals([]))
    sim.run(2.0)
    (worker,) = [w for w in sim.workers.values() if w.running]
    worker.silent = True
    sim.run(60.0)
    assert_that(sim.violations, Equals([]))
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("completed"))


def test_start_that_reaches_a_restarted_worker_outlives_no_lease(monkeypatch):
    # Another node had it while the worker restarted. The new life cuts the lease to
    # the longest one, as its clock is behind.
    sim = Sim(1, workers=6)
    sim.fail_share, sim.polls_wait = 0.0, True
    sim.start_leader()
    sim.run(8.0)
    sim.submit("b" * 16, steps_of(6, cpu=5_000, estimate_s=60.0))
    sim.run(2.4)
    for worker in list(sim.workers.values())[:3]:
        worker.crash(1.1)
    sim.run(0.4)
    monkeypatch.setattr(Leader, "_start", start_late)
    sim.submit("a" * 16, steps_of(6, cpu=1_500, estimate_s=60.0))
    sim.run(1.5)
    restarted = [w for w in sim.workers.values() if w.info.born == 2 and w.running]
    assert_that(restarted, Not(HasLength(0)))
    for worker in restarted:
        worker.silent = True
    sim.run(LONGEST_LEASE_S + 5.0)
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", [*SEEDS, 1_008, 1_013, 1_063])
def test_workers_restarted_under_the_same_id(seed):
    sim = Sim(seed)
    sim.start_leader()
    submit_mix(sim)
    for born in range(2, 8):
        sim.run(sim.rng.uniform(0.3, 2.0))
        sim.rng.choice(list(sim.workers.values())).restart(born)
    sim.run(50)
    assert_all_done(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_polls_that_wait_acknowledge_nothing_after_a_restart(seed):
    # An executor that restarts is away for over a second. Its next life would forget
    # all ends up to a number that was acknowledged to the former one.
    sim = Sim(seed)
    sim.polls_wait = True
    for worker in sim.workers.values():
        worker.keeps_last_end = True
    sim.start_leader()
    submit_mix(sim, seconds=20.0)
    for _ in range(12):
        sim.run(sim.rng.uniform(0.3, 2.0))
        sim.rng.choice(list(sim.workers.values())).crash(1.05)
    sim.run(60)
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
def test_runs_are_stopped_before_a_draining_worker_leaves(seed):
    # Runs that still exist when the worker leaves end without a checkpoint, and their
    # tasks cannot run elsewhere until its lease of 6 s has expired.
    sim = Sim(seed, workers=3)
    sim.fail_share = 0.0
    sim.start_leader()
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
    assert_that(sim.violations, Equals([]))


def start_one_task(sim):
    """Start a task on the only worker; return the worker and the core's entry of it."""
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.5)
    sim.submit("a" * 16, steps_of(1, estimate_s=1.0))
    sim.run(0.3)
    worker = sim.workers["w0"]
    assert_that(worker.running, HasLength(1))
    return worker, sim.leader.core.workers["w0"]


def test_late_report_of_an_earlier_life_acknowledges_nothing_in_the_new_one():
    sim = Sim(1, workers=1)
    worker, known = start_one_task(sim)
    old_report = Report(101.0, 1, [], [(7, "x" * 16 + ".0.0.0", 1, "done", "")])
    sent_at = sim.now
    infos = [worker.info._replace(born=2)]
    dispatch.update_workers(sim.leader.core, sim.now + 0.1, infos, complete=False)
    core = sim.leader.core
    dispatch_runs.on_poll_result(core, sim.now + 0.2, "w0", sent_at, old_report)
    assert_that(known.last_end_recorded, Equals(0))
    assert_that(known.info.born, Equals(2))


@pytest.mark.parametrize("kind", ["poll", "start"])
def test_refusal_of_a_request_sent_before_a_restart_discards_no_run(kind):
    # Guards against two runs of a task: the request went to the address of the worker's
    # former life, which another one has by now, and the answer came late.
    sim = Sim(1, workers=1)
    worker, known = start_one_task(sim)
    core, sent_at = sim.leader.core, sim.now
    (former_run,) = known.runs.values()
    sim.run(0.1)
    worker.restart(2)
    dispatch.update_workers(core, sim.now, [worker.info], complete=False)
    sim.run(1.0)
    (run,) = known.runs.values()
    assert_that((run.state, run.attempt), Equals((workers.ACTIVE, 2)))
    if kind == "poll":
        dispatch_runs.on_poll_result(core, sim.now, "w0", sent_at, "gone")
    else:
        known.runs[former_run.name, former_run.attempt] = former_run
        dispatch_runs.on_start_result(core, sim.now, former_run, "gone")
    assert_that(list(known.runs.values()), Equals([run]))
    assert_that(known.is_gone, Equals(False))


def test_poll_after_a_failed_one_acknowledges_nothing():
    # The worker may have restarted while it was unreachable.
    sim = Sim(1, workers=1)
    _, known = start_one_task(sim)
    sim.run(3.0)
    assert_that(known.last_end_recorded, Equals(1))
    known.failed_polls = 1
    known.last_poll_at = 0.0
    known.runs["b", 1] = workers.Run(None, None, "b", 1, "w0", workers.ACTIVE)
    dispatch_polls.send_polls(sim.leader.core, sim.now, [known])
    assert_that(sim.leader.core.effects[-1].last_end, Equals(0))


def test_start_refused_as_old_is_void_only_once_a_poll_shows_no_end():
    # The first copy of a start may have run to its end before the worker refuses the
    # second; the end must not be lost.
    sim = Sim(1, workers=1)
    worker, known = start_one_task(sim)
    (run,) = known.runs.values()
    run.state = workers.SENT
    core = sim.leader.core
    worker.end((run.name, run.attempt), "done")
    dispatch_runs.on_start_result(core, sim.now, run, "old")
    sim.run(2.0)
    assert_that(dispatch.state_of(core, "a" * 16), Equals("completed"))
    assert_that(worker.number, Equals(1))


def test_start_whose_record_outlasts_the_lease_of_its_worker_is_not_sent():
    # Guards against two runs of a task: the store answers only after the silent
    # worker's lease has expired and the task has been placed on another worker.
    sim = Sim(1, workers=2)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(LONGEST_LEASE_S + 2.0)
    sim.store.down = True
    sim.submit("a" * 16, steps_of(1, estimate_s=30.0))
    sim.leader.step()
    (silent,) = [w for w in sim.leader.core.workers.values() if w.runs]
    sim.workers[silent.info.id].silent = True
    sim.run(LEASE_S + 3.0)
    sim.store.down = False
    sim.workers[silent.info.id].silent = False
    sim.run(3.0)
    assert_that(sim.violations, Equals([]))
    running = [k for w in sim.workers.values() for k in w.running]
    assert_that(running, HasLength(1))


@pytest.mark.parametrize("seed", SEEDS)
def test_worker_that_was_silent_for_longer_than_its_lease_gets_tasks_again(seed):
    # Guards against workers that stay unused although they are back: the registry had
    # kept their entries, and without runs they were not polled any more.
    sim = Sim(seed, workers=3)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(LONGEST_LEASE_S + 2.0)
    sim.submit("a" * 16, steps_of(9, estimate_s=20.0))
    sim.run(1.0)
    silent = sim.rng.choice([w for w in sim.workers.values() if w.running])
    silent.silent = True
    sim.run(LEASE_S + sim.rng.uniform(2.0, 6.0))
    silent.silent = False
    sim.run(2.0)
    sim.submit("b" * 16, steps_of(24, estimate_s=2.0))
    sim.run(1.0)
    assert_that(len(silent.running), GreaterThan(0))
    assert_that(sim.violations, Equals([]))


def test_cancelled_job_is_stopped_and_reported_as_cancelled():
    sim = Sim(1)
    sim.start_leader()
    sim.submit("a" * 16, steps_of(4, estimate_s=30.0))
    sim.run(1.0)
    replies = []
    dispatch.cancel(sim.leader.core, sim.now, "a" * 16, replies.append)
    sim.run(2.0)
    assert_that(replies, Equals([True]))
    running = [k for w in sim.workers.values() for k in w.running]
    assert_that(running, Equals([]))
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("cancelled"))


@pytest.mark.parametrize("outcome", ["cancelled", "failed"])
def test_runs_whose_stop_was_lost_are_stopped_by_a_successor(outcome):
    # A former leader recorded the job's outcome, but its stops did not arrive.
    sim = Sim(1)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.submit("a" * 16, steps_of(8, estimate_s=90.0))
    sim.run(1.0)
    for worker in sim.workers.values():
        worker.silent = True
    dispatch.end_job(sim.leader.core, sim.now, sim.leader.core.jobs["a" * 16], outcome)
    sim.run(0.5)
    sim.leader.dead = True
    for worker in sim.workers.values():
        worker.silent = False
    sim.start_leader()
    sim.run(2.0)
    running = [k for w in sim.workers.values() for k in w.running]
    assert_that(running, Equals([]))
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals(outcome))


def test_rest_of_a_gang_is_stopped_by_a_successor():
    # A former leader recorded that a member has no run any more, but its stops of the
    # others did not arrive: they ran on, and the member was never started again.
    sim = Sim(1)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.submit("a" * 16, steps_of(3, estimate_s=9.0, gang=True))
    sim.run(1.0)
    core = sim.leader.core
    lost = core.jobs["a" * 16].tasks[0, 0][0].run
    sim.workers[lost.worker].end((lost.name, lost.attempt), "failed")
    for worker in sim.workers.values():
        worker.silent = True
    dispatch_tasks.discard_run(core, sim.now, lost, "test")
    sim.run(0.5)
    sim.leader.dead = True
    for worker in sim.workers.values():
        worker.silent = False
    sim.start_leader()
    sim.run(3.0)
    running = [attempt for w in sim.workers.values() for _, attempt in w.running]
    assert_that(running, Equals([2, 2, 2]))
    assert_that(sim.violations, Equals([]))


def test_cancel_while_the_end_is_being_recorded_gets_a_reply():
    # Guards against a second cancel that is never answered: a DELETE waited until its
    # time limit and got status 410.
    sim = Sim(1)
    sim.start_leader()
    sim.submit("a" * 16, steps_of(1, cpu=99_000))
    sim.run(0.2)
    replies = []
    for _ in range(2):
        dispatch.cancel(sim.leader.core, sim.now, "a" * 16, replies.append)
        sim.leader.step()
    sim.run(0.3)
    assert_that(replies, Equals([True, True]))


@pytest.mark.parametrize("outcome", ["completed", "failed"])
def test_cancel_is_not_answered_as_ended_before_the_end_is_recorded(outcome):
    # A successor cannot read an outcome that was only decided, and runs the job on.
    sim = Sim(1)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.submit("a" * 16, steps_of(2, estimate_s=30.0))
    sim.run(1.0)
    core = sim.leader.core
    sim.store.down = True
    dispatch.end_job(core, sim.now, core.jobs["a" * 16], outcome)
    replies = []
    dispatch.cancel(core, sim.now, "a" * 16, replies.append)
    sim.run(0.5)
    assert_that(replies, Equals([]))
    sim.store.down = False
    sim.run(1.0)
    assert_that(replies, Equals([False]))
    assert_that(dispatch.state_of(core, "a" * 16), Equals(outcome))


def end_job_while_a_record_is_written(sim):
    """End the second task of a job while the end of the first is being recorded.

    The store answers no transaction yet.
    """
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.5)
    sim.submit("a" * 16, steps_of(2, estimate_s=30.0))
    sim.run(0.3)
    (worker,) = sim.workers.values()
    first, second = worker.running
    sim.store.down = True
    worker.end(first, "done")
    sim.run(1.0)
    worker.end(second, "done")
    sim.run(1.0)
    assert_that(sim.leader.core.jobs["a" * 16].outcome, Equals("completed"))


def test_outcome_is_shown_only_once_it_is_recorded():
    # Guards against a job shown as completed whose outcome no successor can read: it
    # was decided while an earlier state of the job was being written.
    sim = Sim(1, workers=1)
    end_job_while_a_record_is_written(sim)
    part = commits.partition_of("a" * 16)
    sim.store.down = False
    while dispatch.state_of(sim.leader.core, "a" * 16) != "completed":
        sim.run(0.001)
    assert_that((part, "done", "a" * 16) in sim.store.rows, Equals(True))


def test_cancel_of_an_ended_job_is_answered_once_the_outcome_is_recorded():
    # Otherwise a successor that does not read the outcome may start tasks of the job
    # after its cancelling was answered.
    sim = Sim(1, workers=1)
    end_job_while_a_record_is_written(sim)
    replies = []
    dispatch.cancel(sim.leader.core, sim.now, "a" * 16, replies.append)
    sim.leader.step()
    assert_that(replies, Equals([]))
    sim.store.down = False
    sim.run(1.0)
    assert_that(replies, Equals([False]))
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("completed"))


def test_job_without_a_started_task_counts_as_pending():
    sim = Sim(1, workers=1)
    sim.start_leader()
    sim.submit("a" * 16, steps_of(1, cpu=99_000))
    sim.run(1.0)
    counts = dispatch.pending_by_queue(sim.leader.core)
    assert_that(counts, Equals({"q": 1}))


def test_job_whose_start_requests_were_lost_counts_as_pending():
    # Guards against pending counts that omit jobs whose start requests did not reach
    # the workers: 0 were reported while four jobs were waiting (shahidi-ops,
    # hunt-f203-27).
    sim = Sim(1, workers=1)
    sim.start_leader()
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


def test_record_of_a_wide_job_is_small_and_an_older_one_can_be_read():
    # Records took 75 of the leader's 250 KB/s on the small twin of the large site.
    sim = Sim(1, workers=6)
    sim.start_leader()
    sim.submit("a" * 16, steps_of(20, cpu=1_000, estimate_s=30.0))
    sim.run(1.0)
    job = sim.leader.core.jobs["a" * 16]
    data = job_records.encode_record(job)
    plain = msgspec.msgpack.encode(job_records.decode_record(data))
    assert_that(2 * len(data), LessThan(len(plain)))
    assert_that(
        job_records.decode_record(plain), Equals(job_records.decode_record(data))
    )
    assert_that(job_records.decode_record(b"\x78 not compressed"), Equals(None))


def test_advice_is_asked_while_the_job_is_being_stored():
    sim = Sim(1)
    sim.start_leader()
    sim.run(0.5)
    core = sim.leader.core
    spec = JobSpec("a" * 16, ADVISED, "text", tuple(steps_of(2)))
    dispatch.expect_job(core, sim.now, spec)
    asked = [e for e in core.effects if isinstance(e, AskAdvice)]
    assert_that(asked, HasLength(1))
    sim.leader.step()
    sim.run(0.1)
    sim.submit("a" * 16, steps_of(2), ADVISED)
    sim.leader.step()
    # The tickets are there: the tasks are placed without another call.
    assert_that(core.jobs["a" * 16].started, Equals(True))
    # A job that was never stored is forgotten.
    dispatch.expect_job(core, sim.now, spec._replace(id="b" * 16))
    sim.run(dispatch_jobs.MAX_EXPECTED_S + 0.2)
    assert_that(core.expected_jobs, Equals({}))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_of_a_worker_that_only_left_the_registry_run_on(seed):
    # Its heartbeats to the store may be late or lost while it answers the leader.
    sim = Sim(seed, workers=3)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.submit("a" * 16, steps_of(9, estimate_s=8.0))
    sim.run(1.0)
    for worker in sim.workers.values():
        sim.unlist(worker, sim.rng.uniform(1.0, 12.0))
    sim.run(3.0)
    if seed % 2:
        sim.start_leader()
    sim.run(30.0)
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("completed"))
    assert_that(sum(worker.number for worker in sim.workers.values()), Equals(9))


@pytest.mark.parametrize("seed", SEEDS)
def test_tasks_of_a_worker_that_is_silent_for_less_than_its_lease_run_on(seed):
    sim = Sim(seed, workers=3)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.submit("a" * 16, steps_of(9, estimate_s=12.0))
    sim.run(2.0)
    silent = sim.rng.choice(list(sim.workers.values()))
    silent.silent = True
    sim.run(sim.rng.uniform(0.5, 3.0))
    silent.silent = False
    sim.run(30.0)
    assert_that(dispatch.state_of(sim.leader.core, "a" * 16), Equals("completed"))
    assert_that(sum(worker.number for worker in sim.workers.values()), Equals(9))


def test_rest_of_a_gang_is_stopped_by_a_successor_if_the_stops_were_lost():
    # A member's start was lost and discarded, and the leader replaced before the others
    # were stopped. They waited for the missing one, and the job for them.
    sim = Sim(1)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.5)
    leader, effects = sim.leader, []
    send_start = leader._start
    leader._start = lambda effect: (
        effects.append(effect) if effect.run.task.key[2] == 0 else send_start(effect)
    )
    leader._stop = lambda effect: None
    sim.submit("a" * 16, steps_of(3, gang=True))
    sim.run(1.0)
    dispatch_tasks.discard_run(leader.core, sim.now, effects[0].run, "lost")
    # The next attempt is not placed, as the others' rooms are not free.
    sim.run(0.5)
    leader.dead = True
    sim.start_leader()
    sim.run(30.0)
    assert_that(sim.leader.core.finished, Equals({"a" * 16: "completed"}))
    assert_that(sim.violations, Equals([]))


def test_refused_partition_leaves_room_to_the_jobs_of_others(monkeypatch):
    # The tasks whose starts cannot be recorded hold room in which nothing runs.
    sim = Sim(1, workers=6)
    sim.fail_share = 0.0
    call = sim.store.call

    def refuse(part, expected, writes, on_done):
        if part == "p0":
            sim.after(0.01, lambda: on_done(commits.Refused("429")))
        else:
            call(part, expected, writes, on_done)

    monkeypatch.setattr(sim.store, "call", refuse)
    sim.start_leader()
    ids = [f"{i:016x}" for i in range(64)]
    refused = [i for i in ids if commits.partition_of(i) == "p0"][:8]
    others = [i for i in ids if commits.partition_of(i) == "p1"][:4]
    for job_id in refused:
        sim.submit(job_id, steps_of(8))
    sim.run(0.2)
    for job_id in others:
        sim.submit(job_id, steps_of(4))
    sim.run(15.0)
    found = {dispatch.state_of(sim.leader.core, job_id) for job_id in others}
    assert_that(found, Equals({"completed"}))
