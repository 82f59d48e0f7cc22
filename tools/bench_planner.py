"""Counts the workers and jobs the planner examines: ``python -m tools.bench_planner``.

The workload is jobs of one task each, in four sizes, that wait for workers of eight
cores. The counts do not depend on the machine.
"""

import random
from typing import NamedTuple

from cornelward import dispatch
from cornelward.commits import PARTITIONS
from cornelward.staged_jobs import JobSpec, Queue, StepSpec
from cornelward.workers import WorkerInfo

__all__ = ["PlanningCost", "measure_planning"]

# CPU is in thousandths of a core.
WORKER_CPU = 8_000
TASK_CPU = (500, 1_000, 2_000, 4_000)
WORKERS = (24, 176)
WAITING = (500, 5_000)
CFG = {
    "lease_s": 6.0,
    "stop_s": 0.3,
    "longest_lease_s": 10.0,
    "unknown_lease_s": 23.0,
}


class PlanningCost(NamedTuple):
    """Counts of a planning pass over idle workers and of the next pass, over full ones.

    ``starts`` is the number of tasks that the first pass placed and ``examined`` the
    number of workers that it examined. ``jobs_when_full`` and ``examined_when_full``
    are the numbers of jobs and workers that the second pass examined.
    """

    starts: int
    examined: int
    jobs_when_full: int
    examined_when_full: int


def _make_worker(number):
    memory_mb = 65_536
    return WorkerInfo(
        f"w{number:03}",
        "svc",
        f"10.0.0.{number}:1",
        "z1",
        f"r{number % 8}",
        (),
        WORKER_CPU,
        memory_mb,
        0,
        False,
        0.0,
        1,
        0.0,
    )


def measure_planning(workers, waiting, seed=1):
    """Return the PlanningCost of ``waiting`` tasks on ``workers`` idle workers."""
    rng = random.Random(seed)
    state = dispatch.Dispatcher(1, dict.fromkeys(PARTITIONS, 1), CFG, 0.0)
    infos = [_make_worker(n) for n in range(workers)]
    dispatch.update_workers(state, 0.0, infos, complete=True)
    for worker in state.workers.values():
        worker.answered_at = 0.0
    queue = Queue("q", "svc", 1, 4, 2.0, 1.0)
    for number in range(waiting):
        step = StepSpec(1, rng.choice(TASK_CPU), 1_024, estimate_s=1.0)
        spec = JobSpec(f"{number:016x}", queue, "", (step,))
        dispatch.add_accepted_job(state, 0.0, spec, 1, rng.uniform(0, 10))
    # The same object counts each pass anew.
    examined = dispatch.plan(state, 1.0).examined
    starts = sum(len(worker.runs) for worker in state.workers.values())
    second_pass = dispatch.plan(state, 1.0)
    return PlanningCost(starts, examined, second_pass.jobs, second_pass.examined)


def main():
    """Print the planning cost for each number of workers and of waiting tasks."""
    print("workers waiting  starts examined  each   full: jobs examined")
    for workers in WORKERS:
        for waiting in WAITING:
            cost = measure_planning(workers, waiting)
            each = cost.examined / max(1, cost.starts)
            print(
                f"{workers:7} {waiting:7} {cost.starts:7} {cost.examined:8}"
                f" {each:5.2f} {cost.jobs_when_full:12} {cost.examined_when_full:8}"
            )


if __name__ == "__main__":
    main()
