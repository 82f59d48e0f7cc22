"""Core: selects the workers on which the tasks of a ready step run.

It reads the tables of jobs and workers and updates the free capacity of one planning
pass; it writes no records and sends no messages.
"""

import heapq
import itertools
import math
from collections import deque
from typing import NamedTuple

from . import worker_speeds
from .capacity_index import FreeCapacity, is_slow, sort_key
from .gang_reservations import passes_reservations, reserve_for_gang
from .worker_health import (
    has_probe,
    is_avoided_for,
    is_failing_for,
    is_on_probation,
)
from .workers import demand_of

__all__ = [
    "Candidate",
    "FreeCapacity",
    "Placement",
    "emptiest_slots",
    "fill_worker",
    "fit_gang",
    "fit_tasks",
    "fits_nowhere",
    "reserve_for_gang",
    "unfit_reason",
]


# Tasks with an estimate up to this go to the fastest worker, as their latency
# objectives leave little slack.
SHORT_TASK_S = 1.0
# Limit on the workers with enough free capacity that are compared for a task, the
# fullest first. Comparing more costs time and rarely finds a better placement.
MAX_COMPARED_WORKERS = 24


class Candidate(NamedTuple):
    """A ready step with tasks to place; ``key`` is (occurrence, step number).

    ``allowed`` maps the ids of approved workers to tickets; it is None if no policy
    service decides about the queue.
    """

    job: object
    key: tuple
    tasks: list
    allowed: dict | None
    # How many times its typical length the step may last; see ``worker_speeds``.
    patience: float = 0.0


class Placement(NamedTuple):
    """A task, the worker that runs it, and the policy ticket (empty if none)."""

    task: object
    worker: object
    ticket: str


def iter_workers_with_cpu(capacity, service, cpu, emptiest_first=False):
    """Yield workers with at least ``cpu`` free processors.

    Workers that are not suspect come first; within both groups the fullest comes first,
    or the emptiest.
    """
    order = capacity.workers_by_free_cpu.get(service)
    if order is None:
        return
    # Free processors can be negative: runs of a former leader are counted as they are
    # found, even if they exceed the worker's capacity.
    least = cpu or -math.inf
    for suspect in (False, True):
        first = order.bisect_left((suspect, least, ""))
        after = order.bisect_left((suspect, math.inf, ""))
        keys = order.islice(first, after, reverse=emptiest_first)
        for _, _, worker_id in keys:
            capacity.examined += 1
            yield capacity.workers[worker_id]


def fits_nowhere(capacity, candidate, service):
    """Return whether not even one task fits on any worker, regardless of tickets.

    Demands that fit nowhere are remembered for the pass, so that steps that demand as
    much or more are rejected without examining the workers.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    passes = passes_reservations(capacity, candidate.job, step)
    lookup_keys = [
        (service, label, flag) for label in {step.label, ""} for flag in {passes, True}
    ]
    if any(
        all(need >= least for need, least in zip(demand, known, strict=True))
        for key in lookup_keys
        for known in capacity.unplaceable_demands.get(key, ())
    ):
        return True
    for worker in iter_workers_with_cpu(capacity, service, demand[0]):
        may_use = _may_use(capacity, worker, step, passes)
        if may_use and count_fitting_tasks(capacity, worker, step):
            return False
    capacity.unplaceable_demands.setdefault((service, step.label, passes), []).append(
        demand
    )
    return True


def _may_use(capacity, worker, step, passes):
    if step.label and step.label not in worker.info.labels:
        return False
    return passes or worker.info.id not in capacity.reserved_workers


def unfit_reason(capacity, worker, job, key):
    """Return why a task of the step does not fit on a usable worker, or None."""
    step = job.spec.steps[key[1]]
    worker_id = worker.info.id
    if worker_id not in capacity.free:
        return "closed in this pass"
    if step.label and step.label not in worker.info.labels:
        return "other label"
    if not _may_use(capacity, worker, step, passes_reservations(capacity, job, step)):
        return "reserved"
    if not count_fitting_tasks(capacity, worker, step):
        return "on probation" if is_on_probation(worker) else "full"
    if not count_fitting_tasks(capacity, worker, step, job.spec.id):
        return "on probation for its job"
    if step.max_per_worker:
        placed = tasks_by_worker_of(job, key).get(worker_id, 0)
        return "limit per worker" if placed >= step.max_per_worker else None
    return None


def count_fitting_tasks(capacity, worker, step, job_id=None):
    """Return how many tasks of ``step`` may be placed on the worker now.

    A worker on probation gets one task at a time until one has succeeded, or the
    members of one gang, which run together or not at all. Otherwise a faulty worker
    would be filled, and fail all its tasks at once, each time its avoidance period
    ends. With ``job_id`` that holds for the only job that fails there.
    """
    free, demand = capacity.free[worker.info.id], demand_of(step)
    counts = [have // need for have, need in zip(free, demand, strict=True) if need > 0]
    count = max(0, min(counts)) if counts else 1_000
    probes = count if step.gang else min(1, count)
    if is_on_probation(worker):
        return 0 if has_probe(worker) else probes
    if job_id is not None and is_failing_for(worker, job_id):
        waits = is_avoided_for(worker, job_id, capacity.now)
        return 0 if waits or has_probe(worker, job_id) else probes
    return count


def tasks_by_worker_of(job, key):
    counts = {}
    for task in job.tasks[key]:
        if task.run is not None:
            counts[task.run.worker] = counts.get(task.run.worker, 0) + 1
    return counts


def _eligible(capacity, candidate, service, demand, emptiest_first):
    """Yield (worker, ticket) of the workers that the candidate may use."""
    allowed = candidate.allowed
    if allowed is None:
        cpu = demand[0]
        for worker in iter_workers_with_cpu(capacity, service, cpu, emptiest_first):
            yield worker, ""
        return
    for worker_id, ticket in allowed.items():
        worker = capacity.workers.get(worker_id)
        if worker is not None and worker.info.service == service:
            capacity.examined += 1
            yield worker, ticket


def iter_slots(capacity, candidate, service, emptiest_first=False):
    """Yield (worker, number of tasks that fit, ticket) for a candidate's step."""
    job, key = candidate.job, candidate.key
    step = job.spec.steps[key[1]]
    demand = demand_of(step)
    tasks_by_worker = tasks_by_worker_of(job, key) if step.max_per_worker else {}
    passes = passes_reservations(capacity, job, step)
    eligible = _eligible(capacity, candidate, service, demand, emptiest_first)
    for worker, ticket in eligible:
        if not _may_use(capacity, worker, step, passes):
            continue
        count = count_fitting_tasks(capacity, worker, step, job.spec.id)
        if step.max_per_worker:
            count = min(
                count, step.max_per_worker - tasks_by_worker.get(worker.info.id, 0)
            )
        if count > 0:
            yield worker, count, ticket


def slots_by_worker(capacity, candidate, service, max_workers=None):
    """Return the list of ``iter_slots``.

    With ``max_workers`` the search stops once it has found that many workers and
    capacity for all tasks, unless the step prefers a rack or needs tickets.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    if step.near_rack or candidate.allowed is not None:
        max_workers = None
    found, total = [], 0
    for slot in iter_slots(capacity, candidate, service):
        found.append(slot)
        total += slot[1]
        if max_workers and len(found) >= max_workers and total >= len(candidate.tasks):
            break
    return found


def _consume(capacity, worker, demand):
    worker_id = worker.info.id
    order = capacity.workers_by_free_cpu[worker.info.service]
    order.remove(capacity.keys[worker_id])
    free = capacity.free[worker_id]
    for i, amount in enumerate(demand):
        free[i] -= amount
    key = capacity.keys[worker_id] = sort_key(capacity, worker)
    order.add(key)


def fit_tasks(capacity, candidate, service):
    """Return Placements for as many tasks of the step as fit.

    Best fit: slow workers are used last, and among workers of similar speed the fullest
    is used first, which keeps nearly idle workers available for gangs and large tasks.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    slots = slots_by_worker(capacity, candidate, service, MAX_COMPARED_WORKERS)
    # Only the worker that was chosen last has a new preference.
    heap = [
        (_preference(capacity, candidate, worker), worker, count, ticket)
        for worker, count, ticket in slots
    ]
    heapq.heapify(heap)
    placed = []
    tasks = deque(sorted(candidate.tasks, key=lambda task: -task.failures))
    while tasks and heap:
        _, worker, count, ticket = heap[0]
        # A worker that fails gets a task that has not failed yet, so that it does not
        # use up the attempts of one task.
        task = tasks.pop() if worker.failures else tasks.popleft()
        placed.append(Placement(task, worker, ticket))
        _consume(capacity, worker, demand)
        if count <= 1 or count_fitting_tasks(capacity, worker, step) < 1:
            heapq.heappop(heap)
        else:
            preference = _preference(capacity, candidate, worker)
            heapq.heapreplace(heap, (preference, worker, count - 1, ticket))
    return placed


def emptiest_slots(capacity, candidate, service, max_workers):
    """Return the first of ``iter_slots`` if the emptiest workers come first.

    Where the step needs tickets, the workers come in the order of these.
    """
    slots = iter_slots(capacity, candidate, service, emptiest_first=True)
    return list(itertools.islice(slots, max_workers))


def fill_worker(capacity, candidate, slot):
    """Return Placements of as many tasks as fit on the worker of a slot."""
    worker, count, ticket = slot
    step = candidate.job.spec.steps[candidate.key[1]]
    tasks = candidate.tasks[:count]
    for _ in tasks:
        _consume(capacity, worker, demand_of(step))
    return [Placement(task, worker, ticket) for task in tasks]


def _preference(capacity, candidate, worker):
    """Return the sort key of a worker for a step's task; the lowest key is preferred.

    Workers on the preferred rack come first, then workers without a failure since
    their last success, then workers that are not slow, then (for short tasks) the
    fastest, then the fullest. Workers that fail or are slow get work only when the
    others are full. Where workers differ in speed, ``worker_speeds`` ranks them.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    near = not step.near_rack or worker.info.rack == step.near_rack
    slow = is_slow(capacity, worker)
    if capacity.are_uneven:
        typical = capacity.typical_speed
        rank = worker_speeds.slowness_rank(worker, typical, candidate.patience)
    else:
        short = step.estimate_s <= SHORT_TASK_S
        rank = (False, round(worker.slowness, 1) if short else 0)
    free_cpu = capacity.free[worker.info.id][0]
    return (
        not near,
        worker.failures > 0,
        slow,
        rank,
        free_cpu,
        worker.info.id,
    )


def fit_gang(capacity, candidate, service, may_use=None):
    """Return Placements for all tasks of a gang, or None if they do not fit now.

    With ``may_use`` only workers are used for which it returns true.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    slots = slots_by_worker(capacity, candidate, service)
    if may_use is not None:
        slots = [slot for slot in slots if may_use(slot[0])]
    groups = [slots]
    if step.one_rack:
        racks = {}
        for slot in slots:
            racks.setdefault(slot[0].info.rack, []).append(slot)
        # A single rack is preferred; several are used only if no rack fits the gang.
        groups = [*sorted(racks.values(), key=_total_slots), slots]
    for group in groups:
        if _total_slots(group) >= len(candidate.tasks):
            return _assign_gang(capacity, candidate, group)
    return None


def _total_slots(slots):
    return sum(count for _, count, _ in slots)


def _assign_gang(capacity, candidate, slots):
    demand = demand_of(candidate.job.spec.steps[candidate.key[1]])
    order = sorted(slots, key=lambda s: _preference(capacity, candidate, s[0]))
    tasks = iter(candidate.tasks)
    placed = []
    for worker, count, ticket in order:
        for _ in range(count):
            task = next(tasks, None)
            if task is None:
                return placed
            placed.append(Placement(task, worker, ticket))
            _consume(capacity, worker, demand)
    return placed
