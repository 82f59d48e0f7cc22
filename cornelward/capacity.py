"""Capacity of workers: resource amounts, the worker table and its capacity indexes.

An index groups workers into buckets by whole free processors, and sorts each bucket by
free memory. The number of buckets that a best-fit search visits depends on the size of
the workers, not on their number.
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
    "count_within",
    "fits",
    "largest_fraction",
    "release_allocations",
    "set_preemptible",
    "set_usage",
    "to_resources",
    "update_indexes",
]

# The first bucket of a search also contains workers with slightly fewer free processors
# than requested. The search examines this many of its workers first, and the rest only
# after all larger buckets.
BOUNDARY_WORKERS = 8
# Tolerance for rounding errors from adding and subtracting fractions of a processor.
EPSILON = 1e-6


class Resources(NamedTuple):
    """Amounts of processors, memory in megabytes and accelerators."""

    cpu: float
    memory_mb: float
    accelerators: float


ZERO_RESOURCES = Resources(0.0, 0.0, 0.0)


class Allocation:
    """Capacity of a worker that one task attempt occupies.

    ``size`` is the maximum of the declared demand and the reported usage, separately
    for each resource.
    """

    __slots__ = ("declared", "preemptible", "size")

    def __init__(self, declared, preemptible):
        self.declared = declared
        self.size = declared
        self.preemptible = preemptible


class Worker:
    """One worker and its free capacity.

    ``evictable`` is the free capacity plus that of preemptible tasks. ``acks`` are the
    results that the worker may discard, because they are recorded. ``worker_leases``
    explains the fields of the lease.
    """

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
        # Owner of the reservation or hold on this worker, see ``reservations``.
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
    """Workers that accept work, indexed by free or by evictable capacity."""

    def __init__(self):
        self.buckets = {}
        self.places = {}


class WorkerTable:
    """All workers of the failure domain, and indexes of those that accept work.

    ``free`` contains the workers without a reservation by free capacity, ``reserved``
    those with a reservation by free capacity, and ``evictable`` both kinds by free
    capacity plus that of preemptible tasks. ``examined`` counts the workers that
    searches examined, ``changes`` the updates of the indexes.
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
    """Return the Resources of a JSON object; missing members count as 0."""
    return Resources(
        float(value.get("cpu") or 0),
        float(value.get("memory_mb") or 0),
        float(value.get("accelerators") or 0),
    )


def fits(demand, free):
    """Return whether ``free`` has enough of every resource for ``demand``."""
    return (
        demand[0] <= free[0] + EPSILON
        and demand[1] <= free[1] + EPSILON
        and demand[2] <= free[2] + EPSILON
    )


def count_within(limits, used, demand, count):
    """Return how many of ``count`` tasks of size ``demand`` fit within ``limits``.

    ``used`` is in use already; a limit may be infinite.
    """
    for limit, amount, size in zip(limits, used, demand, strict=True):
        if size > 0 and limit < math.inf:
            count = min(count, int((limit - amount) / size + EPSILON))
    return max(count, 0)


def largest_fraction(used, total):
    """Return the largest fraction of any resource of ``total`` that is in use."""
    pairs = zip(used, total, strict=True)
    return max((amount / size for amount, size in pairs if size > 0), default=0.0)


def add_allocation(table, worker, key, declared, preemptible=False):
    """Allocate capacity to a task attempt, ``key`` being ``(task name, attempt)``.

    Does nothing if the attempt has an allocation already.
    """
    if key not in worker.allocations:
        worker.allocations[key] = Allocation(declared, preemptible)
        _adjust_free(worker, declared, preemptible, -1)
        update_indexes(table, worker)


def set_preemptible(table, worker, key, preemptible):
    """Correct an allocation that was made before the job's policy was known."""
    allocation = worker.allocations.get(key)
    if allocation is not None and allocation.preemptible != preemptible:
        _adjust_free(worker, allocation.size, allocation.preemptible, 1)
        allocation.preemptible = preemptible
        _adjust_free(worker, allocation.size, preemptible, -1)
        update_indexes(table, worker)


def set_usage(table, worker, key, used):
    """Apply reported usage, which counts only where it exceeds the declared demand."""
    allocation = worker.allocations[key]
    size = Resources(*map(max, allocation.declared, used))
    if size != allocation.size:
        _adjust_free(worker, allocation.size, allocation.preemptible, 1)
        allocation.size = size
        _adjust_free(worker, size, allocation.preemptible, -1)
        update_indexes(table, worker)


def release_allocations(table, worker, keys):
    """Release the allocations of task attempts; unknown keys are ignored."""
    for key in keys:
        allocation = worker.allocations.pop(key, None)
        if allocation is not None:
            _adjust_free(worker, allocation.size, allocation.preemptible, 1)
    if not worker.allocations:
        # An idle worker has its whole capacity, without accumulated rounding errors.
        worker.free = worker.evictable = worker.capacity
    update_indexes(table, worker)


def _adjust_free(worker, size, preemptible, sign):
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
    """Update the indexes after a worker's capacity, state or reservation changed."""
    table.changes += 1
    is_reserved = worker.reserved is not None
    _update_index(table.free, worker, None if is_reserved else worker.free)
    _update_index(table.reserved, worker, worker.free if is_reserved else None)
    _update_index(table.evictable, worker, worker.evictable)


def _bucket(cpu):
    """Return the bucket number for an amount of free processors.

    There is a bucket for each whole processor up to 64, and four for each doubling
    above that.
    """
    if cpu < 64:
        return int(cpu + EPSILON)
    return 40 + int(4 * math.log2(cpu))


def _update_index(index, worker, amounts):
    position = None
    usable = worker.accepts and amounts is not None
    if usable and amounts[0] > -EPSILON and amounts[1] > -EPSILON:
        # Workers with accelerators form a group of their own, so that work without
        # accelerators uses them last.
        position = (amounts[2] >= 1, _bucket(amounts[0]), amounts[1])
    old = index.places.get(worker.id)
    if old == position:
        return
    if old is not None:
        group = index.buckets[old[0]]
        bucket = group[old[1]]
        bucket.remove((old[2], worker.id))
        if not bucket:
            del group[old[1]]
        del index.places[worker.id]
    if position is not None:
        group = index.buckets.setdefault(position[0], SortedDict())
        if position[1] not in group:
            group[position[1]] = SortedList()
        group[position[1]].add((position[2], worker.id))
        index.places[worker.id] = position


def candidates(table, index, demand):
    """Yield workers whose indexed capacity may fit ``demand``, least capacity first.

    Callers check ``fits`` themselves and stop when they have found enough workers.
    """
    groups = (True,) if demand[2] >= 1 else (False, True)
    first = _bucket(demand[0])
    for flag in groups:
        group = index.buckets.get(flag)
        if not group:
            continue
        for number in list(group.irange(first)):
            limit = BOUNDARY_WORKERS if number == first else None
            yield from _scan_bucket(table, group[number], demand, 0, limit)
    for flag in groups:
        group = index.buckets.get(flag)
        if group and first in group:
            yield from _scan_bucket(table, group[first], demand, BOUNDARY_WORKERS, None)


def _scan_bucket(table, bucket, demand, skip, limit):
    start = bucket.bisect_left((demand[1] - EPSILON, "")) + skip
    stop = None if limit is None else start + limit
    for _, worker_id in bucket.islice(start, stop):
        table.examined += 1
        yield table.by_id[worker_id]
