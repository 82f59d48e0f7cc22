"""Reservations: workers kept for the first waiting gang, and for urgent tasks.

The gang at the head of the queue reserves the workers on which it can start first, by
the expected ends of what runs there. Other work may use them until that time if it is
expected to be done by then. The time is fixed when the reservation is made: after it,
the workers only drain, so that the gang cannot starve behind wrong expectations.
"""

from .capacity import EPSILON, update_indexes
from .run_times import expected_end, typical_run_s

__all__ = [
    "Reservation",
    "clear_reservation",
    "count_task_slots",
    "make_reservation",
    "may_backfill",
    "release_worker",
    "reserve_worker",
]


class Reservation:
    """Workers kept for one gang; backfill must be done by ``until``."""

    __slots__ = ("job_id", "made_at", "start_at", "workers")

    def __init__(self, job_id, workers, start_at, made_at):
        self.job_id = job_id
        self.workers = workers
        self.start_at = start_at
        self.made_at = made_at


def reserve_worker(table, worker, owner):
    """Take the worker out of the common index."""
    worker.reserved = owner
    update_indexes(table, worker)


def release_worker(table, worker):
    """Return the worker to the common index."""
    if worker.reserved is not None:
        worker.reserved = None
        update_indexes(table, worker)


def count_task_slots(free, demand):
    """Return how many tasks of ``demand`` fit into ``free``."""
    counts = [
        int((have + EPSILON) / size)
        for have, size in zip(free, demand, strict=True)
        if size > 0
    ]
    return max(min(counts, default=1), 0)


def make_reservation(table, assigned, times, now, job, previous=None):
    """Return the Reservation that starts a gang, or one task, first, or None.

    None means that they don't fit even when everything with an expected end has ended.
    A ``previous`` reservation keeps its time.
    """
    count = len(job.waiting) if job.type == "gang" else 1
    usable = [
        worker
        for worker in table.by_id.values()
        if worker.accepts and worker.reserved in (None, job.id)
    ]
    free = {worker.id: list(worker.free) for worker in usable}
    slots = {worker.id: count_task_slots(worker.free, job.demand) for worker in usable}
    total = sum(slots.values())
    start = now
    for ends_at, _, worker_id, size in _expected_ends(
        table, assigned, times, now, free
    ):
        if total >= count:
            break
        start = ends_at
        have = free[worker_id]
        for i in range(3):
            have[i] += size[i]
        more = count_task_slots(have, job.demand)
        total += more - slots[worker_id]
        slots[worker_id] = more
    if total < count:
        return None
    chosen, covered = set(), 0
    for worker_id in sorted(slots, key=lambda name: (-slots[name], name)):
        if covered >= count:
            break
        chosen.add(worker_id)
        covered += slots[worker_id]
    start_at = start if previous is None else min(previous.start_at, start)
    return Reservation(job.id, chosen, start_at, now)


def _expected_ends(table, assigned, times, now, free):
    """Return (time, sequence, worker, size) of running work that will end, in order."""
    ends = []
    for worker_id in free:
        allocations = table.by_id[worker_id].allocations
        for task in assigned.get(worker_id, {}).values():
            charge = allocations.get(task.key)
            if charge is None or task.job.type == "service":
                continue
            started = task.started_at if task.started_at is not None else now
            end = expected_end(times, task.job.workload, started, now)
            ends.append((end, len(ends), worker_id, charge.size))
    ends.sort()
    return ends


def clear_reservation(table, reservation):
    """Return the reserved workers to the common index."""
    for worker_id in reservation.workers:
        worker = table.by_id.get(worker_id)
        if worker is not None and worker.reserved == reservation.job_id:
            release_worker(table, worker)


def may_backfill(times, reservation, now, job):
    """Return whether the job is expected to end before the reserved start."""
    if job.type == "service":
        return False
    run_s = typical_run_s(times, job.workload)
    return run_s is not None and now + run_s <= reservation.start_at
