"""Choice of workers for single tasks, for tasks that spread over racks, and gangs."""

from .capacity import add_allocation, candidates, fits, release_allocations

__all__ = ["best_fit", "place_gang", "spread_fit"]

# Limit of workers that a spread placement examines once it has found one that fits but
# none in a rack without a task of the job.
SPREAD_CANDIDATES = 48


def best_fit(table, demand, allowed, reserved=None):
    """Return the first fitting worker in order of free capacity, least first, or None.

    ``allowed(worker)`` returns whether the worker may be used at all. Reserved workers
    are tried last, and only those for which ``reserved(worker)`` is true; without
    ``reserved`` none of them is used.
    """
    for worker in candidates(table, table.free, demand):
        if fits(demand, worker.free) and allowed(worker):
            return worker
    if reserved is not None:
        for worker in candidates(table, table.reserved, demand):
            if fits(demand, worker.free) and reserved(worker) and allowed(worker):
                return worker
    return None


def spread_fit(table, demand, allowed, rack_counts):
    """Return a fitting worker in the rack with the fewest tasks of the job, or None.

    ``rack_counts`` maps racks to the number of the job's tasks that run there. The
    search ends at a rack without a task of the job, or after ``SPREAD_CANDIDATES``
    workers.
    """
    best, best_count = None, None
    for seen, worker in enumerate(candidates(table, table.free, demand), 1):
        if fits(demand, worker.free) and allowed(worker):
            count = rack_counts.get(worker.rack, 0)
            if best is None or count < best_count:
                best, best_count = worker, count
            if count == 0:
                break
        if best is not None and seen >= SPREAD_CANDIDATES:
            break
    return best


def place_gang(table, demand, keys, allowed, reserved=None):
    """Allocate capacity for a whole gang and return a worker for each key, in order.

    Returns None if not all tasks fit; then no allocation remains.
    """
    chosen = []
    for key in keys:
        worker = best_fit(table, demand, allowed, reserved)
        if worker is None:
            for placed, placed_key in zip(chosen, keys, strict=False):
                release_allocations(table, placed, [placed_key])
            return None
        add_allocation(table, worker, key, demand)
        chosen.append(worker)
    return chosen
