"""Core: free capacity of the usable workers, ordered for placement.

It is kept from one planning pass to the next, so that a pass costs what has changed and
not the number of workers.
"""

from sortedcontainers import SortedList

from .worker_speeds import are_uneven
from .workers import free_capacity, is_in_trial, is_usable

__all__ = [
    "FreeCapacity",
    "close_worker",
    "is_half_free",
    "is_slow",
    "move_worker",
    "refresh",
    "sort_key",
]

# A worker is slow if its slowness is more than this multiple of the median; slow
# workers are used last.
SLOW_FACTOR = 2.0
# Where workers differ in speed, those are slow that are this much slower (logarithm)
# than the median: far outside of both groups.
SLOW_LOG = 1.4


class FreeCapacity:
    """Free capacity of the usable workers, kept from one planning pass to the next.

    ``refresh`` updates it from the workers that have changed. ``jobs`` and ``examined``
    count the jobs and workers that a pass examined; they measure its cost.
    """

    __slots__ = (
        "are_uneven",
        "askable",
        "examined",
        "free",
        "half_free",
        "jobs",
        "keys",
        "now",
        "reserved_since",
        "reserved_workers",
        "reserving_gangs",
        "typical_slowness",
        "typical_speed",
        "unplaceable_demands",
        "workers",
        "workers_by_free_cpu",
    )

    def __init__(self, workers):
        self.workers = {}
        # When the pass began.
        self.now = 0.0
        # Since when gangs have reserved workers in each pass; None if not in the last.
        self.reserved_since = None
        self.reserving_gangs = 0
        self.free = {}
        # Worker id -> its key in ``workers_by_free_cpu``.
        self.keys = {}
        self.typical_slowness = 1.0
        # Whether workers differ in speed, and the median of their logarithms.
        self.are_uneven, self.typical_speed = False, 0.0
        # Service -> sort keys of its workers (see ``sort_key``), ascending.
        self.workers_by_free_cpu = {}
        # Service -> ids of the workers that the policy service may be asked about, in
        # the order in which they became known.
        self.askable = {}
        _begin_pass(self)
        self.typical_slowness = _median_slowness(workers)
        for worker in workers:
            _add_worker(self, worker)
            _update_askable(self, worker)


def _begin_pass(capacity):
    if not capacity.reserving_gangs:
        capacity.reserved_since = None
    # Ids of the workers reserved for waiting gangs, and the number of these gangs.
    capacity.reserved_workers = set()
    capacity.reserving_gangs = 0
    capacity.jobs = capacity.examined = 0
    # Service -> whether less than half of its capacity was in use when first asked.
    capacity.half_free = {}
    # (service, label, urgent) -> demands that fit on no worker. They stay valid for the
    # whole pass, as free capacity only shrinks.
    capacity.unplaceable_demands = {}


def _median_slowness(workers):
    values = sorted(worker.slowness for worker in workers)
    return values[len(values) // 2] if values else 1.0


def refresh(capacity, workers, now):
    """Begin a pass: update the entries of the workers that have changed.

    ``workers`` maps the ids of all known workers to them.
    """
    _begin_pass(capacity)
    capacity.now = now
    changed = [worker for worker in workers.values() if worker.changed]
    for worker_id in capacity.keys.keys() - workers.keys():
        _remove_worker(capacity, worker_id)
    for ids in capacity.askable.values():
        for worker_id in ids.keys() - workers.keys():
            del ids[worker_id]
    if not changed:
        return
    usable = []
    for worker in changed:
        _remove_worker(capacity, worker.info.id)
        _update_askable(capacity, worker)
        # A worker that is avoided or in trial for a while becomes usable by itself.
        worker.changed = now < worker.avoid_until or is_in_trial(worker)
        if is_usable(worker, now):
            usable.append(worker)
    speeds = [worker.speed for worker in workers.values()]
    capacity.are_uneven, capacity.typical_speed = are_uneven(speeds)
    median = _median_slowness([*capacity.workers.values(), *usable])
    if abs(median - capacity.typical_slowness) > 0.1 * capacity.typical_slowness:
        capacity.typical_slowness = median
        for worker in list(capacity.workers.values()):
            _remove_worker(capacity, worker.info.id)
            usable.append(worker)
    for worker in usable:
        _add_worker(capacity, worker)


def _add_worker(capacity, worker, free=None):
    worker_id = worker.info.id
    capacity.workers[worker_id] = worker
    capacity.free[worker_id] = free or list(free_capacity(worker))
    order = capacity.workers_by_free_cpu.setdefault(worker.info.service, SortedList())
    key = capacity.keys[worker_id] = sort_key(capacity, worker)
    order.add(key)


def _remove_worker(capacity, worker_id):
    worker = capacity.workers.pop(worker_id, None)
    if worker is None:
        return
    del capacity.free[worker_id]
    key = capacity.keys.pop(worker_id)
    for order in capacity.workers_by_free_cpu.values():
        order.discard(key)


def close_worker(capacity, worker):
    """Place nothing more on a worker in this pass."""
    _remove_worker(capacity, worker.info.id)
    worker.changed = True


def move_worker(source, target, worker):
    """Close a worker in ``source`` and add it to ``target`` with what is free now."""
    free = source.free[worker.info.id]
    close_worker(source, worker)
    _add_worker(target, worker, free)


def is_half_free(capacity, service):
    """Return whether less than half of each resource of the usable workers is in use.

    It is so for the whole pass if it was when first asked.
    """
    if service not in capacity.half_free:
        total, free = [0, 0, 0], [0, 0, 0]
        for worker in capacity.workers.values():
            info = worker.info
            if info.service != service:
                continue
            amounts = (info.cpu, info.memory_mb, info.accelerators)
            for i, amount in enumerate(amounts):
                total[i] += amount
                free[i] += capacity.free[info.id][i]
        capacity.half_free[service] = all(
            2 * have > size for have, size in zip(free, total, strict=True) if size
        )
    return capacity.half_free[service]


def _update_askable(capacity, worker):
    info = worker.info
    ids = capacity.askable.setdefault(info.service, {})
    if worker.registered and not info.draining:
        ids[info.id] = None
    else:
        ids.pop(info.id, None)


def is_slow(capacity, worker):
    """Return whether the worker is much slower than the median worker."""
    if capacity.are_uneven:
        return worker.speed.mean - capacity.typical_speed > SLOW_LOG
    return worker.slowness > SLOW_FACTOR * capacity.typical_slowness


def sort_key(capacity, worker):
    """Return the worker's key in ``FreeCapacity.workers_by_free_cpu``.

    The key is (suspect, free processors, id). A worker is suspect if a run has failed
    on it since the last success, or if it is slow.
    """
    suspect = worker.failures > 0 or is_slow(capacity, worker)
    return suspect, capacity.free[worker.info.id][0], worker.info.id
