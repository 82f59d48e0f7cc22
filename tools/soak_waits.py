"""Check of the soak test: no ready task waits while there is room for it.

A job waits if none of its tasks runs although a step of it may start, twice the room
for a task of that step is free, and less than half of the workers' processors (and of
its workspace's cap) are in use. Runs on a worker that has crashed count as running, and
use the cap, until the worker is back or their leases have run out: a leader cannot tell
it from one that is cut off and runs on.
"""

import math

from cornelward.commits import partition_of
from cornelward.staged_jobs import demand_of

__all__ = ["LEASE_BOUND_S", "lost_tasks", "watch_waits"]

CHECK_INTERVAL_S = 0.25
# A former leader's leases have to run out first (the platform's bound).
CALM_S = 14.0
MAX_WAIT_S = 3.0
# A lease of 6 s on a clock that is 2% slow, the time to end its runs, and the interval
# of the check.
LEASE_BOUND_S = 6.8


def watch_waits(soak):
    """Watch the accepted jobs once the faults have been over for ``CALM_S``."""
    waiting_since, down_since = {}, {}

    def check():
        now = soak.loop.now()
        lost = lost_tasks(soak.cell, soak.workers, now, down_since)
        waiting = {job.id for job in soak.jobs if _waits(soak, job, lost)}
        for job_id in waiting_since.keys() - waiting:
            del waiting_since[job_id]
        for job_id in waiting:
            since = waiting_since.setdefault(job_id, now)
            if now - since >= MAX_WAIT_S:
                soak.failures.append(f"LOST: {job_id} waits although there is room")
                waiting_since[job_id] = float("inf")
        soak.loop.call_later(CHECK_INTERVAL_S, check)

    soak.loop.call_later(CALM_S, check)


def lost_tasks(cell, workers, now, down_since):
    """Return the names of the tasks whose latest start may still hold on a lost worker.

    ``down_since`` maps the ids of workers to when they were first seen down; it is
    updated.
    """
    down = {worker.id for worker in workers if worker.down}
    for worker_id in down_since.keys() - down:
        del down_since[worker_id]
    for worker_id in down:
        down_since.setdefault(worker_id, now)
    latest = {task: worker_id for worker_id, task, _ in cell.starts}
    return [
        task
        for task, worker_id in latest.items()
        if now - down_since.get(worker_id, -math.inf) <= LEASE_BOUND_S
        and task not in cell.finished
    ]


def _waits(soak, job, lost):
    cell = soak.cell
    row = cell.store.rows.get(("jobs", partition_of(job.id), job.id))
    spec = cell.spec_of(f"{job.id}.") if row is not None else None
    if spec is None or not job.is_accepted:
        return False
    running = [name for w in soak.workers for name, _ in w.running]
    if any(name.startswith(job.id) for name in (*running, *lost)):
        return False
    ready = _ready_step(cell, spec)
    if ready is None or _is_half_used(soak, spec, running, lost):
        return False
    demand = demand_of(ready)
    fits = sum(_fitting_tasks(cell, worker, demand) for worker in soak.workers)
    return fits >= 2 * ready.count


def _ready_step(cell, spec):
    """Return the first StepSpec that has tasks to run and waits for no other step."""

    def is_done(number):
        names = (f"{spec.id}.0.{number}.{i}" for i in range(spec.steps[number].count))
        return all(name in cell.finished for name in names)

    for number, step in enumerate(spec.steps):
        if not is_done(number) and all(is_done(before) for before in step.after):
            return step
    return None


def _is_half_used(soak, spec, running, lost):
    cell = soak.cell
    used = sum(cell.cpu_of(name) for name in running)
    cap = cell.caps.get(spec.workspace)
    held = [n for n in (*running, *lost) if cell.workspace_of(n) == spec.workspace]
    own = sum(cell.cpu_of(name) for name in held)
    total = sum(worker.cpu for worker in soak.workers)
    return 2 * used >= total or (cap is not None and 2 * own >= cap)


def _fitting_tasks(cell, worker, demand):
    if worker.silent or worker.down:
        return 0
    used = sum(cell.cpu_of(name) for name, _ in worker.running)
    return max(0, worker.cpu - used) // max(1, demand[0])
