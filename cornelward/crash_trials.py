"""Core: places the tasks of jobs under which workers have crashed.

Such a task is a suspect. A job with suspects starts tasks on one worker at a time (a
gang on as few as it needs), and no other job starts tasks there until the trial has
ended (``workers.is_in_trial``). So a further crash breaks few runs and shows which job
is the cause, and a step whose tasks all crash their workers takes down one more.
"""

from . import planning
from .capacity_index import close_worker
from .workers import QUICK_CRASH_S, is_in_trial

__all__ = ["begin", "fit_suspects", "has_suspects", "tasks_to_place"]

# Largest share of the reachable workers that may be in trial; one worker always may.
MAX_TRIAL_SHARE = 0.5


def has_suspects(job, tasks):
    """Return whether one of the tasks is a suspect."""
    return any(_is_suspect(job, task) for task in tasks)


def _is_suspect(job, task):
    """Return whether a worker has crashed under the task, which may be the cause.

    A long-running task that had run for a while is owed its next run at once.
    """
    lasts = job.spec.steps[task.key[1]].long_running
    return task.crashes > 0 and (task.ran_s <= QUICK_CRASH_S or not lasts)


def _has_trial(job):
    job.trial_workers = [worker for worker in job.trial_workers if is_in_trial(worker)]
    return any(
        run.job is job for worker in job.trial_workers for run in worker.trial_runs
    )


def tasks_to_place(job, tasks):
    """Return which placeable tasks of a step may be placed now; suspects come first."""
    if _has_trial(job):
        return []
    suspects = [task for task in tasks if _is_suspect(job, task)]
    if not suspects or job.spec.steps[suspects[0].key[1]].gang:
        return tasks
    return suspects


def fit_suspects(workers, capacity, candidate, service):
    """Return Placements for the suspects of a step, if another trial may begin now.

    ``workers`` are all workers that the leader knows.
    """
    in_trial = sum(
        is_in_trial(worker) and not worker.failed_polls for worker in workers
    )
    if in_trial >= max(1, MAX_TRIAL_SHARE * (len(capacity.workers) + in_trial)):
        return []
    if candidate.job.spec.steps[candidate.key[1]].gang:
        return planning.fit_gang(capacity, candidate, service)
    return planning.fit_on_one_worker(capacity, candidate, service)


def begin(capacity, job, placements):
    """Begin the trial of a job whose suspects were placed."""
    for placement in placements:
        worker, run = placement.worker, placement.task.run
        if worker not in job.trial_workers:
            worker.trial_runs = []
            job.trial_workers.append(worker)
            close_worker(capacity, worker)
        worker.trial_runs.append(run)
