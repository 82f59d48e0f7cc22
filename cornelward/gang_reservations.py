"""Core: reserves workers for waiting gangs, and for how long that holds others back."""

from .capacity_index import is_half_free
from .workers import demand_of

__all__ = ["passes_reservations", "reserve_for_gang", "slots_without_batch"]

# Waiting gangs that may reserve workers at the same time. Each reservation leaves
# capacity idle until the gang starts.
MAX_RESERVING_GANGS = 2
# Reservations hold for the first part of each cycle, in which small tasks end. In the
# rest they don't while less than half of a service is in use, and never for tasks that
# last: gangs may have to wait for runs that take long.
RESERVATION_CYCLE_S = 3.0
RESERVED_S = 2.4


def _is_pause(capacity):
    """Return whether reservations have held for long enough to pause."""
    since = capacity.reserved_since
    return since is not None and (
        (capacity.now - since) % RESERVATION_CYCLE_S >= RESERVED_S
    )


def passes_reservations(capacity, job, step):
    """Return whether a step of the job may use workers that gangs have reserved."""
    is_urgent = job.spec.queue.priority == 0
    return is_urgent or (step.long_running and _is_pause(capacity))


def reserve_for_gang(capacity, candidate, service, approved):
    """Reserve workers for a gang that does not fit now.

    Without a reservation, a steady flow of small tasks would fill each gap before a
    large gang fits. The reserved workers suffice for the gang once only tasks that last
    are on them; those with the most free processors are reserved first. ``approved``
    holds the ids of the workers that the policy service approved; None means that there
    is no such service for the queue.
    """
    if capacity.reserving_gangs >= MAX_RESERVING_GANGS:
        return
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    eligible = [
        w
        for i, w in capacity.workers.items()
        if w.info.service == service
        and i not in capacity.reserved_workers
        and (approved is None or i in approved)
        and (not step.label or step.label in w.info.labels)
    ]
    eligible.sort(key=lambda w: -capacity.free[w.info.id][0])
    remaining, chosen = len(candidate.tasks), []
    for worker in eligible:
        if remaining <= 0:
            break
        slots = slots_without_batch(worker, demand, step)
        if slots > 0:
            remaining -= slots
            chosen.append(worker.info.id)
    if remaining > 0:
        return
    capacity.reserving_gangs += 1
    if capacity.reserved_since is None:
        capacity.reserved_since = capacity.now
    if not (_is_pause(capacity) and is_half_free(capacity, service)):
        capacity.reserved_workers.update(chosen)


def slots_without_batch(worker, demand, step):
    """Return how many members fit once only tasks that last are on the worker."""
    info = worker.info
    total_capacity = (info.cpu, info.memory_mb, info.accelerators)
    counts = [
        (have - kept) // need
        for have, kept, need in zip(total_capacity, worker.lasting, demand, strict=True)
        if need
    ]
    count = min(counts, default=1)
    return min(count, step.max_per_worker) if step.max_per_worker else count
