"""Core: how many tasks at once a wide step with slack may hold while others wait.

A step with slack that starts whenever something fits takes the room of urgent jobs and
gangs that come a second later, although it could wait. While kinds with less slack
want room, it gets as many tasks at once as its objective needs; beyond that, only room
that these kinds leave over.
"""

import math
from typing import NamedTuple

from . import advising, queue_index
from .objectives import expected_run_s
from .overload import ON_TIME, remaining_s, useful_until
from .staged_jobs import DONE

__all__ = ["Pacing", "begin_pass", "needed_at_once", "note_placed", "tasks_to_place"]

# Runs of a step in turn are planned to take this much longer than expected, as the
# slowest of each turn counts, and each has to be recorded and started.
RUN_MARGIN = 1.3
START_S = 0.3
# A paced step is to end within this share of the time that its job has left, as runs
# fail and workers are slow.
USED_SHARE = 0.7
# Room wanted lately counts less by a factor of e in this time: urgent kinds come again
# within it.
WANTED_DECAY_S = 2.0


class Wanted(NamedTuple):
    """Room that waiting tasks of a queue want, in thousandths of a core."""

    priority: int
    cpu: float


class Pacing:
    """Room wanted lately by each queue of a service, and free in this pass.

    A successor starts with nothing wanted and learns it in its first pass.
    """

    def __init__(self):
        # Service -> queue -> Wanted: of earlier passes, and of this one.
        self.wanted = {}
        self.wanted_now = {}
        # Service -> free processors, once a step of this pass is to be paced.
        self.free = {}
        self.at = 0.0
        # Steps of this pass that were held back, and how many of their tasks.
        self.paced_steps = self.paced_tasks = 0


def begin_pass(pacing, now):
    """Begin a pass; what earlier passes wanted counts less than before."""
    if pacing is None:
        return
    factor = math.exp(min(0.0, pacing.at - now) / WANTED_DECAY_S)
    pacing.at = now
    for service, queues in pacing.wanted_now.items():
        known = pacing.wanted.setdefault(service, {})
        for name in queues.keys() - known.keys():
            known[name] = queues[name]._replace(cpu=0.0)
    for service, queues in pacing.wanted.items():
        latest = pacing.wanted_now.get(service, {})
        for name, wanted in queues.items():
            cpu = max(wanted.cpu * factor, latest[name].cpu if name in latest else 0.0)
            queues[name] = wanted._replace(cpu=cpu)
    pacing.wanted_now = {}
    pacing.free = {}
    pacing.paced_steps = pacing.paced_tasks = 0


def note_placed(state, candidate, queue, placed):
    """Note how many tasks of a candidate were placed; the others want room.

    A queue of which few workers are approved needs more free room for a task. Late jobs
    wait for room that is left over.
    """
    pacing, job = state.pacing, candidate.job
    if pacing is None:
        return
    cpu = job.spec.steps[candidate.key[1]].cpu
    if queue.service in pacing.free:
        pacing.free[queue.service] -= placed * cpu
    missing = len(candidate.tasks) - placed
    if not missing or queue_index.tier_of(state.queue_index, job) != ON_TIME:
        return
    wanted_cpu = missing * cpu
    if queue.advice is not None:
        wanted_cpu /= advising.approval_rate(state.advising, queue.name)
    queues = pacing.wanted_now.setdefault(queue.service, {})
    known = queues.get(queue.name, Wanted(queue.priority, 0.0))
    queues[queue.name] = known._replace(cpu=known.cpu + wanted_cpu)


def wanted_before(pacing, queue):
    """Return the room that queues of a higher priority than ``queue`` want."""
    found = {}
    for table in (pacing.wanted, pacing.wanted_now):
        for name, wanted in table.get(queue.service, {}).items():
            if wanted.priority < queue.priority:
                found[name] = max(found.get(name, 0.0), wanted.cpu)
    return sum(found.values())


def needed_at_once(state, now, job, key):
    """Return how many tasks of a step its objective needs at the same time from now.

    It is ``math.inf`` if the time left is too short for two runs in turn. A job that is
    late is paced by its last useful moment.
    """
    step = job.spec.steps[key[1]]
    run_s = expected_run_s(state.run_times, job.spec.queue.name, step.estimate_s)
    after_s = remaining_s(job, state.run_times, key[1] + 1)
    end = job.deadline
    if now + run_s + after_s > end:
        end = useful_until(job)
    time_s = USED_SHARE * (end - now) - RUN_MARGIN * after_s
    turns = math.floor(time_s / (RUN_MARGIN * run_s + START_S))
    if turns <= 1:
        return math.inf
    return math.ceil(sum(1 for t in job.tasks[key] if t.state != DONE) / turns)


def _free_cpu(pacing, capacity, service):
    if service not in pacing.free:
        pacing.free[service] = sum(
            capacity.free[i][0]
            for i, worker in capacity.workers.items()
            if worker.info.service == service
        )
    return pacing.free[service]


def tasks_to_place(state, this_pass, job, key, tasks):
    """Return the tasks of a step that may be placed in this pass."""
    step, pacing = job.spec.steps[key[1]], state.pacing
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    if pacing is None or step.gang or step.long_running:
        return tasks
    wanted = wanted_before(pacing, queue)
    if not wanted:
        return tasks
    held = sum(1 for t in job.tasks[key] if t.run is not None)
    limit = needed_at_once(state, this_pass.now, job, key) - held
    if limit >= len(tasks):
        return tasks
    free = _free_cpu(pacing, this_pass.capacity, queue.service)
    spare = math.floor((free - wanted) / max(1, step.cpu))
    limit = max(0, limit, min(spare, len(tasks)))
    if limit < len(tasks):
        pacing.paced_steps += 1
        pacing.paced_tasks += len(tasks) - limit
    return tasks[:limit]
