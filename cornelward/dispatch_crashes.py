"""Core: workers that crashed, and the tasks under which they did.

A task may crash each worker that starts it. Which of the runs on a crashed worker is
the cause is not known, so all of their tasks are suspects. A suspect is placed on a
worker where nothing else starts for a while (see ``crash_trials``): if that crashes,
too, the suspect's job is the cause.
"""

from .dispatch_tasks import discard_run, fail_job, request_stop
from .log import get_logger
from .workers import (
    QUICK_CRASH_S,
    RECORDING,
    STOPPING,
    is_in_trial,
    runs_on_trial,
)

__all__ = ["GONE", "note_crash", "on_worker_gone"]

log = get_logger("dispatch_crashes")

# Result of a request to a worker whose address another life of the machine has.
GONE = "gone"

# A job fails by the second crash under one of its tasks if that is during its trial,
# both were quick and the workers had confirmed the starts. Otherwise it fails by the
# fourth such crash, as tasks may also lose several workers by chance, or by the fifth
# of any kind.
QUICK_CRASHES = 2
MAX_CONFIRMED_CRASHES = 4
MAX_CRASHES = 5
# Workers that are lost within this time of each other have a common cause.
COINCIDENCE_S = 0.5
# A long-running task that ran for this long did not crash its worker.
SURVIVED_S = 30.0


def on_worker_gone(state, now, worker):
    """Handle that a worker's address is now that of another life of its machine.

    Nothing of the former life is left, so its runs need not wait for its lease. A
    worker that left as announced has not crashed; one that was gone before has.
    """
    if not worker.is_gone:
        log("warning", "worker_gone", worker=worker.info.id, runs=len(worker.runs))
    worker.is_gone = True
    worker.registered = False
    worker.changed = True
    worker.unrecorded_ends.clear()
    has_crashed = worker.leaves_at is None or now < worker.leaves_at
    seen_at, on_trial = worker.answered_at, runs_on_trial(worker)
    for run in list(worker.runs.values()):
        if run.state == RECORDING:
            request_stop(state, now, run)
        if _is_unsent(run) or run.awaits_answer:
            # It was not on the worker, or the result of its start tells whether it was.
            continue
        if has_crashed:
            note_crash(state, now, worker, run, seen_at, on_trial)
        discard_run(state, now, run, "its worker is gone")
    state.needs_plan = True


def _is_unsent(run):
    """Return whether the run is to be withdrawn before its start is sent."""
    return run.state == STOPPING and run.stop_sent_at is None


def note_crash(state, now, worker, run, seen_at, on_trial):
    """Count a crash of ``worker`` under ``run``; the job may fail by it.

    ``seen_at`` is when the worker's last answer before the crash arrived, or None, and
    ``on_trial`` are the runs that were on trial then. The count is recorded with the
    job before any later start of the task.
    """
    job, task = run.job, run.task
    if task.run is not run or job.outcome is not None:
        return
    ran_s = _observed_run_s(run, seen_at)
    if run.step.long_running and ran_s >= SURVIVED_S:
        return
    task.crashes += 1
    task.confirmed_crashes += run.acked_at is not None
    task.ran_s = max(task.ran_s, ran_s)
    job.has_crashes = True
    state.crashed_runs += 1
    is_conclusive = (
        run in on_trial
        and run.acked_at is not None
        and task.ran_s <= QUICK_CRASH_S
        and not _others_were_lost(state, worker, seen_at)
    )
    log(
        "warning",
        "worker_crashed_under_task",
        task=run.name,
        run=run.attempt,
        worker=worker.info.id,
        crashes=task.crashes,
        ran_s=round(ran_s, 2),
        conclusive=is_conclusive,
    )
    if _is_to_blame(task, is_conclusive):
        state.jobs_failed_by_crashes += 1
        fail_job(state, now, job, task, f"{task.crashes} workers crashed under it")


def _observed_run_s(run, seen_at):
    """Return for how long the run was seen on its worker."""
    if run.acked_at is None or seen_at is None:
        return 0.0
    return max(0.0, seen_at - run.acked_at)


def _others_were_lost(state, worker, seen_at):
    """Return whether workers that are not in trial were lost at about the same time."""
    return any(
        other is not worker
        and other.failed_polls
        and other.answered_at is not None
        and abs(other.answered_at - seen_at) <= COINCIDENCE_S
        and not is_in_trial(other)
        for other in state.workers.values()
        if seen_at is not None
    )


def _is_to_blame(task, is_conclusive):
    allowed = QUICK_CRASHES if is_conclusive else MAX_CONFIRMED_CRASHES
    return task.confirmed_crashes >= allowed or task.crashes >= MAX_CRASHES
