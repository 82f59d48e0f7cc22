"""Core: the jobs that have tasks to place, in the order of planning.

Answers long queues: a pass of the planner looks at the first jobs of each queue only,
so its cost does not grow with the number of jobs that wait.
"""

import heapq

from sortedcontainers import SortedKeyList

from .staged_jobs import WAITING, is_step_ready

__all__ = [
    "QueueIndex",
    "in_planning_order",
    "mark_changed",
    "pending_counts",
    "placeable_tasks",
    "refresh",
]


class QueueIndex:
    """Jobs with tasks to place, by (priority, queue) and objective.

    ``touched`` are jobs whose tasks may have changed since the last refresh.
    """

    def __init__(self):
        self.queues = {}
        self.changed_jobs = {}
        # Queue -> accepted jobs of which no run was seen on a worker.
        self.pending = {}


def mark_changed(index, job):
    """Note that tasks of the job have changed."""
    index.changed_jobs[job.spec.id] = job


def queue_key(job):
    """Return the key of the list that holds the job."""
    return job.spec.queue.priority, job.spec.queue.name


def _position(job):
    return job.deadline, job.spec.id


def placeable_tasks(job, key):
    """Return the tasks of a step that may be placed now; a gang all or none."""
    tasks = job.tasks[key]
    found = [t for t in tasks if t.state == WAITING and t.run is None]
    if job.spec.steps[key[1]].gang and len(found) != len(tasks):
        return []
    return found


def _find_ready(job):
    if job.outcome is not None:
        return []
    return [k for k in job.tasks if placeable_tasks(job, k) and is_step_ready(job, k)]


def refresh(index):
    """Take in the touched jobs."""
    changed_jobs, index.changed_jobs = index.changed_jobs, {}
    for job in changed_jobs.values():
        was_listed = bool(job.ready_steps)
        job.ready_steps = _find_ready(job)
        if bool(job.ready_steps) != was_listed:
            _list_or_drop(index, job)
        _count(index, job)


def _list_or_drop(index, job):
    key = queue_key(job)
    jobs = index.queues.get(key)
    if jobs is None:
        jobs = index.queues[key] = SortedKeyList(key=_position)
    if job.ready_steps:
        jobs.add(job)
        return
    jobs.remove(job)
    if not jobs:
        del index.queues[key]


def _count(index, job):
    is_pending = not job.run_seen and job.outcome is None and not job.spec.occurrences
    if is_pending == job.counted_as_pending:
        return
    job.counted_as_pending = is_pending
    name = job.spec.queue.name
    count = index.pending.get(name, 0) + (1 if is_pending else -1)
    if count:
        index.pending[name] = count
    else:
        del index.pending[name]


def pending_counts(index):
    """Return {queue: accepted jobs of which no run was seen on a worker}."""
    refresh(index)
    return dict(index.pending)


def in_planning_order(index, now, closed):
    """Yield jobs, urgent queues first, then by objective.

    Answers waves of work above capacity: what has missed its objective goes behind
    what can still meet it, and of that the queue with the higher priority goes first.
    Queues whose key is in ``closed`` are left out from then on.
    """
    streams = []
    for key, jobs in index.queues.items():
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
