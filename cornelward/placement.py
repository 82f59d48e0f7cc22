"""Choice of workers: services, batch, gangs."""

from .capacity import add_allocation, candidates, fits, release_allocations

__all__ = ["best_fit", "place_gang", "spread_fit"]

# Workers examined for a service when racks that already run it come first.
SPREAD_CANDIDATES = 48


def best_fit(table, demand, allowed, reserved=None):
    """Return the worker that ``demand`` fills best, or None.

    ``allowed(worker)`` may exclude workers. ``reserved(worker)`` tells whether a worker
    that is kept for some job may be used; without it none of them is.
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
    """Return a fitting worker in the rack with the fewest tasks of the job.

    ``rack_counts`` maps racks to the number of tasks of the job.
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
    """Return a worker for each key, charged, or None when not all of them fit."""
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
