"""Urgent work takes the place of preemptible batch tasks, which are checkpointed."""

from .capacity import Resources, candidates, fits
from .reservations import release_worker, reserve_worker
from .task_effects import SignalTask

__all__ = ["expire_holds", "hold_owner", "preempt_for", "signal_task"]

# A worker held for an urgent task is released if the task has not started by then, so
# that a worker that does not stop its tasks cannot delay the urgent task further.
HOLD_S = 3.0
# The worker is asked for a report this long after the signal.
REPORT_S = 0.3
MAX_TRIES = 16


def signal_task(state, worker, key, action):
    """Return the effect that orders ``action`` for an execution."""
    body = {
        "epoch": state.owner_lease.epoch,
        "task": key[0],
        "attempt": key[1],
        "action": action,
    }
    return SignalTask(worker.id, worker.address, body)


def preempt_for(state, now, job, count):
    """Checkpoint tasks on workers for ``count`` tasks of an urgent job."""
    count = min(count, MAX_TRIES)
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
        # Nothing is stopped for a gang that would still not fit.
        for worker, _ in found:
            del state.holds[worker.id]
        return []
    return [effect for choice in found for effect in _stop(state, now, owner, *choice)]


def hold_owner(job):
    """Return the owner of holds for an urgent job, other than its reservation's."""
    return f"urgent {job.id}"


def _stop(state, now, owner, worker, victims):
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
        if tries >= MAX_TRIES:
            return None
        if worker.id in state.holds or not fits(job.demand, worker.evictable):
            continue
        victims = _victims_on(state, worker, job)
        if victims is not None:
            return worker, victims
    return None


def _victims_on(state, worker, job):
    """Return few tasks whose end makes room for the job, or None."""
    free = worker.free
    tasks = [
        task
        for task in state.assigned.get(worker.id, {}).values()
        if _is_victim(task, job) and task.key in worker.allocations
    ]
    # The youngest first: they lose the least work.
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
    """Release workers whose urgent task started elsewhere, ended or waited too long."""
    for worker_id, (owner, until) in list(state.holds.items()):
        job = state.jobs.by_id.get(owner.partition(" ")[2])
        waits = job is not None and job.final is None and job.waiting
        worker = state.workers.by_id.get(worker_id)
        if now >= until or not waits or worker is None:
            del state.holds[worker_id]
            if worker is not None and worker.reserved == owner:
                release_worker(state.workers, worker)
                state.placement_needed = True
