"""Core: workers on which runs fail, and how long starts on them are limited.

A worker on which runs of several jobs fail is on probation; if only one job fails
there, the worker is on probation for that job alone. Most workers of a step can't be
faulty at the same time: then the failures are the jobs' own.
"""

__all__ = [
    "FAILURES_TO_AVOID",
    "avoid",
    "has_probe",
    "is_avoided_for",
    "is_blamed",
    "is_failing_for",
    "is_on_probation",
    "note_sound",
    "update_health",
    "withdraw_blame",
]

# A worker that fails or rejects runs is avoided for a period that doubles from the
# minimum up to the maximum; for the only job that fails there, always for the minimum.
AVOID_MIN_S = 1.0
AVOID_MAX_S = 2.0
# A worker is avoided from this number of consecutive failures; fewer are attributed to
# the tasks.
FAILURES_TO_AVOID = 3
# A worker on probation gets another task once the one before has run for this long.
PROBE_S = 2.0
# A long-running task that ran for this long counts as a success of its worker.
SOUND_S = 5.0
# If more than this share of the workers that a step may use are avoided or on
# probation, the cause is not in the workers.
MAX_BLAMED_SHARE = 0.5


def is_on_probation(worker):
    """Return whether runs of several jobs failed in a row on the worker.

    Those of one job may be due to its own fault; see ``is_failing_for``.
    """
    return worker.failures >= FAILURES_TO_AVOID and worker.failing_job is None


def is_failing_for(worker, job_id):
    """Return whether the worker is on probation for one job alone, as only that fails.

    Other jobs use the worker meanwhile.
    """
    return worker.failures >= FAILURES_TO_AVOID and worker.failing_job == job_id


def is_avoided_for(worker, job_id, now):
    """Return whether no task of the job may be placed there so soon after it failed."""
    return is_failing_for(worker, job_id) and now < worker.failed_at + AVOID_MIN_S


def has_probe(worker, job_id=None):
    """Return whether a run since the latest failure has yet to show how it goes.

    With ``job_id`` only runs of that job count.
    """
    return any(
        _is_probe(worker, run)
        for run in worker.runs.values()
        if job_id is None or run.job.spec.id == job_id
    )


def _is_probe(worker, run):
    if run.sent_at is not None and run.sent_at <= worker.failed_at:
        return False
    if run.acked_at is None or worker.answered_at is None:
        return True
    return worker.answered_at < run.acked_at + PROBE_S


def avoid(worker, now):
    """Place nothing on the worker for a period that doubles each time.

    Runs that fail during a period began before it and do not double it again.
    """
    if now < worker.avoid_until:
        return
    worker.changed = True
    worker.avoidance_s = min(AVOID_MAX_S, max(AVOID_MIN_S, worker.avoidance_s * 2))
    worker.avoid_until = now + worker.avoidance_s


def _clear_failures(worker):
    worker.changed = True
    worker.failures, worker.failing_job = 0, None
    worker.avoidance_s = 0.0


def note_sound(worker, now, run):
    """Count a long-running task that runs on as a success: it has no other end."""
    if not worker.failures or not run.step.long_running or run.acked_at is None:
        return
    if run.acked_at > worker.failed_at and now >= run.acked_at + SOUND_S:
        _clear_failures(worker)


def is_blamed(worker, now):
    """Return whether starts on the worker are limited because runs failed there."""
    return now < worker.avoid_until or worker.failures >= FAILURES_TO_AVOID


def withdraw_blame(workers, now):
    """Clear the workers' failures if most of the workers are blamed at the same time.

    ``workers`` are those that a step may use. Returns how many were blamed.
    """
    blamed = [worker for worker in workers if is_blamed(worker, now)]
    if len(workers) < 2 or len(blamed) <= MAX_BLAMED_SHARE * len(workers):
        return 0
    for worker in blamed:
        _clear_failures(worker)
        worker.avoid_until = now
    return len(blamed)


# Weight of the latest run in the moving average of a worker's slowness.
SLOWNESS_WEIGHT = 0.3
# Limit on the slowness observed in one run, as estimates are rough.
MAX_RUN_SLOWNESS = 8.0


def update_health(worker, now, how, run):
    """Update the worker's failures, avoidance and slowness from an ended run."""
    worker.changed = True
    if how == "done":
        _clear_failures(worker)
        _update_slowness(worker, now, run)
    elif how == "failed":
        job_id = run.job.spec.id
        if not worker.failures:
            worker.failing_job = job_id
        elif worker.failing_job != job_id:
            worker.failing_job = None
        worker.failures += 1
        worker.failed_at = now
        if is_on_probation(worker):
            avoid(worker, now)


def _update_slowness(worker, now, run):
    """Update the slowness from the run time of a task that is not part of a gang."""
    step = run.step
    if step.gang or run.acked_at is None or step.estimate_s <= 0:
        return
    run_slowness = min(MAX_RUN_SLOWNESS, (now - run.acked_at) / step.estimate_s)
    worker.slowness += SLOWNESS_WEIGHT * (run_slowness - worker.slowness)
