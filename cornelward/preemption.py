"""Preemption: checkpoints preemptible batch tasks to make room for urgent jobs."""

from .capacity import Resources, candidates, fits
from .reservations import release_worker, reserve_worker
from .task_effects import SignalTask

__all__ = ["expire_holds", "hold_owner", "preempt_for", "signal_task"]

# A hold ends after this time even if the urgent task has not started, so that a worker
# that does not stop its tasks cannot delay the urgent task further.
HOLD_S = 3.0
# Time from the signal until the worker is asked for a report.
REPORT_S = 0.3
MAX_CANDIDATES = 16


def signal_task(state, worker, key, action):
    """Return the effect that signals ``action`` to a task attempt.

    ``key`` is ``(task name, attempt)``.
    """
    body = {
        "epoch": state.owner_lease.epoch,
        "task": key[0],
        "attempt": key[1],
        "action": action,
    }
    return SignalTask(worker.id, worker.address, body)


def preempt_for(state, now, job, count):
    """Free capacity for ``count`` tasks of an urgent job; return the signals to send.

    Checkpoints preemptible tasks and holds their workers for the job for ``HOLD_S``.
    Does nothing for a gang that would still not fit.
    """
    count = min(count, MAX_CANDIDATES)
    owner = hold_owner(job)
    held = sum(name == owner for name, _ in state.holds.values())
    found = []
    while held + len(found) < count:
        choice = _find_victims(state, job)
        if choice is None:
            break
        found.append(choice)
        state.holds[choice[0].id] = (owner, now + HOLD_S)
    if job.type == "gang" and held + len(found) < len(job.waiting):
        # A gang needs room for all its tasks: checkpoint nothing for a part of it.
        for worker, _ in found:
            del state.holds[worker.id]
        return []
    return [
        effect for choice in found for effect in _checkpoint(state, now, owner, *choice)
    ]


def hold_owner(job):
    """Return the owner name of holds for an urgent job.

    The name differs from the owner of the job's reservation, which is the job id.
    """
    return f"urgent {job.id}"


def _checkpoint(state, now, owner, worker, victims):
    reserve_worker(state.workers, worker, owner)
    worker.renew_at = min(worker.renew_at, now + REPORT_S)
    effects = []
    for task in victims:
        state.stats["preemptions"] += 1
        task.stopping = "checkpoint"
        effects.append(signal_task(state, worker, task.key, "checkpoint"))
    return effects


def _find_victims(state, job):
    table = state.workers
    for tries, worker in enumerate(candidates(table, table.evictable, job.demand)):
        if tries >= MAX_CANDIDATES:
            return None
        if worker.id in state.holds or not fits(job.demand, worker.evictable):
            continue
        victims = _victims_on(state, worker, job)
        if victims is not None:
            return worker, victims
    return None


def _victims_on(state, worker, job):
    """Return tasks of the worker whose end makes room for one task of the job, or None.

    Tasks are chosen until the room suffices, not to make their number minimal.
    """
    free = worker.free
    tasks = [
        task
        for task in state.assigned.get(worker.id, {}).values()
        if _is_victim(task, job) and task.key in worker.allocations
    ]
    # Tasks that started last come first, because they lose the least work.
    tasks.sort(key=lambda task: (-(task.started_at or 0.0), task.name))
    victims = []
    for task in tasks:
        if fits(job.demand, free):
            break
        size = worker.allocations[task.key].size
        free = Resources(*(have + more for have, more in zip(free, size, strict=True)))
        victims.append(task)
    return victims if fits(job.demand, free) else None


def _is_victim(task, job):
    other = task.job
    return (
        other.preemptible
        and not other.urgent
        and other.priority <= job.priority
        and task.stopping is None
        and task.confirmed_at is not None
    )


def expire_holds(state, now):
    """Release held workers when the hold expires or its job has no waiting task."""
    for worker_id, (owner, until) in list(state.holds.items()):
        job = state.jobs.by_id.get(owner.partition(" ")[2])
        waits = job is not None and job.final is None and job.waiting
        worker = state.workers.by_id.get(worker_id)
        if now >= until or not waits or worker is None:
            del state.holds[worker_id]
            if worker is not None and worker.reserved == owner:
                release_worker(state.workers, worker)
                state.placement_needed = True
