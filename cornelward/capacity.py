"""Capacity of workers: vectors, the worker table and the free-capacity index.

The index has one bucket for each whole processor of free capacity, and each bucket is
sorted by free memory. A best-fit search visits a number of buckets that depends on the
size of a worker, not on how many workers there are.
"""

import math
from typing import NamedTuple

from sortedcontainers import SortedDict, SortedList

__all__ = [
    "Allocation",
    "Resources",
    "Worker",
    "WorkerIndex",
    "WorkerTable",
    "add_allocation",
    "candidates",
    "fits",
    "release_allocations",
    "set_preemptible",
    "set_usage",
    "to_resources",
    "update_indexes",
]

# A boundary bucket mixes workers with slightly less and slightly more free processors
# than wanted. The search first looks at this many of them, at all only if nothing else
# fits.
BOUNDARY_WORKERS = 8
# Absorbs rounding when fractions of a processor are added and subtracted.
EPSILON = 1e-6


class Resources(NamedTuple):
    """Processors, megabytes and accelerators."""

    cpu: float
    memory_mb: float
    accelerators: float


ZERO_RESOURCES = Resources(0.0, 0.0, 0.0)


class Allocation:
    """What one task attempt takes of its worker: max(declared, reported usage)."""

    __slots__ = ("declared", "preemptible", "size")

    def __init__(self, declared, preemptible):
        self.declared = declared
        self.size = declared
        self.preemptible = preemptible


class Worker:
    """One worker; see ``worker_leases`` for the lease fields."""

    __slots__ = (
        "accepts",
        "acks",
        "address",
        "allocations",
        "capacity",
        "clock_ms",
        "contacted_at",
        "epoch",
        "evictable",
        "free",
        "id",
        "in_flight",
        "member",
        "rack",
        "renew_at",
        "report_sent_at",
        "reported_at",
        "reserved",
    )

    def __init__(self, worker_id, address, rack, capacity):
        self.id = worker_id
        self.address = address
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.evictable = capacity
        self.allocations = {}
        self.acks = set()
        self.accepts = False
        # Job for which the worker is kept, see ``reservations``.
        self.reserved = None
        self.member = True
        self.epoch = 0
        self.clock_ms = 0
        self.contacted_at = None
        self.reported_at = None
        self.report_sent_at = -math.inf
        self.renew_at = 0.0
        self.in_flight = None


class WorkerIndex:
    """Workers that accept work, by one of their vectors."""

    def __init__(self):
        self.buckets = {}
        self.places = {}


class WorkerTable:
    """All workers of the failure domain.

    ``free`` indexes free capacity, ``reserved`` that of workers kept for one job, and
    ``evictable`` free capacity plus what preemptible tasks hold, of all workers.
    ``examined`` counts the workers that searches looked at.
    """

    def __init__(self):
        self.by_id = {}
        self.free = WorkerIndex()
        self.reserved = WorkerIndex()
        self.evictable = WorkerIndex()
        self.examined = 0
        self.largest = ZERO_RESOURCES
        self.changes = 0


def to_resources(value):
    """Return the Vector of a JSON object; missing members count as 0."""
    return Resources(
        float(value.get("cpu") or 0),
        float(value.get("memory_mb") or 0),
        float(value.get("accelerators") or 0),
    )


def fits(demand, free):
    """Return whether ``demand`` fits into ``free`` in every dimension."""
    return (
        demand[0] <= free[0] + EPSILON
        and demand[1] <= free[1] + EPSILON
        and demand[2] <= free[2] + EPSILON
    )


def add_allocation(table, worker, key, declared, preemptible=False):
    """Charge a task attempt once; ``key`` is ``(task name, attempt)``."""
    if key not in worker.allocations:
        worker.allocations[key] = Allocation(declared, preemptible)
        _shift(worker, declared, preemptible, -1)
        update_indexes(table, worker)


def set_preemptible(table, worker, key, preemptible):
    """Correct a charge that was made before the job's policy was known."""
    charge = worker.allocations.get(key)
    if charge is not None and charge.preemptible != preemptible:
        _shift(worker, charge.size, charge.preemptible, 1)
        charge.preemptible = preemptible
        _shift(worker, charge.size, preemptible, -1)
        update_indexes(table, worker)


def set_usage(table, worker, key, used):
    """Take a reported usage: it can only make less capacity available."""
    charge = worker.allocations[key]
    size = Resources(*map(max, charge.declared, used))
    if size != charge.size:
        _shift(worker, charge.size, charge.preemptible, 1)
        charge.size = size
        _shift(worker, size, charge.preemptible, -1)
        update_indexes(table, worker)


def release_allocations(table, worker, keys):
    """Release charges; unknown keys are ignored."""
    for key in keys:
        charge = worker.allocations.pop(key, None)
        if charge is not None:
            _shift(worker, charge.size, charge.preemptible, 1)
    if not worker.allocations:
        # Rounding errors don't outlive the last task.
        worker.free = worker.evictable = worker.capacity
    update_indexes(table, worker)


def _shift(worker, size, preemptible, sign):
    free = worker.free
    worker.free = Resources(
        free[0] + sign * size[0], free[1] + sign * size[1], free[2] + sign * size[2]
    )
    if not preemptible:
        free = worker.evictable
        worker.evictable = Resources(
            free[0] + sign * size[0], free[1] + sign * size[1], free[2] + sign * size[2]
        )


def update_indexes(table, worker):
    """Bring the indexes up to date after a change of ``free`` or ``accepts``."""
    table.changes += 1
    kept = worker.reserved is not None
    _place(table.free, worker, None if kept else worker.free)
    _place(table.reserved, worker, worker.free if kept else None)
    _place(table.evictable, worker, worker.evictable)


def _bucket(cpu):
    """Whole processors up to 64, then steps of a quarter of a power of two."""
    if cpu < 64:
        return int(cpu + EPSILON)
    return 40 + int(4 * math.log2(cpu))


def _place(index, worker, vector):
    place = None
    usable = worker.accepts and vector is not None
    if usable and vector[0] > -EPSILON and vector[1] > -EPSILON:
        # Workers with accelerators are kept apart, so that other work takes them last.
        place = (vector[2] >= 1, _bucket(vector[0]), vector[1])
    old = index.places.get(worker.id)
    if old == place:
        return
    if old is not None:
        group = index.buckets[old[0]]
        bucket = group[old[1]]
        bucket.remove((old[2], worker.id))
        if not bucket:
            del group[old[1]]
        del index.places[worker.id]
    if place is not None:
        group = index.buckets.setdefault(place[0], SortedDict())
        if place[1] not in group:
            group[place[1]] = SortedList()
        group[place[1]].add((place[2], worker.id))
        index.places[worker.id] = place


def candidates(table, index, demand):
    """Yield workers whose indexed vector may fit ``demand``, the tightest first.

    Callers check ``fits`` themselves and stop when they have enough.
    """
    groups = (True,) if demand[2] >= 1 else (False, True)
    first = _bucket(demand[0])
    for flag in groups:
        group = index.buckets.get(flag)
        if not group:
            continue
        for number in list(group.irange(first)):
            limit = BOUNDARY_WORKERS if number == first else None
            yield from _from_bucket(table, group[number], demand, 0, limit)
    for flag in groups:
        group = index.buckets.get(flag)
        if group and first in group:
            yield from _from_bucket(table, group[first], demand, BOUNDARY_WORKERS, None)


def _from_bucket(table, bucket, demand, skip, limit):
    start = bucket.bisect_left((demand[1] - EPSILON, "")) + skip
    stop = None if limit is None else start + limit
    for _, worker_id in bucket.islice(start, stop):
        table.examined += 1
        yield table.by_id[worker_id]
