"""Core: which waiting step goes next, and on which workers its tasks go.

Pure functions over the tables of jobs and workers; nothing here records or sends.
"""

import math
from typing import NamedTuple

from sortedcontainers import SortedList

from .workers import demand_of, free_capacity, is_on_probation

__all__ = [
    "Candidate",
    "FreeCapacity",
    "Placement",
    "fit_gang",
    "fit_tasks",
    "fits_nowhere",
    "reserve_for_gang",
]


# A worker this much slower than the typical one gets work last.
SLOW_FACTOR = 2.0
# Tasks up to this estimate go to the fastest worker: their objectives are close.
SHORT_TASK_S = 1.0
# Workers with room that are compared for a task, the fullest of them first: more would
# cost time and hardly find a better place.
MAX_COMPARED_WORKERS = 24
# Waiting gangs that hold workers at a time; each leaves room unused for a while.
MAX_RESERVING_GANGS = 2


class Candidate(NamedTuple):
    """A ready step with tasks to place; ``allowed`` maps worker id to ticket.

    ``allowed`` is None where no policy service has a say.
    """

    job: object
    key: tuple
    tasks: list
    allowed: dict | None


class Placement(NamedTuple):
    """A task and the worker it goes to."""

    task: object
    worker: object
    ticket: str


class FreeCapacity:
    """Free room of the usable workers during one pass.

    ``jobs`` and ``examined`` count the jobs and workers that were looked at, as the
    measure of its cost.
    """

    __slots__ = (
        "by_free",
        "examined",
        "free",
        "jobs",
        "misses",
        "reserved_workers",
        "reserving_gangs",
        "typical_slowness",
        "workers",
    )

    def __init__(self, workers):
        self.workers = {w.info.id: w for w in workers}
        self.free = {w.info.id: list(free_capacity(w)) for w in workers}
        paces = sorted(w.slowness for w in workers)
        self.typical_slowness = paces[len(paces) // 2] if paces else 1.0
        # Workers that waiting gangs count on, and how many gangs those are.
        self.reserved_workers = set()
        self.reserving_gangs = 0
        self.jobs = self.examined = 0
        # Service -> (doubtful, free processors, id), ascending.
        self.by_free = {}
        for worker in workers:
            order = self.by_free.setdefault(worker.info.service, [])
            order.append(position(self, worker))
        self.by_free = {k: SortedList(order) for k, order in self.by_free.items()}
        # (service, label, urgent) -> demands that fitted nowhere; room only shrinks.
        self.misses = {}


def is_slow(capacity, worker):
    """Return whether the worker is much slower than the typical one."""
    return worker.slowness > SLOW_FACTOR * capacity.typical_slowness


def position(capacity, worker):
    """Return the worker's place in ``Room.by_free``: sound workers first."""
    doubtful = worker.failures > 0 or is_slow(capacity, worker)
    return doubtful, capacity.free[worker.info.id][0], worker.info.id


def in_room_order(capacity, service, cpu):
    """Yield workers with ``cpu`` free, sound ones first, then the fullest."""
    order = capacity.by_free.get(service)
    if order is None:
        return
    # A worker may hold more than it has: a former leader's runs are counted as found.
    least = cpu or -math.inf
    for doubtful in (False, True):
        first = order.bisect_left((doubtful, least, ""))
        for is_doubtful, _, worker_id in order.islice(first):
            if is_doubtful != doubtful:
                break
            capacity.examined += 1
            yield capacity.workers[worker_id]


def fits_nowhere(capacity, candidate, service):
    """Return whether no worker has room for one task, whatever the tickets say.

    A demand that fitted nowhere is remembered for the pass: what asks for as much or
    more needs no look at the workers.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    is_urgent = candidate.job.spec.queue.priority == 0
    missed = [
        (service, label, urgent)
        for label in {step.label, ""}
        for urgent in {is_urgent, True}
    ]
    if any(
        all(need >= least for need, least in zip(demand, known, strict=True))
        for key in missed
        for known in capacity.misses.get(key, ())
    ):
        return True
    for worker in in_room_order(capacity, service, demand[0]):
        if _may_use(capacity, worker, step, is_urgent) and fits(
            capacity, worker, demand
        ):
            return False
    capacity.misses.setdefault((service, step.label, is_urgent), []).append(demand)
    return True


def _may_use(capacity, worker, step, is_urgent):
    if step.label and step.label not in worker.info.labels:
        return False
    return is_urgent or worker.info.id not in capacity.reserved_workers


def fits(capacity, worker, demand):
    """Return how many tasks of ``demand`` the worker may get now.

    Answers a worker that fails all it gets at once, each time its avoidance ends: it
    gets one task until one has succeeded.
    """
    free = capacity.free[worker.info.id]
    counts = [have // need for have, need in zip(free, demand, strict=True) if need > 0]
    count = max(0, min(counts)) if counts else 1_000
    if is_on_probation(worker):
        return 0 if worker.runs else min(1, count)
    return count


def _tasks_there(job, key):
    counts = {}
    for task in job.tasks[key]:
        if task.run is not None:
            counts[task.run.worker] = counts.get(task.run.worker, 0) + 1
    return counts


def _eligible(capacity, candidate, service, step, demand):
    """Yield (worker, ticket) of the workers that the candidate may use."""
    allowed = candidate.allowed
    if allowed is None:
        for worker in in_room_order(capacity, service, demand[0]):
            yield worker, ""
        return
    for worker_id, ticket in allowed.items():
        worker = capacity.workers.get(worker_id)
        if worker is not None and worker.info.service == service:
            capacity.examined += 1
            yield worker, ticket


def slots_by_worker(capacity, candidate, service, compared=None):
    """Return [(worker, tasks that fit, ticket)] for a candidate's step.

    With ``compared`` the list ends once it has so many workers and room for all tasks,
    unless the step has data on a rack or tickets.
    """
    job, key = candidate.job, candidate.key
    step = job.spec.steps[key[1]]
    demand = demand_of(step)
    there = _tasks_there(job, key) if step.max_per_worker else {}
    is_urgent = job.spec.queue.priority == 0
    if step.near_rack or candidate.allowed is not None:
        compared = None
    found, total = [], 0
    for worker, ticket in _eligible(capacity, candidate, service, step, demand):
        if not _may_use(capacity, worker, step, is_urgent):
            continue
        count = fits(capacity, worker, demand)
        if step.max_per_worker:
            count = min(count, step.max_per_worker - there.get(worker.info.id, 0))
        if count <= 0:
            continue
        found.append((worker, count, ticket))
        total += count
        if compared and len(found) >= compared and total >= len(candidate.tasks):
            break
    return found


def _take(capacity, worker, demand):
    order = capacity.by_free[worker.info.service]
    order.remove(position(capacity, worker))
    free = capacity.free[worker.info.id]
    for i, amount in enumerate(demand):
        free[i] -= amount
    order.add(position(capacity, worker))


def fit_tasks(capacity, candidate, service):
    """Return Placements for as many tasks of the step as there is room for.

    Best fit among workers of like speed: slow workers last, then the fullest, so that
    room for wide and large tasks is kept.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    slots = {
        w.info.id: [w, n, ticket]
        for w, n, ticket in slots_by_worker(
            capacity, candidate, service, MAX_COMPARED_WORKERS
        )
    }
    placed = []
    for task in candidate.tasks:
        best = min(
            slots.values(),
            key=lambda s: _preference(capacity, step, s[0]),
            default=None,
        )
        if best is None:
            break
        placed.append(Placement(task, best[0], best[2]))
        _take(capacity, best[0], demand)
        best[1] -= 1
        if best[1] <= 0 or fits(capacity, best[0], demand) < 1:
            del slots[best[0].info.id]
    return placed


def _preference(capacity, step, worker):
    """Return the sort key of a worker for a task: near data, sound, fast, then full.

    Answers workers that fail or slow down while others are sound: what failed last and
    what is slow gets work only when the others are full.
    """
    near = not step.near_rack or worker.info.rack == step.near_rack
    slow = is_slow(capacity, worker)
    short = step.estimate_s <= SHORT_TASK_S
    pace = round(worker.slowness, 1) if short else 0
    full = capacity.free[worker.info.id][0]
    return (not near, worker.failures > 0, slow, pace, full, worker.info.id)


def reserve_for_gang(capacity, candidate, service, approved):
    """Keep workers back for a gang that does not fit now.

    Answers narrow work that keeps coming: it would fill each gap before a wide gang
    fits. The workers that will hold the gang when they are empty are held for it, those
    with the most free room first.
    """
    if capacity.reserving_gangs >= MAX_RESERVING_GANGS:
        return
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    fitting = [
        w
        for i, w in capacity.workers.items()
        if w.info.service == service
        and i not in capacity.reserved_workers
        and (approved is None or i in approved)
        and (not step.label or step.label in w.info.labels)
    ]
    fitting.sort(key=lambda w: -capacity.free[w.info.id][0])
    wanted, chosen = len(candidate.tasks), []
    for worker in fitting:
        if wanted <= 0:
            break
        wanted -= _slots_when_empty(worker, demand, step)
        chosen.append(worker.info.id)
    if wanted <= 0:
        capacity.reserving_gangs += 1
        capacity.reserved_workers.update(chosen)


def _slots_when_empty(worker, demand, step):
    info = worker.info
    whole = (info.cpu, info.memory_mb, info.accelerators)
    counts = [have // need for have, need in zip(whole, demand, strict=True) if need]
    count = min(counts, default=1)
    return min(count, step.max_per_worker) if step.max_per_worker else count


def fit_gang(capacity, candidate, service):
    """Return Placements for all tasks of a gang, or None if they do not fit now."""
    step = candidate.job.spec.steps[candidate.key[1]]
    slots = slots_by_worker(capacity, candidate, service)
    groups = [slots]
    if step.one_rack:
        racks = {}
        for slot in slots:
            racks.setdefault(slot[0].info.rack, []).append(slot)
        # One rack if one has the room, otherwise any.
        groups = [*sorted(racks.values(), key=_count), slots]
    for group in groups:
        if _count(group) >= len(candidate.tasks):
            return _spread(capacity, candidate, step, group)
    return None


def _count(slots):
    return sum(count for _, count, _ in slots)


def _spread(capacity, candidate, step, slots):
    demand = demand_of(step)
    order = sorted(slots, key=lambda s: _preference(capacity, step, s[0]))
    tasks = iter(candidate.tasks)
    placed = []
    for worker, count, ticket in order:
        for _ in range(count):
            task = next(tasks, None)
            if task is None:
                return placed
            placed.append(Placement(task, worker, ticket))
            _take(capacity, worker, demand)
    return placed
