"""Core: which workers the policy service is asked about for a step."""

import xxhash

from .gang_reservations import slots_without_batch
from .planning import (
    count_fitting_tasks,
    fits_nowhere,
    iter_slots,
    tasks_by_worker_of,
)
from .workers import demand_of

__all__ = ["can_fit", "has_room", "workers_to_ask"]

# A call asks about room for this many times the tasks, as others may take some of it
# meanwhile, and about at least so many workers.
ASKED_ROOM_FACTOR = 2.0
MIN_ASKED_WORKERS = 16
# Tasks that a worker without room now is counted for.
ROOM_OF_FULL_WORKER = 0.25


def workers_to_ask(capacity, candidate, ids, approval_rate):
    """Return (workers, missing): which of the workers ``ids`` to ask about for a step.

    Workers with room for the step come first; of these as many as should suffice at the
    ``approval_rate``, those with the most room first for a gang, which needs all of it
    at once, and otherwise in turn. ``missing`` is the number of tasks that they lack
    room for.
    """
    step = candidate.job.spec.steps[candidate.key[1]]
    placed = {}
    if step.max_per_worker:
        placed = tasks_by_worker_of(candidate.job, candidate.key)
    with_room, others = [], []
    for worker_id in ids:
        worker = capacity.workers.get(worker_id)
        count = count_fitting_tasks(capacity, worker, step) if worker else 0
        if step.label and worker and step.label not in worker.info.labels:
            count = 0
        if step.max_per_worker:
            count = min(count, step.max_per_worker - placed.get(worker_id, 0))
        (with_room if count > 0 else others).append((max(0, count), worker_id))
    if step.gang:
        with_room.sort(key=lambda slot: -slot[0])
    else:
        first = xxhash.xxh32_intdigest(candidate.job.spec.id.encode()) % max(
            1, len(with_room)
        )
        with_room = with_room[first:] + with_room[:first]
    needed = len(candidate.tasks) * ASKED_ROOM_FACTOR / approval_rate
    chosen = []
    for count, worker_id in with_room + others:
        if needed <= 0 and len(chosen) >= MIN_ASKED_WORKERS:
            break
        chosen.append(worker_id)
        needed -= max(count, ROOM_OF_FULL_WORKER)
    return chosen, needed


def has_room(capacity, candidate, service, ids):
    """Return whether the step could be placed now with tickets for the workers ``ids``.

    Of a gang all tasks have to fit, otherwise one.
    """
    if fits_nowhere(capacity, candidate, service):
        return False
    step = candidate.job.spec.steps[candidate.key[1]]
    with_tickets = candidate._replace(allowed=dict.fromkeys(ids, ""))
    missing = len(candidate.tasks) if step.gang else 1
    for _, count, _ in iter_slots(capacity, with_tickets, service):
        missing -= count
        if missing <= 0:
            return True
    return False


def can_fit(capacity, candidate, ids):
    """Return whether the step fits on the workers ``ids`` beside tasks that last."""
    step = candidate.job.spec.steps[candidate.key[1]]
    demand, missing = demand_of(step), len(candidate.tasks) if step.gang else 1
    for worker_id in ids:
        worker = capacity.workers.get(worker_id)
        if worker is not None and (not step.label or step.label in worker.info.labels):
            missing -= max(0, slots_without_batch(worker, demand, step))
        if missing <= 0:
            return True
    return False
