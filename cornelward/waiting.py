"""Core: the jobs that have tasks to place, in the order of planning.

Answers long queues: a pass of the planner looks at the first jobs of each queue only,
so its cost does not grow with the number of jobs that wait.
"""

import heapq

from sortedcontainers import SortedKeyList

from .staged_jobs import WAITING, is_step_ready

__all__ = ["Waiting", "in_order", "pending_counts", "refresh", "touch", "waiting_tasks"]


class Waiting:
    """Jobs with tasks to place, by (priority, queue) and objective.

    ``touched`` are jobs whose tasks may have changed since the last refresh.
    """

    def __init__(self):
        self.queues = {}
        self.touched = {}
        # Queue -> accepted jobs of which no run was seen on a worker.
        self.pending = {}


def touch(waiting, job):
    """Note that tasks of the job have changed."""
    waiting.touched[job.spec.id] = job


def queue_key(job):
    """Return the key of the list that holds the job."""
    return job.spec.queue.priority, job.spec.queue.name


def _position(job):
    return job.deadline, job.spec.id


def waiting_tasks(job, key):
    """Return the tasks of a step that may be placed now; a gang all or none."""
    tasks = job.tasks[key]
    found = [t for t in tasks if t.state == WAITING and t.run is None]
    if job.spec.steps[key[1]].gang and len(found) != len(tasks):
        return []
    return found


def _find_ready(job):
    if job.outcome is not None:
        return []
    return [k for k in job.tasks if waiting_tasks(job, k) and is_step_ready(job, k)]


def refresh(waiting):
    """Take in the touched jobs."""
    touched, waiting.touched = waiting.touched, {}
    for job in touched.values():
        was_listed = bool(job.ready_steps)
        job.ready_steps = _find_ready(job)
        if bool(job.ready_steps) != was_listed:
            _list_or_drop(waiting, job)
        _count(waiting, job)


def _list_or_drop(waiting, job):
    key = queue_key(job)
    jobs = waiting.queues.get(key)
    if jobs is None:
        jobs = waiting.queues[key] = SortedKeyList(key=_position)
    if job.ready_steps:
        jobs.add(job)
        return
    jobs.remove(job)
    if not jobs:
        del waiting.queues[key]


def _count(waiting, job):
    is_pending = not job.begun and job.outcome is None and not job.spec.occurrences
    if is_pending == job.counted:
        return
    job.counted = is_pending
    name = job.spec.queue.name
    count = waiting.pending.get(name, 0) + (1 if is_pending else -1)
    if count:
        waiting.pending[name] = count
    else:
        del waiting.pending[name]


def pending_counts(waiting):
    """Return {queue: accepted jobs of which no run was seen on a worker}."""
    refresh(waiting)
    return dict(waiting.pending)


def in_order(waiting, now, closed):
    """Yield jobs, urgent queues first, then by objective.

    Answers waves of work above capacity: what has missed its objective goes behind
    what can still meet it, and of that the queue with the higher priority goes first.
    Queues whose key is in ``closed`` are left out from then on.
    """
    streams = []
    for key, jobs in waiting.queues.items():
        # Jobs are in the order of their objectives: the late ones come first.
        late = jobs.bisect_key_left((now, ""))
        streams.append(_stream(jobs, key, late, len(jobs), False, closed))
        streams.append(_stream(jobs, key, 0, late, True, closed))
    for _, job in heapq.merge(*streams, key=lambda item: item[0]):
        yield job


def _stream(jobs, key, first, last, is_late, closed):
    priority = key[0]
    for job in jobs.islice(first, last):
        if key in closed:
            return
        yield (priority != 0, is_late, priority, job.deadline), job
