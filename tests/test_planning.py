"""Tests of placement and planning order, each policy under the load it is made for."""

import random

from fixtures_dispatch import Sim, make_worker, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cornelward import asked_workers, dispatch, objectives, planning, queue_index
from cornelward.planning import (
    Candidate,
    FreeCapacity,
    fit_gang,
    fit_tasks,
    reserve_for_gang,
)
from cornelward.staged_jobs import JobSpec, Queue, StepSpec, new_job
from cornelward.worker_health import FAILURES_TO_AVOID
from cornelward.workers import new_worker


def job_of(step, priority=1, accepted_at=0.0, job_id="a" * 16):
    queue = Queue("q", "svc", priority, 4, 2.0, 1.0)
    job = new_job(JobSpec(job_id, queue, "", (step,)), 1, accepted_at)
    job.deadline = objectives.deadline_of(job.spec, accepted_at, objectives.RunTimes())
    return job


def candidate_of(step, **fields):
    job = job_of(step, **fields)
    return Candidate(job, (0, 0), job.tasks[0, 0], None)


def capacity_of(*workers):
    return FreeCapacity([new_worker(w, 0.0) for w in workers])


def places(placements):
    return sorted(p.worker.info.id for p in placements)


def test_tasks_are_packed_and_never_exceed_the_capacity():
    capacity = capacity_of(make_worker("w0", cpu=4_000), make_worker("w1", cpu=8_000))
    placed = fit_tasks(capacity, candidate_of(StepSpec(9, 2_000, 100)), "svc")
    assert_that(places(placed), Equals(["w0"] * 2 + ["w1"] * 4))


def test_limit_per_worker_and_label_are_respected():
    capacity = capacity_of(
        make_worker("w0"), make_worker("w1"), make_worker("w2", labels=("b",))
    )
    step = StepSpec(9, 100, 100, max_per_worker=2, label="a")
    assert_that(
        places(fit_tasks(capacity, candidate_of(step), "svc")),
        Equals(["w0"] * 2 + ["w1"] * 2),
    )


def test_gang_is_placed_whole_or_not_at_all_and_on_one_rack_if_it_fits():
    workers = [make_worker(f"w{i}", cpu=4_000, rack=f"r{i // 2}") for i in range(4)]
    step = StepSpec(4, 2_000, 100, gang=True, one_rack=True)
    placed = fit_gang(capacity_of(*workers), candidate_of(step), "svc")
    assert_that(len({p.worker.info.rack for p in placed}), Equals(1))
    large_gang = StepSpec(9, 2_000, 100, gang=True)
    assert_that(
        fit_gang(capacity_of(*workers), candidate_of(large_gang), "svc"), Equals(None)
    )


def test_failing_or_slow_workers_are_used_last():
    workers = [new_worker(make_worker(f"w{i}"), 0.0) for i in range(4)]
    workers[0].failures = 1
    workers[1].slowness = 5.0
    capacity = FreeCapacity(workers)
    step = StepSpec(16, 1_000, 100, estimate_s=5.0)
    placed = [p.worker.info.id for p in fit_tasks(capacity, candidate_of(step), "svc")]
    assert_that(set(placed), Equals({"w2", "w3"}))


def test_urgent_jobs_come_first_then_jobs_that_can_meet_their_deadline():
    step = StepSpec(1, 100, 100, estimate_s=1.0)
    urgent = job_of(step, priority=0, accepted_at=9.0)
    batch = job_of(step, priority=2, accepted_at=8.0)
    late = job_of(step, priority=1, accepted_at=0.0)
    rebuild = job_of(step, priority=1, accepted_at=9.0)
    index = queue_index.QueueIndex()
    for number, job in enumerate([late, batch, rebuild, urgent]):
        job.spec = job.spec._replace(id=str(number))
        queue_index.mark_changed(index, job)
    queue_index.refresh(index)
    found = list(queue_index.in_planning_order(index, 10.0, set()))
    assert_that(found, Equals([urgent, rebuild, batch, late]))


def test_reserved_workers_run_urgent_tasks_only():
    worker = new_worker(make_worker("w0", cpu=4_000), 0.0)
    worker.used[0] = 3_000
    capacity = FreeCapacity([worker])
    reserve_for_gang(
        capacity, candidate_of(StepSpec(2, 2_000, 100, gang=True)), "svc", None
    )
    small = StepSpec(1, 1_000, 100)
    assert_that(fit_tasks(capacity, candidate_of(small, priority=2), "svc"), Equals([]))
    placed = fit_tasks(capacity, candidate_of(small, priority=0), "svc")
    assert_that(places(placed), Equals(["w0"]))


def gang_wait_s(seed):
    """Return how long a large gang waits while small batch tasks keep arriving.

    The batch load lasts 20 s and equals 1.0 times the capacity of the four workers.
    """
    sim = Sim(seed, workers=4, cpu=8_000)
    sim.fail_share = 0.0
    sim.start_leader()
    batch = Queue("b", "svc", 2, 4, 4.0, 3.0)
    rng = random.Random(seed)
    for i in range(160):
        steps = steps_of(4, cpu=1_000, estimate_s=1.0)
        at = rng.uniform(0, 20)
        job_id = f"{i:016x}"
        sim.after(at, lambda j=job_id, s=steps: sim.submit(j, s, batch))
    gang = "f" * 16
    rebuild = Queue("g", "svc", 1, 4, 2.2, 1.2)
    steps = steps_of(12, cpu=2_500, estimate_s=1.0, gang=True)
    sim.after(4.0, lambda: sim.submit(gang, steps, rebuild))
    sim.run(4.1)
    while sim.now < 40 and not sim.leader.core.jobs[gang].started:
        sim.run(0.1)
    return sim.now - 4.0


def test_large_gang_is_not_starved_by_small_tasks(monkeypatch):
    with_reservation = [gang_wait_s(seed) for seed in range(4)]
    monkeypatch.setattr(planning, "reserve_for_gang", lambda *args: None)
    without_reservation = [gang_wait_s(seed) for seed in range(4)]
    # A reserved worker is idle after the longest small task (1.5 s) and a stop
    # request.
    assert_that(max(with_reservation), LessThan(4.0))
    assert_that(min(without_reservation), GreaterThan(2 * max(with_reservation)))


def outcomes_with_a_faulty_worker(seed):
    """Return the states of jobs with two attempts; one of four workers is faulty."""
    sim = Sim(seed, workers=4, cpu=8_000)
    sim.fail_share = 0.0
    sim.failing = {"w0"}
    sim.start_leader()
    queue = Queue("b", "svc", 2, 2, 4.0, 3.0)
    for i in range(30):
        job_id = f"{i:016x}"
        sim.after(i * 0.3, lambda j=job_id: sim.submit(j, steps_of(2), queue))
    sim.run(40)
    return {dispatch.state_of(sim.leader.core, job_id) for job_id in sim.specs}


def test_failing_worker_does_not_use_up_the_attempts_of_jobs():
    # A task that failed once on the faulty worker must not be placed there again.
    for seed in range(4):
        assert_that(outcomes_with_a_faulty_worker(seed), Equals({"completed"}))


def test_worker_on_probation_gets_one_task_at_a_time():
    workers = [new_worker(make_worker(f"w{i}", cpu=8_000), 0.0) for i in range(2)]
    workers[0].failures = FAILURES_TO_AVOID
    capacity = FreeCapacity(workers)
    placed = fit_tasks(capacity, candidate_of(StepSpec(20, 1_000, 100)), "svc")
    assert_that(places(placed), Equals(["w0"] + ["w1"] * 8))


def failures_on_a_faulty_worker(seed):
    """Return how many runs fail if one of four workers is faulty.

    The jobs arrive in waves that exceed the capacity of the workers.
    """
    sim = Sim(seed, workers=4, cpu=8_000)
    sim.fail_share = 0.0
    sim.failing = {"w0"}
    sim.start_leader()
    queue = Queue("b", "svc", 2, 20, 4.0, 3.0)
    for i in range(12):
        job_id = f"{i:016x}"
        steps = steps_of(40, cpu=1_000, estimate_s=0.5)
        sim.after(i * 2.0, lambda j=job_id, s=steps: sim.submit(j, s, queue))
    sim.run(40)
    tasks = [
        task
        for job in sim.leader.core.jobs.values()
        for tasks in job.tasks.values()
        for task in tasks
    ]
    assert_that(tasks, Equals([]))
    return sim.failed_runs


def test_probation_limits_the_runs_that_fail_on_a_faulty_worker(monkeypatch):
    with_probation = sum(failures_on_a_faulty_worker(seed) for seed in range(3))
    monkeypatch.setattr(planning, "is_on_probation", lambda worker: False)
    without_probation = sum(failures_on_a_faulty_worker(seed) for seed in range(3))
    # The runs that fill the worker before its first failure fail in any case.
    unknown = 3 * 8
    assert_that(2 * (with_probation - unknown), LessThan(without_probation - unknown))


def test_question_for_room_ends_once_room_is_found():
    # Each step that waited for a free node had all workers examined in each pass.
    ids = [f"w{i}" for i in range(300)]
    capacity = capacity_of(*(make_worker(worker_id, cpu=8_000) for worker_id in ids))
    for step, examined in ((StepSpec(9, 2_000), 1), (StepSpec(9, 2_000, gang=True), 3)):
        candidate = candidate_of(step)
        assert not planning.fits_nowhere(capacity, candidate, "svc")
        capacity.examined = 0
        assert asked_workers.has_room(capacity, candidate, "svc", ids)
        # One more by ``fits_nowhere``, which has_room begins with.
        assert_that(capacity.examined, Equals(examined + 1))
