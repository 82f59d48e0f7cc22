"""Tests that ready tasks do not wait for good in planning while nothing else happens.

Each schedule has one cause of waiting and no other event that could end it;
docs/design/waits.md lists the causes and what ends each.
"""

import pytest
from fixtures_dispatch import ADVISED, LONGEST_LEASE_S, Sim, make_worker, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from cornelward import advising, asked_workers, dispatch, planning
from cornelward.staged_jobs import Queue, StepSpec
from cornelward.workspaces import WorkspaceTerms

LASTING, POISON, GANG = "1" * 16, "2" * 16, "3" * 16
SEEDS = range(4)
CPU = 32_000


def start_cell(seed, workers=8, cfg=None):
    """Return a cell with a leader and no faults."""
    sim = Sim(seed, workers=0)
    sim.fail_share, sim.cfg = 0.0, cfg or {}
    for i in range(workers):
        sim.add_worker(make_worker(f"w{i}", cpu=CPU))
    sim.start_leader()
    sim.run(0.5)
    return sim


def submit_lasting(sim, count, max_per_worker, **fields):
    """Submit a job with tasks that last, and wait until they run."""
    step = StepSpec(
        count,
        max_per_worker=max_per_worker,
        estimate_s=900.0,
        long_running=True,
        **fields,
    )
    sim.submit(LASTING, [step])
    sim.run(1.0)
    assert_that(running(sim, LASTING), HasLength(count))


def submit_small(sim, count=5, queue=None, **fields):
    """Submit jobs of two small tasks in turn; returns their ids."""
    ids = [f"c{number:015x}" for number in range(count)]
    for job_id in ids:
        sim.submit(job_id, steps_of(1, 1, estimate_s=0.5), queue, **fields)
    return ids


def running(sim, job_id):
    return [k for w in sim.workers.values() for k in w.running if k[0][:16] == job_id]


def states(sim, ids):
    return [dispatch.state_of(sim.leader.core, job_id) for job_id in ids]


@pytest.mark.parametrize("seed", SEEDS)
def test_job_that_fails_beside_lasting_tasks_holds_up_no_other(seed):
    # review/1: after its failures nothing started on any worker with a lasting task.
    sim = start_cell(seed)
    submit_lasting(sim, 8, max_per_worker=1, cpu=1_000, memory_mb=256)
    sim.failing_jobs = {POISON}
    sim.submit(POISON, steps_of(60, cpu=4_000, estimate_s=0.3))
    sim.run(3.0)
    small = submit_small(sim)
    sim.run(3.0)
    assert_that(states(sim, small), Equals(["completed"] * 5))
    sim.run(4.0)
    assert_that(states(sim, [POISON]), Equals(["failed"]))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("label", ["", "few"])
def test_jobs_that_fail_are_shown_as_failed_and_hold_up_no_other(label):
    sim = start_cell(1)
    for i in range(2):
        sim.add_worker(make_worker(f"few{i}", cpu=CPU, labels=("few",)))
        sim.set_listed(f"few{i}", True)
    sim.run(3.0)
    poison = [f"2{number:015x}" for number in range(6)]
    sim.failing_jobs = set(poison)
    for job_id in poison:
        sim.submit(job_id, steps_of(12, cpu=4_000, estimate_s=0.3, label=label))
        sim.run(0.2)
    good = [f"c{number:015x}" for number in range(3)]
    for job_id in good:
        sim.submit(job_id, steps_of(2, estimate_s=0.5, label=label))
    sim.run(8.0)
    assert_that(states(sim, poison), Equals(["failed"] * 6))
    assert_that(states(sim, good), Equals(["completed"] * 3))


def test_faulty_worker_does_not_use_up_the_attempts_of_the_only_job():
    # Its failures are of one job alone, which says little about the worker.
    for seed in SEEDS:
        sim = start_cell(seed, workers=4)
        sim.failing = {"w0"}
        sim.submit("a" * 16, steps_of(90, cpu=4_000, estimate_s=1.0))
        sim.run(20.0)
        assert_that(states(sim, ["a" * 16]), Equals(["completed"]))


def test_lasting_tasks_come_back_to_a_worker_that_was_faulty():
    # A lasting task never ends as done, so that no success ended the probation.
    sim = start_cell(1, workers=2)
    sim.failing = {"w0"}
    for number in range(6):
        sim.submit(f"a{number:015x}", steps_of(16, cpu=4_000, estimate_s=0.3))
    sim.run(6.0)
    sim.failing = set()
    submit = StepSpec(12, 4_000, 256, estimate_s=900.0, long_running=True)
    sim.submit(LASTING, [submit])
    sim.run(30.0)
    assert_that(running(sim, LASTING), HasLength(12))
    assert_that(sim.leader.core.workers["w0"].failures, LessThan(1))


def fail_workers(sim, seconds):
    """Let three workers fail what they start, in a flow of small jobs."""
    sim.failing = {"w0", "w1", "w2"}
    for i in range(int(seconds * 4)):
        at, steps = i * 0.25, steps_of(5, cpu=24_000, estimate_s=0.3)
        sim.after(at, lambda j=f"c{i:015x}", s=steps: sim.submit(j, s))
    sim.run(seconds)
    sim.failing = set()


def one_a_worker():
    return StepSpec(
        8, 1_000, 256, estimate_s=900.0, max_per_worker=1, long_running=True
    )


def test_probation_ends_beside_lasting_tasks():
    # Nothing was started on a worker on probation while any run was on it, and a
    # lasting task's run never ends: a later job had tasks on sound workers alone.
    sim = start_cell(1)
    submit_lasting(sim, 8, max_per_worker=1, cpu=1_000, memory_mb=256)
    fail_workers(sim, 5.0)
    sim.submit(GANG, [one_a_worker()])
    sim.run(6.0)
    assert_that(running(sim, GANG), HasLength(8))


def test_lasting_tasks_do_not_wait_for_long_for_workers_that_are_sound_again():
    # Workers that had failed for 10 s were avoided for 7 s more. A task that lasts
    # has to run again within 9 s of its last run.
    sim = start_cell(1)
    fail_workers(sim, 10.5)
    sim.submit(LASTING, [one_a_worker()])
    sim.run(6.0)
    assert_that(running(sim, LASTING), HasLength(8))


def test_pass_examines_workers_for_few_of_the_steps_that_find_no_node(monkeypatch):
    # In a backlog each step had all workers examined in each pass of the planner, whose
    # passes took twice as long (rsl-cornelward-large, scale-1).
    sim = start_cell(1)
    for i in range(60):
        sim.submit(f"{i:016x}", steps_of(1, estimate_s=0.5), ADVISED)
    monkeypatch.setattr(advising, "has_free_node", lambda *args: False)
    monkeypatch.setattr(Sim, "ask_advice", lambda *args: None)
    sim.run(3.0)
    examined, examine = [], asked_workers.has_room
    monkeypatch.setattr(
        asked_workers, "has_room", lambda *args: examined.append(1) or examine(*args)
    )
    state = sim.leader.core
    state.advising.owed_until = 0.0
    dispatch.plan(state, sim.now)
    assert_that(len(state.jobs), GreaterThan(40))
    assert_that(len(examined), LessThan(10))
    assert_that(state.advising.owed_until, GreaterThan(sim.now))


HIGH, LOW = (Queue(name, "svc", p, 4, 2.0, 1.0) for name, p in (("h", 1), ("l", 2)))
# Of these all jobs are late when their second step is ready.
LATE_HIGH, LATE_LOW = (queue._replace(stretch=0.1, slo_s=0.1) for queue in (HIGH, LOW))


def gang_of(count, **fields):
    return [StepSpec(count, estimate_s=2.0, gang=True, **fields)]


def test_gang_that_cannot_fit_beside_lasting_tasks_holds_up_no_other():
    # review/6 of 91d682a: it reserved all workers for good, with half of all room free.
    sim = start_cell(1)
    submit_lasting(sim, 16, max_per_worker=2, cpu=500, memory_mb=16_000)
    sim.submit(GANG, gang_of(8, cpu=9_000, memory_mb=34_000), HIGH)
    sim.run(1.0)
    small = submit_small(sim, queue=LOW)
    sim.run(3.0)
    assert_that(states(sim, small), Equals(["completed"] * 5))


@pytest.mark.parametrize("share", [1, 20])
def test_gang_that_waits_for_long_tasks_does_not_hold_up_others_meanwhile(share):
    # Tasks of 60 s on all workers; a lasting task may not wait however full they are.
    sim = start_cell(1)
    step = StepSpec(8, share * 1_000, 100, estimate_s=90.0, max_per_worker=1)
    sim.submit("b" * 16, [step])
    sim.run(1.0)
    sim.submit(GANG, gang_of(8, cpu=32_000), HIGH)
    sim.run(1.0)
    lasting = StepSpec(1, 1_000, 100, estimate_s=900.0, long_running=True)
    small = submit_small(sim, queue=LOW) if share == 1 else []
    sim.submit(LASTING, [lasting], LOW)
    sim.run(2.7)
    assert_that(running(sim, LASTING), HasLength(1))
    sim.run(1.0)
    assert_that(states(sim, small), Equals(["completed"] * len(small)))


@pytest.mark.parametrize("seed", SEEDS)
def test_gang_is_not_starved_by_a_flow_that_needs_little(seed):
    # Under half of the room is in use, but a gang that needs all of it never fits.
    sim = start_cell(seed)
    for i in range(300):
        at, steps = i * 0.1, steps_of(1, cpu=4_000, estimate_s=1.0)
        sim.after(at, lambda j=f"c{i:015x}", s=steps: sim.submit(j, s, LOW))
    sim.run(4.0)
    sim.submit(GANG, gang_of(8, cpu=30_000), HIGH)
    sim.run(12.0)
    assert_that(states(sim, [GANG]), Equals(["completed"]))


@pytest.mark.parametrize("gangs", [8, 40])
def test_gangs_that_are_never_approved_do_not_keep_others_from_tickets(gangs):
    # review/7 of c4a1624: only the first eight steps got new tickets, and a late job
    # came behind eight gangs that need six workers where five are approved.
    sim = start_cell(1)
    sim.approved = {f"w{i}" for i in range(5)}
    for i in range(gangs):
        sim.submit(f"b{i:015x}", gang_of(6, cpu=20_000, memory_mb=256), ADVISED)
    sim.run(10.0)
    wide = "c" * 16
    sim.submit(wide, steps_of(60, cpu=16_000, estimate_s=2.3), ADVISED)
    sim.run(30.0)
    assert_that(states(sim, [wide]), Equals(["completed"]))


@pytest.mark.parametrize("controlled", [False, True])
def test_queue_behind_many_jobs_that_cannot_be_placed_goes_on(controlled):
    # A pass examines a hundred jobs of a queue in vain and skips the rest.
    sim = start_cell(1, cfg={"overload_control": controlled})
    for i in range(250):
        steps = steps_of(1, cpu=CPU + 1 + i, estimate_s=0.5)
        sim.submit(f"b{i:015x}", steps, LATE_LOW)
    sim.run(1.0)
    small = submit_small(sim, queue=LATE_LOW)
    sim.run(5.0)
    assert_that(states(sim, small), Equals(["completed"] * 5))


def test_workspace_goes_on_behind_a_step_that_only_lacks_a_worker():
    # A step that its cap leaves some room held what the others of its workspace need.
    sim = start_cell(1)
    sim.set_workspaces(WorkspaceTerms("a", 1.0, (16_000, 0, 0)))
    sim.submit("b" * 16, steps_of(9, cpu=4_000, label="none"), LATE_HIGH, workspace="a")
    sim.run(1.0)
    small = submit_small(sim, queue=LATE_LOW, workspace="a")
    sim.run(3.0)
    assert_that(states(sim, small), Equals(["completed"] * 5))


def test_workspace_goes_on_behind_many_jobs_beyond_its_cap():
    # Jobs that need all of the cap beside a lasting task; a pass examined 20 of them.
    sim = start_cell(1)
    sim.set_workspaces(WorkspaceTerms("a", 1.0, (16_000, 0, 0)))
    lasting = StepSpec(1, 4_000, 256, estimate_s=900.0, long_running=True)
    sim.submit(LASTING, [lasting], LATE_HIGH, workspace="a")
    sim.run(1.0)
    for i in range(50):
        sim.submit(f"b{i:015x}", steps_of(1, cpu=14_000), LATE_HIGH, workspace="a")
    sim.run(1.0)
    small = submit_small(sim, queue=LATE_LOW, workspace="a")
    sim.run(4.0)
    assert_that(states(sim, small), Equals(["completed"] * 5))


def test_rule_about_waits_finds_tasks_that_stand_still(monkeypatch):
    # The check of the simulated cell must see what it is there for.
    monkeypatch.setattr(planning, "fits_nowhere", lambda *args: True)
    sim = start_cell(1)
    sim.submit("a" * 16, steps_of(2))
    sim.submit(GANG, gang_of(4, cpu=1_000))
    sim.run(9.0)
    found = sorted(line.split(" waits")[0] for line in sim.violations)
    assert_that(found, Equals([f"LOST: {GANG}.0.0", f"LOST: {'a' * 16}.0.0"]))


def test_suspects_wait_no_longer_than_the_lease_of_a_trial_that_goes_silent():
    sim = start_cell(1)
    sim.submit("a" * 16, steps_of(6, cpu=4_000, estimate_s=60.0))
    sim.run(1.0)
    (busy,) = [w for w in sim.workers.values() if w.running]
    busy.crash(3.2, sim.next_worker_id())
    while not running(sim, "a" * 16):
        sim.run(0.02)
    (trial,) = [w for w in sim.workers.values() if w.running]
    trial.silent = True
    sim.run(LONGEST_LEASE_S)
    assert_that(running(sim, "a" * 16), HasLength(6))
    assert_that(sim.violations, Equals([]))


def test_paced_step_always_has_a_task_at_work():
    # Gangs that can never be placed want all room for as long as they are on time.
    sim = start_cell(1, cfg={"overload_control": True})
    step = StepSpec(16, 20_000, 100, estimate_s=60.0, gang=True)
    sim.submit(GANG, [step], HIGH)
    sim.run(1.0)
    slack = LOW._replace(slo_s=300.0)
    sim.submit("a" * 16, steps_of(40, cpu=4_000, estimate_s=0.5), slack)
    for _ in range(10):
        sim.run(0.5)
        tasks = sim.leader.core.jobs["a" * 16].tasks[0, 0]
        at_work = [task for task in tasks if task.run is not None]
        assert_that(len(at_work), GreaterThan(0))
        assert_that(len(at_work), LessThan(5))
    sim.run(60.0)
    assert_that(states(sim, ["a" * 16]), Equals(["completed"]))


def test_workers_that_refuse_starts_are_tried_again():
    # All refuse at once, as an overloaded rack does; nothing says when that is over.
    sim = start_cell(1, workers=3)
    for worker in sim.workers.values():
        worker.start = lambda effect, token: "unhealthy"
    sim.submit("a" * 16, steps_of(90, cpu=1_000, estimate_s=0.5))
    sim.run(6.0)
    for worker in sim.workers.values():
        del worker.start
    sim.run(9.0)
    assert_that(states(sim, ["a" * 16]), Equals(["completed"]))
