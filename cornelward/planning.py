"""Core: which waiting step goes next, and on which workers its tasks go.

Pure functions over the tables of jobs and workers; nothing here records or sends.
"""

from typing import NamedTuple

from .staged_jobs import WAITING
from .workers import demand_of, free_room

__all__ = [
    "Candidate",
    "Placement",
    "Room",
    "fit_gang",
    "fit_tasks",
    "hold_for_gang",
    "order_key",
]


# A worker this much slower than the typical one gets work last.
SLOW_FACTOR = 2.0
# Tasks up to this estimate go to the fastest worker: their objectives are close.
SHORT_TASK_S = 1.0
# Waiting gangs that hold workers at a time; each leaves room unused for a while.
GANGS_HELD = 2


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


class Room:
    """Free room of the usable workers during one pass."""

    __slots__ = ("free", "gangs", "held", "typical_slowness", "workers")

    def __init__(self, workers):
        self.workers = {w.info.id: w for w in workers}
        self.free = {w.info.id: list(free_room(w)) for w in workers}
        paces = sorted(w.slowness for w in workers)
        self.typical_slowness = paces[len(paces) // 2] if paces else 1.0
        # Workers that waiting gangs count on, and how many gangs those are.
        self.held = set()
        self.gangs = 0


def order_key(job, now):
    """Return the sort key of a job's steps: urgent queues first, then by objective.

    Answers waves of work above capacity: what has missed its objective goes behind
    what can still meet it, and of that the queue with the higher priority goes first.
    """
    late = now > job.deadline
    priority = job.spec.queue.priority
    return (priority != 0, late, priority, job.deadline)


def fits(room, worker_id, demand):
    """Return how many tasks of ``demand`` the worker has room for."""
    free = room.free[worker_id]
    counts = [have // need for have, need in zip(free, demand, strict=True) if need > 0]
    return max(0, min(counts)) if counts else 1_000


def _tasks_there(job, key):
    counts = {}
    for task in job.tasks[key]:
        if task.run is not None:
            counts[task.run.worker] = counts.get(task.run.worker, 0) + 1
    return counts


def slots_by_worker(room, candidate, service):
    """Return [(worker, tasks that fit, ticket)] for a candidate's step."""
    job, key = candidate.job, candidate.key
    step = job.spec.steps[key[1]]
    demand = demand_of(step)
    there = _tasks_there(job, key) if step.max_per_worker else {}
    urgent = job.spec.queue.priority == 0
    found = []
    for worker_id, worker in room.workers.items():
        info = worker.info
        if info.service != service or (step.label and step.label not in info.labels):
            continue
        if worker_id in room.held and not urgent:
            continue
        ticket = ""
        if candidate.allowed is not None:
            ticket = candidate.allowed.get(worker_id)
            if ticket is None:
                continue
        count = fits(room, worker_id, demand)
        if step.max_per_worker:
            count = min(count, step.max_per_worker - there.get(worker_id, 0))
        if count > 0:
            found.append((worker, count, ticket))
    return found


def _take(room, worker, demand, count=1):
    free = room.free[worker.info.id]
    for i, amount in enumerate(demand):
        free[i] -= amount * count


def fit_tasks(room, candidate, service):
    """Return Placements for as many tasks of the step as there is room for.

    Best fit among workers of like speed: slow workers last, then the fullest, so that
    room for wide and large tasks is kept.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    slots = {
        w.info.id: [w, n, ticket]
        for w, n, ticket in slots_by_worker(room, candidate, service)
    }
    placed = []
    for task in candidate.tasks:
        best = min(
            slots.values(), key=lambda s: _preference(room, step, s[0]), default=None
        )
        if best is None:
            break
        placed.append(Placement(task, best[0], best[2]))
        _take(room, best[0], demand)
        best[1] -= 1
        if best[1] <= 0 or fits(room, best[0].info.id, demand) < 1:
            del slots[best[0].info.id]
    return placed


def _preference(room, step, worker):
    """Return the sort key of a worker for a task: near data, sound, fast, then full.

    Answers workers that fail or slow down while others are sound: what failed last and
    what is slow gets work only when the others are full.
    """
    near = not step.near_rack or worker.info.rack == step.near_rack
    slow = worker.slowness > SLOW_FACTOR * room.typical_slowness
    short = step.estimate_s <= SHORT_TASK_S
    pace = round(worker.slowness, 1) if short else 0
    full = room.free[worker.info.id][0]
    return (not near, worker.failures > 0, slow, pace, full, worker.info.id)


def hold_for_gang(room, candidate, service, approved):
    """Keep workers back for a gang that does not fit now.

    Answers narrow work that keeps coming: it would fill each gap before a wide gang
    fits. The workers that will hold the gang when they are empty are held for it, those
    with the most free room first.
    """
    if room.gangs >= GANGS_HELD:
        return
    step = candidate.job.spec.steps[candidate.key[1]]
    demand = demand_of(step)
    fitting = [
        w
        for i, w in room.workers.items()
        if w.info.service == service
        and i not in room.held
        and (approved is None or i in approved)
        and (not step.label or step.label in w.info.labels)
    ]
    fitting.sort(key=lambda w: -room.free[w.info.id][0])
    wanted, chosen = len(candidate.tasks), []
    for worker in fitting:
        if wanted <= 0:
            break
        wanted -= _slots_when_empty(worker, demand, step)
        chosen.append(worker.info.id)
    if wanted <= 0:
        room.gangs += 1
        room.held.update(chosen)


def _slots_when_empty(worker, demand, step):
    info = worker.info
    whole = (info.cpu, info.memory_mb, info.accelerators)
    counts = [have // need for have, need in zip(whole, demand, strict=True) if need]
    count = min(counts, default=1)
    return min(count, step.max_per_worker) if step.max_per_worker else count


def fit_gang(room, candidate, service):
    """Return Placements for all tasks of a gang, or None if they do not fit now."""
    step = candidate.job.spec.steps[candidate.key[1]]
    slots = slots_by_worker(room, candidate, service)
    groups = [slots]
    if step.one_rack:
        racks = {}
        for slot in slots:
            racks.setdefault(slot[0].info.rack, []).append(slot)
        # One rack if one has the room, otherwise any.
        groups = [*sorted(racks.values(), key=_count), slots]
    for group in groups:
        if _count(group) >= len(candidate.tasks):
            return _spread(room, candidate, step, group)
    return None


def _count(slots):
    return sum(count for _, count, _ in slots)


def _spread(room, candidate, step, slots):
    demand = demand_of(step)
    order = sorted(slots, key=lambda s: _preference(room, step, s[0]))
    tasks = iter(candidate.tasks)
    placed = []
    for worker, count, ticket in order:
        for _ in range(count):
            task = next(tasks, None)
            if task is None:
                return placed
            placed.append(Placement(task, worker, ticket))
            _take(room, worker, demand)
    return placed


def waiting_tasks(job, key):
    """Return the tasks of a step that may be placed now; a gang all or none."""
    tasks = job.tasks[key]
    waiting = [t for t in tasks if t.state == WAITING and t.run is None]
    if job.spec.steps[key[1]].gang and len(waiting) != len(tasks):
        return []
    return waiting
