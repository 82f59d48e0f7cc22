"""Core: workers that crashed, and the tasks under which they did.

A task may crash each worker that starts it. Which of the runs on a crashed worker is
the cause is not known. The tasks of those that had just started are suspects, which are
placed on workers where only suspects start for a while (see ``crash_trials``). If a
worker crashes on which only one job is on trial, that job is the cause.
"""

from typing import NamedTuple

from .dispatch_tasks import discard_run, fail_job, request_stop
from .log import get_logger
from .workers import (
    QUICK_CRASH_S,
    RECORDING,
    STOPPING,
    runs_on_trial,
)

__all__ = [
    "GONE",
    "describe_crash",
    "last_seen",
    "note_crash",
    "note_loss",
    "on_worker_gone",
    "withdraw_crashes",
]

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
# A run that was there for this long is not the cause of a crash that runs on trial, or
# what other workers were lost by, may have caused.
SETTLED_S = 5.0
# Losses of workers are kept for this long to compare others with them.
KEPT_LOSSES_S = 15.0


class LastSeen(NamedTuple):
    """What was known of a worker when its last answer before a crash arrived.

    ``at`` is that time, or None. ``recent`` are the runs that may be the cause, as they
    had not outlasted a quick crash, and ``on_trial`` those that were on trial.
    """

    at: float | None
    recent: list
    on_trial: list


class Loss(NamedTuple):
    """The loss of a worker; ``is_explained`` if one of its runs may be the cause.

    ``seen_at`` is when its last answer arrived, ``noted_at`` when the crash was noted.
    """

    seen_at: float
    rack: str
    is_explained: bool
    is_in_trial: bool
    noted_at: float


class Crash(NamedTuple):
    """A crash of a worker, and the losses of others at about the same time."""

    worker: object
    seen: LastSeen
    coinciding: list


def last_seen(worker):
    """Return the LastSeen of a worker, before its runs and last answer are updated."""
    at = worker.answered_at
    recent = [
        run
        for run in worker.runs.values()
        if at is None or run.acked_at is None or at - run.acked_at <= QUICK_CRASH_S
    ]
    return LastSeen(at, recent, runs_on_trial(worker))


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
    seen = last_seen(worker)
    if has_crashed:
        note_loss(state, now, worker, seen)
        crash = describe_crash(state, worker, seen)
    for run in list(worker.runs.values()):
        if run.state == RECORDING:
            request_stop(state, now, run)
        if _is_unsent(run) or run.awaits_answer:
            # It was not on the worker, or the result of its start tells whether it was.
            continue
        if has_crashed:
            note_crash(state, now, crash, run)
        discard_run(state, now, run, "its worker is gone")
    state.needs_plan = True


def _is_unsent(run):
    """Return whether the run is to be withdrawn before its start is sent."""
    return run.state == STOPPING and run.stop_sent_at is None


def note_loss(state, now, worker, seen):
    """Note that ``worker``, last seen as in ``seen``, has crashed."""
    losses, key = state.losses, (worker.info.id, seen.at)
    for known, loss in list(losses.items()):
        if loss.noted_at < now - KEPT_LOSSES_S:
            del losses[known]
    if seen.at is not None and key not in losses:
        losses[key] = _loss(worker, seen, now)


def _loss(worker, seen, now):
    is_explained, is_in_trial = bool(seen.recent), bool(seen.on_trial)
    return Loss(seen.at, worker.info.rack, is_explained, is_in_trial, now)


def describe_crash(state, worker, seen):
    """Return the Crash of a worker, which was last seen as in ``seen``."""
    coinciding = []
    if seen.at is not None:
        coinciding = [
            loss
            for (worker_id, _), loss in _known_losses(state).items()
            if worker_id != worker.info.id
            and abs(loss.seen_at - seen.at) <= COINCIDENCE_S
        ]
    return Crash(worker, seen, coinciding)


def _known_losses(state):
    """Return the recent losses, and the workers that may have been lost."""
    losses = dict(state.losses)
    for worker in state.workers.values():
        at = worker.answered_at
        if worker.failed_polls and at is not None:
            losses.setdefault(
                (worker.info.id, at), _loss(worker, last_seen(worker), at)
            )
    return losses


def note_crash(state, now, crash, run):
    """Count a crash of a worker under ``run``; the job may fail by it.

    The count is recorded with the job before any later start of the task.
    """
    job, task, seen = run.job, run.task, crash.seen
    if task.run is not run or job.outcome is not None:
        return
    if run.step.gang and job.failed_gang_runs.get(task.key[:2]) == run.attempt:
        # The run of all members has ended before.
        return
    ran_s = _observed_run_s(run, seen.at)
    if run.step.long_running and ran_s >= SURVIVED_S:
        return
    is_common = _has_common_cause(crash, ran_s)
    if ran_s >= SETTLED_S and (is_common or seen.on_trial):
        return
    confirmed = int(run.acked_at is not None and not is_common)
    task.crashes += 1
    task.confirmed_crashes += confirmed
    task.crashed_run = (run.attempt, confirmed)
    task.ran_s = max(task.ran_s, ran_s)
    job.has_crashes = True
    state.crashed_runs += 1
    is_conclusive = (
        run in seen.on_trial
        and all(other.job is job for other in (*seen.on_trial, *seen.recent))
        and run.acked_at is not None
        and task.ran_s <= QUICK_CRASH_S
        and not is_common
        and not _is_rack_lost(crash)
    )
    log(
        "warning",
        "worker_crashed_under_task",
        task=run.name,
        run=run.attempt,
        worker=crash.worker.info.id,
        crashes=task.crashes,
        confirmed=task.confirmed_crashes,
        ran_s=round(ran_s, 2),
        on_trial=len(seen.on_trial),
        common_cause=is_common,
        conclusive=is_conclusive,
    )
    if _is_to_blame(task, is_conclusive):
        state.jobs_failed_by_crashes += 1
        fail_job(state, now, job, task, f"{task.crashes} workers crashed under it")


def withdraw_crashes(tasks, attempt):
    """Count the crashes under a gang's run no more, as it has ended as failed."""
    for task in tasks:
        crashed, confirmed = task.crashed_run
        if crashed == attempt:
            task.crashes -= 1
            task.confirmed_crashes -= confirmed
            task.crashed_run = (0, 0)


def _observed_run_s(run, seen_at):
    """Return for how long the run was seen on its worker."""
    if run.acked_at is None or seen_at is None:
        return 0.0
    return max(0.0, seen_at - run.acked_at)


def _has_common_cause(crash, ran_s):
    """Return whether a crash may have a common cause with the loss of another worker.

    For a run that had started soon before, a loss that may be due to another run like
    that does not count.
    """
    if ran_s > QUICK_CRASH_S:
        return bool(crash.coinciding)
    return any(not loss.is_explained for loss in crash.coinciding)


def _is_rack_lost(crash):
    """Return whether a worker of the same rack that was not in trial was lost, too."""
    rack = crash.worker.info.rack
    return any(loss.rack == rack and not loss.is_in_trial for loss in crash.coinciding)


def _is_to_blame(task, is_conclusive):
    allowed = QUICK_CRASHES if is_conclusive else MAX_CONFIRMED_CRASHES
    return task.confirmed_crashes >= allowed or task.crashes >= MAX_CRASHES
