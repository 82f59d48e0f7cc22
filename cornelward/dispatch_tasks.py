"""Core: stops and discards runs, and returns their tasks to the waiting state.

The capacity of a run stays reserved until the worker reports the end of the run, no
longer lists the run, is gone, or its lease has certainly expired.
"""

from . import commits, workers
from .dispatch_effects import Stop
from .log import get_logger
from .queue_index import mark_changed
from .staged_jobs import DONE, FAILED, PLACED, WAITING, task_name
from .workers import RECORDING, STOPPING, VOID

__all__ = [
    "discard_run",
    "fail_job",
    "mark_dirty",
    "release_task",
    "request_stop",
    "retry_stops",
    "stop_incomplete_gangs",
]

log = get_logger("dispatch_runs")

# A stop request without a response is sent again after this time.
STOP_RETRY_S = 0.3


def mark_dirty(state, job, effect=None):
    """Schedule the job's state for commit; ``effect`` is carried out afterwards."""
    if effect is not None:
        job.after_commit.append(effect)
    commits.mark_dirty(state.writers[commits.partition_of(job.spec.id)], job)
    mark_changed(state.queue_index, job)


def request_stop(state, now, run):
    """Stop a run.

    If its start is still being recorded, the run is discarded once the record is
    written, and no start request is sent.
    """
    if run.state == RECORDING:
        run.state = STOPPING
        return
    if run.stop_sent_at is not None:
        return
    run.state = STOPPING
    _send_stop(state, now, run)


def _send_stop(state, now, run):
    run.stop_sent_at = now
    worker = state.workers.get(run.worker)
    if worker is not None and worker.info.address:
        address = worker.info.address
        state.effects.append(Stop(run.worker, address, run.name, run.attempt))


def retry_stops(state, now):
    """Resend stop requests that got no response."""
    for worker in state.workers.values():
        for run in worker.runs.values():
            if run.stop_sent_at is None or run.stop_acked_at is not None:
                continue
            if now - run.stop_sent_at >= STOP_RETRY_S and not worker.failed_polls:
                _send_stop(state, now, run)


def discard_run(state, now, run, reason):
    """Remove a run that does not run on its worker and never will.

    The run's capacity is released and its task may be placed again.
    """
    worker = state.workers.get(run.worker)
    if worker is not None:
        workers.remove_run(worker, run)
    run.state = VOID
    log(
        "info",
        "run_void",
        task=run.name,
        run=run.attempt,
        worker=run.worker,
        why=reason,
    )
    release_task(state, now, run)


def release_task(state, now, run):
    """Return the run's task to the waiting state.

    Tasks that are done or have another run are left as they are.
    """
    job, task = run.job, run.task
    state.needs_plan = True
    if task.run is not run:
        return
    task.run = None
    if task.state == PLACED:
        task.state = WAITING
        task.checkpoint = run.checkpoint or task.checkpoint
    if run.step.gang and task.state != DONE:
        _stop_gang(state, now, job, task.key[:2])
    mark_dirty(state, job)


def _stop_gang(state, now, job, key):
    """Stop the other members of a gang: they would wait for the missing one."""
    for task in job.tasks[key]:
        if task.run is not None:
            request_stop(state, now, task.run)


def stop_incomplete_gangs(state, now, job):
    """Stop the rest of each gang of which a member has no run any more.

    The leader that recorded this may have ended before its stops arrived.
    """
    for key, tasks in job.tasks.items():
        is_incomplete = any(task.state == WAITING for task in tasks)
        if job.spec.steps[key[1]].gang and is_incomplete:
            _stop_gang(state, now, job, key)


def fail_job(state, now, job, task, why):
    """Set the job's outcome to failed because of ``task``, and stop its other runs."""
    log(
        "info",
        "job_ended",
        job=job.spec.id,
        outcome=FAILED,
        task=task_name(job, task),
        why=why,
    )
    job.outcome = FAILED
    for tasks in job.tasks.values():
        for other in tasks:
            if other.run is not None and other is not task:
                request_stop(state, now, other.run)
