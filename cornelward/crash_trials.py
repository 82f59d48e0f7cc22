"""Core: places the tasks of jobs under which workers have crashed soon after a start.

Such a task is a suspect. Suspects are on trial for a while after their start; nothing
else is started on their worker meanwhile, so that a further crash breaks few runs and
shows which tasks may be the cause. They share workers, as one crash makes many
suspects. After a second confirmed crash of a task, its job is alone on the worker of
its trial: the next crash shows that it is the cause.
"""

from . import planning
from .capacity_index import FreeCapacity, close_worker, move_worker
from .planning import MAX_COMPARED_WORKERS
from .staged_jobs import DONE
from .workers import (
    QUICK_CRASH_S,
    has_recent_start,
    is_in_trial,
    outlasted_trial,
    runs_on_trial,
)

__all__ = [
    "TrialPass",
    "begin",
    "fit_suspects",
    "has_suspects",
    "is_suspect",
    "tasks_to_place",
]

# Largest share of the reachable workers that may be in trial; one worker always may.
MAX_TRIAL_SHARE = 0.5
# From these numbers of crashes on, a task is placed on a worker without other suspects.
CONFIRMED_TO_ISOLATE = 2
CRASHES_TO_ISOLATE = 4


class TrialPass:
    """The workers in trial, as one planning pass sees and changes them.

    ``shared`` is the FreeCapacity of those whose trial begins in this pass and that
    further suspects may join; ``count`` is the number of reachable workers in trial,
    ``limit`` the largest one. They are None until a suspect has to be placed.
    """

    __slots__ = ("count", "limit", "shared", "workers")

    def __init__(self, workers):
        self.workers = workers
        self.shared = self.count = self.limit = None


def has_suspects(job, tasks):
    """Return whether one of the job's tasks in ``tasks`` is a suspect."""
    return job.has_crashes and any(is_suspect(task) for task in tasks)


def is_suspect(task):
    """Return whether workers have crashed under the task, each soon after its start.

    A trial would not show whether a task that ran for longer is the cause.
    """
    return task.crashes > 0 and task.ran_s <= QUICK_CRASH_S


def _is_isolated(task):
    return is_suspect(task) and (
        task.confirmed_crashes >= CONFIRMED_TO_ISOLATE
        or task.crashes >= CRASHES_TO_ISOLATE
    )


def _has_trial(job):
    job.trial_workers = [worker for worker in job.trial_workers if is_in_trial(worker)]
    return any(
        run.job is job for worker in job.trial_workers for run in runs_on_trial(worker)
    )


def _has_passed_trial(job, workers):
    """Return whether a suspect of the job has outlasted a trial."""
    for tasks in job.tasks.values():
        for task in tasks:
            if not is_suspect(task):
                continue
            worker = task.run and workers.get(task.run.worker)
            if task.state == DONE or (worker and outlasted_trial(worker, task.run)):
                return True
    return False


def tasks_to_place(job, tasks, workers):
    """Return which placeable tasks of a step may be placed now; suspects come first.

    Until one of the suspects has outlasted a trial, they are placed on one worker at a
    time. ``workers`` maps the ids of all workers to them.
    """
    if _has_trial(job) and not _has_passed_trial(job, workers):
        return []
    suspects = [task for task in tasks if is_suspect(task)]
    if not suspects or job.spec.steps[suspects[0].key[1]].gang:
        return tasks
    return [task for task in suspects if _is_isolated(task)] or suspects


def _prepare(trials, capacity):
    """Count the workers in trial, once a pass."""
    if trials.shared is not None:
        return
    trials.count = sum(
        is_in_trial(worker) and not worker.failed_polls
        for worker in trials.workers.values()
    )
    trials.limit = max(1, MAX_TRIAL_SHARE * (len(capacity.workers) + trials.count))
    trials.shared = FreeCapacity(())
    trials.shared.now = capacity.now
    trials.shared.reserved_workers = capacity.reserved_workers


def fit_suspects(trials, capacity, candidate, service):
    """Return Placements for suspects of a step, on workers whose trial may begin now.

    They may also be placed beside other suspects, where a trial begins in this pass.
    """
    _prepare(trials, capacity)
    job, key, tasks = candidate[:3]
    is_alone = any(_is_isolated(task) for task in tasks)
    if job.spec.steps[key[1]].gang:
        return _fit(trials, capacity, candidate, service, is_alone, _fit_gang)
    placed, used = [], set()

    def fit(capacity, candidate, service):
        return _fit_on_another_worker(used, capacity, candidate, service)

    while len(placed) < len(tasks):
        rest = candidate._replace(tasks=tasks[len(placed) :])
        found = _fit(trials, capacity, rest, service, is_alone, fit)
        placed += found
        used.update(placement.worker.info.id for placement in found)
        if not found or is_alone or not _has_passed_trial(job, trials.workers):
            break
    return placed


def _fit(trials, capacity, candidate, service, is_alone, fit):
    """Return the Placements of ``fit`` on workers that begin a trial in this pass.

    An isolated suspect leaves room for a trial of others.
    """
    left = trials.limit - trials.count
    if left > 0 and (not is_alone or left > 1 or trials.limit < 2):
        placed = fit(capacity, candidate, service)
        for worker in {p.worker.info.id: p.worker for p in placed}.values():
            trials.count += 1
            if is_alone:
                close_worker(capacity, worker)
            else:
                move_worker(capacity, trials.shared, worker)
        if placed:
            return placed
    return [] if is_alone else fit(trials.shared, candidate, service)


def _fit_gang(capacity, candidate, service):
    """Return Placements of a gang, if it fits on workers without recent starts."""
    fit = planning.fit_gang
    placed = fit(capacity, candidate, service, lambda w: not has_recent_start(w))
    return placed or fit(capacity, candidate, service) or []


def _fit_on_another_worker(used, capacity, candidate, service):
    """Return Placements on the worker that suits a trial best of the emptiest ones.

    That has no runs that have just started, few on trial and few in all. The limit of a
    step on a worker does not count the tasks just placed, so it is none of ``used``.
    """
    limit = MAX_COMPARED_WORKERS + len(used)
    slots = planning.emptiest_slots(capacity, candidate, service, limit)
    slots = [slot for slot in slots if slot[0].info.id not in used]
    if not slots:
        return []
    return planning.fill_worker(capacity, candidate, min(slots, key=_trial_preference))


def _trial_preference(slot):
    worker = slot[0]
    recent = has_recent_start(worker)
    return recent, len(worker.trial_runs), len(worker.runs), worker.info.id


def begin(job, placements):
    """Begin the trial of a job's suspects that were placed."""
    for placement in placements:
        worker, run = placement.worker, placement.task.run
        if not any(known is worker for known in job.trial_workers):
            job.trial_workers.append(worker)
        worker.trial_runs = [*runs_on_trial(worker), run]
        worker.changed = True
