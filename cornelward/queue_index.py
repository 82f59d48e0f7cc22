"""Core: index of the jobs that have tasks to place, in planning order.

A planning pass examines only the first jobs of each queue, so that its cost does not
grow with the length of the queues.
"""

import heapq
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from .overload import LATE, TIERS, TieredJobs, assess
from .staged_jobs import WAITING, is_step_ready

__all__ = [
    "QueueIndex",
    "QueueKey",
    "has_late_jobs",
    "in_planning_order",
    "mark_changed",
    "pending_counts",
    "placeable_tasks",
    "refresh",
    "tier_of",
]


class QueueKey(NamedTuple):
    """Key of jobs that are kept together.

    ``lasts`` says that the jobs have tasks that run until they are cancelled,
    ``beyond_rate`` that they are more than the workspace may submit in that time.
    """

    priority: int
    queue: str
    lasts: bool
    workspace: str = ""
    beyond_rate: bool = False


class QueueIndex:
    """Jobs with tasks to place: QueueKey -> jobs sorted by deadline.

    ``changed_jobs`` are the jobs whose tasks may have changed since the last refresh.
    With ``run_times`` (overload control) the jobs of a queue are TieredJobs instead.
    """

    def __init__(self, run_times=None):
        self.run_times = run_times
        self.queues = {}
        self.changed_jobs = {}
        # Queue -> number of accepted jobs of which no run was seen on a worker.
        self.pending = {}


def mark_changed(index, job):
    """Schedule the job for re-evaluation by the next ``refresh``."""
    index.changed_jobs[job.spec.id] = job


def queue_key(job):
    """Return the job's key in ``QueueIndex.queues``."""
    lasts = any(step.long_running for step in job.spec.steps)
    queue = job.spec.queue
    workspace, beyond_rate = job.spec.workspace, job.beyond_rate
    return QueueKey(queue.priority, queue.name, lasts, workspace, beyond_rate)


def _deadline_key(job):
    return job.deadline, job.spec.id


def placeable_tasks(job, key):
    """Return the tasks of a step that may be placed now; of a gang, all or none."""
    tasks = job.tasks[key]
    found = [t for t in tasks if t.state == WAITING and t.run is None]
    if job.spec.steps[key[1]].gang and len(found) != len(tasks):
        return []
    return found


def _find_ready_steps(job):
    if job.outcome is not None:
        return []
    return [k for k in job.tasks if placeable_tasks(job, k) and is_step_ready(job, k)]


def refresh(index):
    """Re-evaluate the changed jobs: ready steps, queue and pending count."""
    changed_jobs, index.changed_jobs = index.changed_jobs, {}
    for job in changed_jobs.values():
        before, job.ready_steps = job.ready_steps, _find_ready_steps(job)
        if index.run_times is not None:
            _update_tiered(index, job, before)
        elif bool(job.ready_steps) != bool(before):
            _add_or_remove(index, job)
        _update_pending_count(index, job)


def _add_or_remove(index, job):
    key = queue_key(job)
    jobs = index.queues.get(key)
    if jobs is None:
        jobs = index.queues[key] = SortedKeyList(key=_deadline_key)
    if job.ready_steps:
        jobs.add(job)
        return
    jobs.remove(job)
    if not jobs:
        del index.queues[key]


def _update_tiered(index, job, before):
    """Index a job anew if other steps of it are ready: less of it is left."""
    if job.ready_steps == before:
        return
    key = queue_key(job)
    jobs = index.queues.get(key)
    if before:
        jobs.remove(job)
    if job.ready_steps:
        if jobs is None:
            jobs = index.queues[key] = TieredJobs()
        jobs.add(job, assess(job, index.run_times))
    elif not jobs:
        del index.queues[key]


def has_late_jobs(index, job):
    """Return whether jobs wait beside this one that can't be on time any more."""
    return bool(index.queues[queue_key(job)].tiers[LATE])


def tier_of(index, job):
    """Return the tier of a job that has tasks to place, as of the present pass."""
    return index.queues[queue_key(job)].entries[job.spec.id][0]


def _update_pending_count(index, job):
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
    """Return {queue: number of accepted jobs of which no run was seen on a worker}."""
    refresh(index)
    return dict(index.pending)


def in_planning_order(index, now, closed):
    """Yield jobs in planning order: urgent queues (priority 0) first.

    Within urgent queues, and within all others, jobs that can still meet their deadline
    come before jobs that have missed it, then the queue priority decides, then the
    deadline. Under overload, late jobs thus do not delay jobs that can still be on
    time. Jobs that last never count as late: their tasks are owed another run whenever
    one ends, however long ago the job was accepted. The caller may add queue keys to
    ``closed`` while it iterates; the remaining jobs of these queues are skipped.

    Under overload control the tiers of ``overload`` take the place of the deadline, and
    jobs without any use come last, of urgent queues too.
    """
    if index.run_times is not None:
        yield from _in_tiers(index, now, closed)
        return
    streams = []
    for key, jobs in index.queues.items():
        # Jobs are sorted by deadline, so the late ones come first.
        lasts = key[2]
        late_count = 0 if lasts else jobs.bisect_key_left((now, ""))
        streams.append(_stream(jobs, key, late_count, len(jobs), False, closed))
        streams.append(_stream(jobs, key, 0, late_count, True, closed))
    for _, job in heapq.merge(*streams, key=lambda item: item[0]):
        yield job


def _stream(jobs, key, first, last, is_late, closed):
    priority = key[0]
    for job in jobs.islice(first, last):
        if key in closed:
            return
        yield (priority != 0, is_late, priority, job.deadline), job


def _in_tiers(index, now, closed):
    streams = []
    for key, jobs in index.queues.items():
        jobs.advance(now)
        for tier in range(len(TIERS)):
            streams.append(jobs.stream(tier, key[0], closed, key))
    for _, job in heapq.merge(*streams, key=lambda item: item[0]):
        yield job
