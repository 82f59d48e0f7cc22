"""Placement of a wave of batch tasks: worker by worker instead of task by task.

While much more is free than waits, the order of starts makes no difference to anybody,
so that the tasks may be chosen by how well they fill a worker in both dimensions. In a
trial with 700 mixed jobs this used 1 to 3% more workers than the lower bound, best fit
in order of arrival 9 to 10% more.
"""

from collections import deque
from itertools import islice

from .capacity import Resources, candidates, fits
from .quotas import quota_headroom
from .task_state import assign

__all__ = ["place_in_bulk"]

MIN_TASKS = 12
MAX_TASKS = 256
# Free capacity from which the order of the wave does not count, over its demand.
AMPLE = 1.5
# Weight of filling a worker against leaving it balanced; other values were not tried.
SIZE_WEIGHT = 0.3


def place_in_bulk(state, now, rnd):
    """Place waiting batch tasks if they are many and capacity is ample."""
    shapes, need, count = _collect(state)
    if count < MIN_TASKS or not _is_ample(state.workers, need):
        return
    smallest = Resources(*(min(shape[i] for shape in shapes) for i in range(3)))
    table = state.workers
    while shapes:
        found = list(islice(candidates(table, table.free, smallest), MAX_TASKS))
        before = rnd.decisions
        for worker in found:
            _fill(state, now, rnd, worker, shapes)
            if not shapes:
                break
        if rnd.decisions == before:
            return


def _collect(state):
    """Return waiting jobs by demand, the sum of the demands and the number of tasks."""
    shapes, need, count = {}, [0.0, 0.0, 0.0], 0
    for _, name in state.teams.waiting:
        for entry in state.teams.by_name[name].queue.islice(0, MAX_TASKS):
            job = state.jobs.by_id.get(entry[-1])
            if job is None or job.final is not None or not _is_plain(job):
                continue
            tasks = len(job.waiting)
            if quota_headroom(state.teams, name, job.demand, tasks) < tasks:
                continue
            shapes.setdefault(job.demand, deque()).append(job)
            need = [
                have + tasks * size for have, size in zip(need, job.demand, strict=True)
            ]
            count += tasks
            if count >= MAX_TASKS:
                return shapes, need, count
    return shapes, need, count


def _is_plain(job):
    """Return whether any worker will do for the job's tasks."""
    plain = job.type == "batch" and not job.spread and job.waiting
    return plain and not any(task.avoided_workers for task in job.waiting)


def _is_ample(table, need):
    spare = [0.0, 0.0, 0.0]
    for worker in table.by_id.values():
        if worker.accepts and worker.reserved is None:
            for i in range(3):
                spare[i] += max(worker.free[i], 0.0)
    return all(AMPLE * want <= have for want, have in zip(need, spare, strict=True))


def _fill(state, now, rnd, worker, shapes):
    while shapes:
        shape = _best_shape(worker, shapes)
        if shape is None:
            return
        queue = shapes[shape]
        job = queue[0]
        if quota_headroom(state.teams, job.team, job.demand, 1):
            rnd.decisions += 1
            state.stats["decisions"] += 1
            assign(state, job.waiting.pop(), worker, now)
        else:
            queue.popleft()
        if queue and not queue[0].waiting:
            queue.popleft()
        if not queue:
            del shapes[shape]


def _best_shape(worker, shapes):
    """Return the demand that leaves the worker full and balanced, or None."""
    free, capacity = worker.free, worker.capacity
    cpu, memory = free[0] / capacity[0], free[1] / capacity[1]
    best, best_score = None, None
    for shape in shapes:
        if not fits(shape, free):
            continue
        size = (shape[0] / capacity[0], shape[1] / capacity[1])
        left = abs((cpu - size[0]) - (memory - size[1]))
        score = SIZE_WEIGHT * (size[0] + size[1]) - left
        if best is None or score > best_score:
            best, best_score = shape, score
    return best
