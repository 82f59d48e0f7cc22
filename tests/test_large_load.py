"""Replays of the large site's load on the dispatcher's core, in virtual time.

Each test shows what a decision gains under the load that it is made for.
"""

import pytest
from fixtures_dispatch import Sim, steps_of
from fixtures_load import LARGE_SITE, Kind, LoadSim, replay_load
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cornelward import advising, dispatch, dispatch_plan, objectives
from cornelward.objectives import RunTimes, deadline_of, expected_run_s, observe_run
from cornelward.staged_jobs import AdvicePolicy, JobSpec, Queue

REBUILD = LARGE_SITE[0]
MANIFEST = LARGE_SITE[1]
JOB = "a" * 16
# Tasks that last, and batch jobs of a lower priority.
LENDING_SITE = (
    Kind(
        Queue("watch", "svc", 1, 4, 2.2, 2.5, AdvicePolicy(0.585, 0.00845, 2.5)),
        1.7,
        1.0,
        20,
        4.0,
        4_500,
        9_000,
        0.8,
        0.0,
        0.35,
    ),
    Kind(
        Queue("report", "svc", 2, 4, 2.2, 1.2, AdvicePolicy(0.507, 0.00715, 2.5)),
        6.7,
        2.0,
        14,
        6.0,
        4_500,
        13_000,
        0.6,
        0.0,
        0.35,
    ),
)


def started_after_s(sim, job_id, step):
    """Run until all tasks of a step are placed; return when, in seconds."""
    core = sim.leader.core
    while sim.now < 30.0:
        sim.run(0.01)
        job = core.jobs.get(job_id)
        if job is None or all(t.state != "waiting" for t in job.tasks[0, step]):
            return sim.now
    raise AssertionError("the step was not placed")


def gang_wait_s():
    """Return how long a gang of 60 waits on 120 idle workers, a third approved."""
    sim = LoadSim(1, LARGE_SITE, workers=120, nodes=40)
    sim.start_leader()
    sim.run(1.0)
    # What earlier calls have shown about this queue.
    sim.leader.core.advising.approvals["rebuild"] = [200.0, 70.0]
    steps = steps_of(60, cpu=9_000, estimate_s=3.0, gang=True)
    sim.submit(JOB, steps, REBUILD.queue)
    return started_after_s(sim, JOB, 0) - 1.0


def test_many_workers_are_asked_about_in_parallel(monkeypatch):
    # Half of the gangs of the large site waited over 3 s for their first start, as one
    # call named up to 100 workers (1.2 s) and the next one followed it.
    parallel_s = gang_wait_s()
    monkeypatch.setattr(advising, "WORKERS_PER_CALL", 100)
    one_call_s = gang_wait_s()
    call_s = REBUILD.queue.advice.decision_s + 30 * REBUILD.queue.advice.per_worker_s
    assert_that(parallel_s, LessThan(call_s + 0.2))
    assert_that(one_call_s, GreaterThan(parallel_s + 0.3))


def gap_between_steps_s():
    """Return the time from the end of a step to the start of the next one."""
    sim = LoadSim(1, LARGE_SITE, workers=40, nodes=14)
    sim.start_leader()
    sim.run(1.0)
    sim.submit(JOB, steps_of(4, 4, cpu=5_500, estimate_s=2.0), MANIFEST.queue)
    started_after_s(sim, JOB, 0)
    job = sim.leader.core.jobs[JOB]
    while any(t.state != "done" for t in job.tasks[0, 0]):
        sim.run(0.01)
    ended_at = sim.now
    return started_after_s(sim, JOB, 1) - ended_at


def test_advice_for_the_next_step_is_there_when_the_step_ends(monkeypatch):
    early_s = gap_between_steps_s()
    monkeypatch.setattr(dispatch_plan, "_schedule_next_steps", lambda *args: None)
    late_s = gap_between_steps_s()
    assert_that(early_s, LessThan(0.1))
    assert_that(late_s, GreaterThan(MANIFEST.queue.advice.decision_s))


def test_deadline_allows_for_advice_and_for_estimates_that_are_off():
    # Gangs whose declared time was a third of the real one counted as late after a
    # third of their objective, and waited behind all other jobs.
    run_times = RunTimes()
    steps = tuple(steps_of(20, estimate_s=1.0, gang=True))
    spec = JobSpec(JOB, REBUILD.queue, "", steps)
    declared = deadline_of(spec, 0.0, run_times)
    policy = REBUILD.queue.advice
    call_s = policy.decision_s + objectives.OBJECTIVE_WORKERS * policy.per_worker_s
    assert_that(declared, Equals(1.2 + 2.2 * (1.0 + call_s)))
    for _ in range(objectives.MIN_RUNS):
        observe_run(run_times, "rebuild", 4.0)
    assert_that(round(expected_run_s(run_times, "rebuild", 1.0), 6), Equals(2.0))
    assert_that(deadline_of(spec, 0.0, run_times), GreaterThan(declared + 2.0))
    assert_that(expected_run_s(run_times, "quote", 1.0), Equals(1.0))


def planning_passes(seed):
    """Return (planning passes, jobs that they examined) of a crowded second."""
    sim = Sim(seed, workers=4, cpu=8_000)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.5)
    for i in range(60):
        sim.submit(f"{i:016x}", steps_of(4, cpu=2_000, estimate_s=0.3))
    passes = examined = 0
    plan = dispatch.plan

    def count(state, now):
        nonlocal passes, examined
        capacity = plan(state, now)
        passes, examined = passes + 1, examined + capacity.jobs
        return capacity

    dispatch.plan = count
    try:
        sim.run(2.0)
    finally:
        dispatch.plan = plan
    return passes, examined


@pytest.mark.parametrize("seed", range(3))
def test_planner_pauses_where_many_jobs_wait(seed, monkeypatch):
    # A pass follows nearly every event: with many waiting jobs the leader did little
    # else.
    _, paused = planning_passes(seed)
    monkeypatch.setattr(dispatch, "MAX_PLAN_PAUSE_S", 0.0)
    _, unpaused = planning_passes(seed)
    assert_that(3 * paused, LessThan(2 * unpaused))


def longest_wait_of_lasting_tasks_s(seed):
    """Return the longest wait for a next run while reports fill the policy service.

    The tasks that last fail one after another, past their job's deadline.
    """
    sim = LoadSim(seed, LENDING_SITE, workers=30, nodes=6)
    sim.start_leader()
    sim.run(0.5)
    watch, report = LENDING_SITE
    steps = steps_of(6, cpu=4_500, estimate_s=90.0, long_running=True)
    sim.submit(JOB, steps, watch.queue._replace(stretch=0.0))
    started_after_s(sim, JOB, 0)
    sim.run(watch.queue.slo_s)
    tasks = sim.leader.core.jobs[JOB].tasks[0, 0]
    waits_since, longest_s = {}, 0.0
    for number in range(100):
        sim.submit_kind(report, number)
        sim.run(0.15)
        run = tasks[number // 10 % len(tasks)].run
        if run is not None and number % 10 == 9:
            sim.workers[run.worker].end((run.name, run.attempt), "failed")
        for task in tasks:
            if task.state == "waiting":
                since = waits_since.setdefault(task, sim.now)
                longest_s = max(longest_s, sim.now - since)
            else:
                waits_since.pop(task, None)
    assert_that(sim.violations, Equals([]))
    return longest_s


@pytest.mark.parametrize("seed", range(3))
def test_lasting_tasks_do_not_wait_for_all_batch_jobs_that_are_on_time(seed):
    # hunt-ce38-31 on the lending site: a task that lasts was started again after 10 s,
    # others after up to 45 s, as all calls of the policy service were for batch jobs.
    assert_that(longest_wait_of_lasting_tasks_s(seed), LessThan(3.0))


def test_gang_members_resume_from_one_checkpoint():
    sim = Sim(1, workers=4)
    sim.fail_share = 0.0
    sim.start_leader()
    sim.run(0.5)
    sim.submit(JOB, steps_of(4, cpu=4_000, estimate_s=5.0, gang=True))
    sim.run(0.5)
    core = sim.leader.core
    runs = [t.run for t in core.jobs[JOB].tasks[0, 0]]
    for number, run in enumerate(runs):
        run.checkpoint = f"{number:016x}"
    worker = sim.workers[runs[0].worker]
    worker.end((runs[0].name, runs[0].attempt), "failed")
    sim.run(1.5)
    again = [t.run for t in core.jobs[JOB].tasks[0, 0]]
    assert_that({run.attempt for run in again}, Equals({2}))
    assert_that({run.checkpoint for run in again}, HasLength(1))


@pytest.mark.parametrize("seed", range(2))
def test_burst_of_gangs_leaves_the_quotes_on_time(seed):
    burst = ("rebuild", 1.8, 3.0, 7.0)
    sim = replay_load(seed, share=0.3, seconds=9.0, tail_s=16.0, burst=burst)
    shares = sim.on_time_shares()
    assert_that(shares["quote"], GreaterThan(0.97))
    assert_that(shares["rebuild"], GreaterThan(0.59))
    assert_that(sim.violations, Equals([]))
