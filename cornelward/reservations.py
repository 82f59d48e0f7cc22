"""Reservations of workers for the first waiting gang, and holds for urgent tasks.

The gang at the head of the queue reserves the workers on which it can start earliest,
estimated from the expected ends of the tasks there. Until that start time, other jobs
that are expected to end before it may use these workers (backfill). The start time is
never moved to a later one. Once it has passed, the workers get no other work, so that
wrong estimates cannot starve the gang.
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
    """Workers reserved for one gang; other work must end by ``start_at``."""

    __slots__ = ("job_id", "made_at", "start_at", "workers")

    def __init__(self, job_id, workers, start_at, made_at):
        self.job_id = job_id
        self.workers = workers
        self.start_at = start_at
        self.made_at = made_at


def reserve_worker(table, worker, owner):
    """Move the worker from the index of free workers to that of reserved ones."""
    worker.reserved = owner
    update_indexes(table, worker)


def release_worker(table, worker):
    """Move a reserved worker back to the index of free workers."""
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
    """Return the Reservation with the earliest start for a gang or for one task.

    Returns None if the demand does not fit even after all tasks with an expected end
    have ended. The start is not later than that of a ``previous`` reservation.
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
    """Return the expected ends of running tasks, earliest first.

    Entries are (end time, sequence number, worker id, Resources). Tasks of services
    have no expected end and are left out.
    """
    ends = []
    for worker_id in free:
        allocations = table.by_id[worker_id].allocations
        for task in assigned.get(worker_id, {}).values():
            allocation = allocations.get(task.key)
            if allocation is None or task.job.type == "service":
                continue
            started = task.started_at if task.started_at is not None else now
            end = expected_end(times, task.job.workload, started, now)
            ends.append((end, len(ends), worker_id, allocation.size))
    ends.sort()
    return ends


def clear_reservation(table, reservation):
    """Release all workers that are still reserved for the reservation's job."""
    for worker_id in reservation.workers:
        worker = table.by_id.get(worker_id)
        if worker is not None and worker.reserved == reservation.job_id:
            release_worker(table, worker)


def may_backfill(times, reservation, now, job):
    """Return whether the job is expected to end by the start of the reservation.

    Returns False for services and for workloads without known run times.
    """
    if job.type == "service":
        return False
    run_s = typical_run_s(times, job.workload)
    return run_s is not None and now + run_s <= reservation.start_at
