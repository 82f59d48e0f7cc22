"""Tests of how long the tasks of crashed workers wait for their next start.

Seeded schedules on a simulated cell in which workers are lost at once, with tasks that
may be to blame for it and tasks that are.
"""

import pytest
from fixtures_crashes import live_workers
from fixtures_dispatch import ADVISED, Sim, make_worker, steps_of
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from cornelward import dispatch, dispatch_crashes
from cornelward.staged_jobs import WAITING, Queue

# The operators' pages: nothing waits for this long beside room that is free twice over.
MAX_WAIT_S = 3.0
# A deadly task may crash so many workers; the loss of a rack is not its doing.
MAX_DEADLY_CRASHES = 3
RUN_S = 110.0
BACK_S = 4.5
QUEUE = Queue("q", "svc", 1, 4, 2.0, 1.0)
# Tasks of less than half of the cell's capacity: (jobs, their steps).
SHAPES = {
    "small jobs": (360, steps_of(1, cpu=500, estimate_s=RUN_S)),
    "wide steps": (9, steps_of(40, cpu=500, estimate_s=RUN_S)),
    "large tasks": (24, steps_of(1, cpu=7_000, estimate_s=RUN_S)),
    "gangs": (
        45,
        steps_of(8, cpu=500, estimate_s=RUN_S, gang=True, max_per_worker=1),
    ),
    "lasting": (
        90,
        steps_of(4, cpu=500, estimate_s=RUN_S, long_running=True, max_per_worker=1),
    ),
}
# Seeds of cells in which workers answer polls at once, and in which they wait.
SEEDS = [0, 1_000]


def start_cell(seed, racks=3, rack_size=8):
    """Return a cell without other faults; its racks are in three failure domains."""
    sim = Sim(seed, workers=0)
    sim.fail_share = 0.0
    for i in range(racks * rack_size):
        rack = i // rack_size
        domain = f"d{rack % 3}"
        sim.add_worker(make_worker(f"w{i}", 16_000, f"r{rack}", failure_domain=domain))
    sim.start_leader()
    sim.run(1.0)
    return sim


def submit_jobs(sim, shape, queue=QUEUE):
    """Submit the jobs of a shape within 0.4 s, and run on until most have started."""
    count, steps = shape
    for i in range(count):
        job_id = f"{i:016x}"
        at = sim.rng.uniform(0.0, 0.4)
        sim.after(at, lambda job_id=job_id: sim.submit(job_id, steps, queue))
    sim.run(1.0)


def workers_to_lose(sim, loss):
    """Return the workers that a loss of a kind takes."""
    workers = live_workers(sim)
    groups = {
        "worker": lambda w: w.info.id,
        "rack": lambda w: w.info.rack,
        "domain": lambda w: w.info.failure_domain,
        "half": lambda w: int(w.info.id[1:]) % 2,
    }
    found = {}
    for worker in workers:
        found.setdefault(groups[loss](worker), []).append(worker)
    return max(found.values(), key=lambda ws: sum(len(w.running) for w in ws))


def lose(sim, workers):
    """Crash workers at once; they are back under new ids within a third of a second."""
    for worker in workers:
        worker.crash(BACK_S + sim.rng.uniform(0.0, 0.3), sim.next_worker_id())


def longest_wait_s(sim, seconds):
    """Run on; return the longest time for which a task of a crashed worker waited."""
    since, longest_s = {}, 0.0
    for _ in range(int(seconds / 0.05)):
        sim.run(0.05)
        waiting = {
            (job.spec.id, task.key)
            for job in sim.leader.core.jobs.values()
            for tasks in job.tasks.values()
            for task in tasks
            if job.outcome is None and task.state == WAITING and task.attempt
        }
        since = {name: since.get(name, sim.now) for name in waiting}
        oldest = min(since.values(), default=sim.now)
        longest_s = max(longest_s, sim.now - oldest)
    return longest_s


def failed_jobs(sim):
    core = sim.leader.core
    return {job for job in sim.specs if dispatch.state_of(core, job) == "failed"}


def assert_all_restarted_soon(sim):
    assert_that(longest_wait_s(sim, 12.0), LessThan(MAX_WAIT_S))
    assert_that(failed_jobs(sim), HasLength(0))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("loss", ["worker", "rack", "domain", "half"])
def test_jobs_that_ran_for_long_restart_at_once(seed, loss):
    # Guards against review/6: jobs of a rack were restarted twelve each 2 s.
    sim = start_cell(seed)
    submit_jobs(sim, SHAPES["small jobs"])
    sim.run(5.0)
    lose(sim, workers_to_lose(sim, loss))
    assert_all_restarted_soon(sim)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("loss", ["worker", "rack", "half"])
def test_suspects_wait_no_longer_the_more_there_are(seed, loss, shape):
    # Guards against waits for one trial a worker: all runs had just started.
    sim = start_cell(seed)
    submit_jobs(sim, SHAPES[shape])
    lose(sim, workers_to_lose(sim, loss))
    assert_all_restarted_soon(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_suspects_with_tickets_for_some_workers_share_these(seed):
    sim = start_cell(seed)
    sim.approved_share = 0.3
    submit_jobs(sim, (60, steps_of(1, cpu=3_000, estimate_s=RUN_S)), ADVISED)
    sim.run(1.0)
    lose(sim, workers_to_lose(sim, "rack"))
    assert_all_restarted_soon(sim)


@pytest.mark.parametrize("seed", [*range(4), *range(1_000, 1_004)])
@pytest.mark.parametrize("most", [1, 2])
def test_suspects_keep_the_limit_of_their_step_on_a_worker(seed, most):
    # Guards against tasks that are placed in one pass without counting each other.
    sim = start_cell(seed)
    steps = steps_of(20 * most, cpu=500, estimate_s=RUN_S, max_per_worker=most)
    submit_jobs(sim, (4, steps))
    lose(sim, workers_to_lose(sim, "half"))
    assert_all_restarted_soon(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_two_losses_of_racks_in_a_row_make_no_queue_of_trials(seed):
    sim = start_cell(seed)
    submit_jobs(sim, SHAPES["small jobs"])
    sim.run(5.0)
    lose(sim, workers_to_lose(sim, "rack"))
    sim.run(BACK_S + 3.0)
    lose(sim, workers_to_lose(sim, "rack"))
    assert_all_restarted_soon(sim)


@pytest.mark.parametrize("seed", SEEDS)
def test_successor_places_the_tasks_of_lost_workers_at_once(seed):
    # A successor sees the runs for the first time: it can't tell how long they ran.
    sim = start_cell(seed)
    submit_jobs(sim, SHAPES["small jobs"])
    sim.run(5.0)
    lose(sim, workers_to_lose(sim, "rack"))
    sim.leader.dead = True
    sim.run(1.0)
    sim.start_leader()
    assert_all_restarted_soon(sim)


@pytest.mark.parametrize("racks", [27, 82])
def test_half_of_a_large_fleet_is_lost(racks):
    # Guards against a bound, or a cost of a planning pass, that grows with the fleet.
    sim = start_cell(SEEDS[1], racks, rack_size=10)
    sim.wait_check = None
    submit_jobs(sim, (3_000, SHAPES["small jobs"][1]))
    sim.run(1.0)
    lose(sim, workers_to_lose(sim, "half"))
    assert_that(longest_wait_s(sim, 8.0), LessThan(MAX_WAIT_S))
    assert_that(failed_jobs(sim), HasLength(0))


def lose_with_deadly_tasks(sim, loss, share):
    """Lose workers; a share of the tasks on them crash their workers from then on."""
    workers = workers_to_lose(sim, loss)
    names = sorted(name for worker in workers for name, _ in worker.running)
    sim.deadly = set(sim.rng.sample(names, max(1, int(share * len(names)))))
    lose(sim, workers)


def assert_only_deadly_jobs_fail(sim):
    """Run on; check which jobs fail, and how many workers a deadly task crashes."""
    sim.run(60.0)
    assert_that(failed_jobs(sim), Equals({name[:16] for name in sim.deadly}))
    most = max(sim.crashes.by_task[name] for name in sim.deadly)
    assert_that(most, LessThan(MAX_DEADLY_CRASHES + 1))
    assert_that(sim.violations, Equals([]))


@pytest.mark.parametrize("seed", [*range(4), *range(1_000, 1_004)])
@pytest.mark.parametrize("loss", ["worker", "rack", "half"])
def test_deadly_task_beside_a_loss_crashes_three_workers_and_fails_alone(seed, loss):
    # Suspects that share a worker must not fail by the crash of another one.
    sim = start_cell(seed)
    sim.wait_check = None
    submit_jobs(sim, SHAPES["small jobs"])
    lose_with_deadly_tasks(sim, loss, 0.02)
    assert_only_deadly_jobs_fail(sim)


@pytest.mark.parametrize("seed", range(4))
def test_deadly_share_of_the_tasks_of_a_worker_fails_no_other_job(seed):
    # Guards against blame by crashes that coincide, which failed a tenth of the jobs.
    sim = start_cell(seed)
    sim.wait_check = None
    submit_jobs(sim, SHAPES["small jobs"])
    lose_with_deadly_tasks(sim, "worker", 0.3)
    assert_only_deadly_jobs_fail(sim)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("loss", ["rack", "half"])
def test_deadly_tasks_keep_the_budget_across_a_change_of_leader(seed, loss):
    # The successor learns of crashes whose workers it never saw.
    sim = start_cell(seed)
    sim.wait_check = None
    submit_jobs(sim, SHAPES["small jobs"])
    lose_with_deadly_tasks(sim, loss, 0.3)
    sim.leader.dead = True
    sim.run(1.0)
    sim.start_leader()
    sim.run(60.0)
    assert_that(sim.violations, Equals([]))


def test_crash_of_a_shared_trial_blames_none_of_the_jobs():
    sim = start_cell(0, racks=1, rack_size=1)
    for job_id in ("a" * 16, "b" * 16):
        sim.submit(job_id, steps_of(1, estimate_s=RUN_S))
    sim.run(0.5)
    core = sim.leader.core
    (worker,) = core.workers.values()
    runs = list(worker.runs.values())
    for run in runs:
        run.task.crashes = run.task.confirmed_crashes = 1
    worker.trial_runs = list(runs)
    dispatch_crashes.on_worker_gone(core, sim.now, worker)
    assert_that([run.job.outcome for run in runs], Equals([None, None]))
    assert_that([run.task.confirmed_crashes for run in runs], Equals([2, 2]))
