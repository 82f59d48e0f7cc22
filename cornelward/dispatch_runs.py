"""Core: what becomes of runs, from the answers of workers.

A run's room stays reserved until the worker lists its end, does not know it any more,
or its lease has certainly run out.
"""

from . import commits, workers
from .dispatch_effects import Stop
from .log import get_logger
from .queue_index import mark_changed
from .staged_jobs import COMPLETED, DONE, FAILED, PLACED, WAITING, is_job_done
from .workers import ACTIVE, ADOPTED, RECORDING, SENT, STOPPING

__all__ = [
    "discard_run",
    "mark_dirty",
    "on_poll_result",
    "on_start_result",
    "on_stop_result",
    "request_stop",
    "retry_stops",
]

log = get_logger("dispatch_runs")

# Pause before a stop without an answer is sent again, in seconds.
STOP_RETRY_S = 0.3


def mark_dirty(state, job, effect=None):
    """Record the job's state; ``effect`` is carried out after that."""
    if effect is not None:
        job.after_commit.append(effect)
    commits.mark_dirty(state.writers[commits.part_of(job.spec.id)], job)
    mark_changed(state.queue_index, job)


def _note_begun(state, job):
    """Note that a run of the job was seen: an order alone may never arrive."""
    if not job.run_seen:
        job.run_seen = True
        mark_changed(state.queue_index, job)


def request_stop(state, now, run):
    """Stop a run; one that was not sent yet is withdrawn when its record is written."""
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
    """Send stops again that got no answer."""
    for worker in state.workers.values():
        for run in worker.runs.values():
            if run.stop_sent_at is None or run.stop_acked_at is not None:
                continue
            if now - run.stop_sent_at >= STOP_RETRY_S and not worker.failed_polls:
                _send_stop(state, now, run)


def discard_run(state, now, run, reason):
    """Take a run off its worker: it does not run there and never will."""
    worker = state.workers.get(run.worker)
    if worker is not None:
        workers.remove_run(worker, run)
    log(
        "info",
        "run_void",
        task=run.name,
        run=run.attempt,
        worker=run.worker,
        why=reason,
    )
    _release(state, now, run)


def _release(state, now, run):
    """Let the run's task wait again, unless it is done or has another run."""
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
    """Stop the other members: they would wait for the one that is missing."""
    for task in job.tasks[key]:
        if task.run is not None:
            request_stop(state, now, task.run)


def on_start_result(state, now, run, answer):
    """Take in the answer to a Start: ``ok``, ``unsent``, ``unknown`` or a reason."""
    worker = state.workers.get(run.worker)
    if worker is None or worker.runs.get((run.name, run.attempt)) is not run:
        return
    if answer == "ok":
        run.acked_at = now
        _note_begun(state, run.job)
        if run.state == SENT:
            run.state = ACTIVE
            run.progress_at = now
        return
    log(
        "info",
        "start_failed",
        task=run.name,
        run=run.attempt,
        why=answer,
        worker=run.worker,
    )
    if answer == "unknown":
        # It may still be carried out; the stop makes it void.
        if run.state == SENT:
            request_stop(state, now, run)
        return
    if answer == "fence":
        state.fenced_off = True
        return
    if answer == "ticket":
        run.job.tickets.pop(run.task.key[:2], None)
    elif answer != "old":
        workers.avoid(worker, now)
    if answer == "gone":
        worker.answered_at = None
    discard_run(state, now, run, answer)


def on_stop_result(state, now, worker_id, name, attempt, acknowledged):
    """Take in the answer to a Stop."""
    worker = state.workers.get(worker_id)
    run = worker and worker.runs.get((name, attempt))
    if run is not None and acknowledged:
        run.stop_acked_at = now


def on_poll_result(state, now, worker_id, sent_at, report):
    """Take in the answer to a Look; ``report`` is None if there was none.

    Otherwise it has ``clock_s``, ``born``, ``running`` [(task, attempt, saved,
    progress)] and ``ended`` [(number, task, attempt, how, saved)].
    """
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    worker.poll_in_flight = False
    state.poll_due.add(worker_id)
    if report is None:
        worker.failed_polls += 1
        return
    if worker.failed_polls or worker.answered_at is None:
        state.needs_plan = True
    if worker.answered_at is None:
        # From here on the worker refuses a former leader, whose lease is bounded.
        longest_s = state.cfg["longest_lease_s"]
        workers.bound_lease(worker, now, longest_s)
    worker.failed_polls = 0
    worker.answered_at = now
    if report.born != worker.info.born:
        _reborn(worker, report.born)
    workers.update_clock(worker, now, report.clock_s)
    for number, name, attempt, how, checkpoint in report.ended:
        if number > worker.last_end_seen:
            worker.last_end_seen = number
            _end(state, now, worker, number, (name, attempt), how, checkpoint)
    _compare(state, now, worker, sent_at, report.running)
    if not worker.unrecorded_ends:
        worker.last_end_recorded = worker.last_end_seen


def _reborn(worker, born):
    log("info", "worker_reborn", worker=worker.info.id, born=born)
    worker.info = worker.info._replace(born=born)
    worker.last_end_seen = worker.last_end_recorded = worker.last_end_acked = 0
    worker.unrecorded_ends.clear()
    worker.unknown_runs.clear()
    worker.deadline_s = 0.0


def _compare(state, now, worker, sent_at, running):
    """Compare our runs with those that the worker lists."""
    present = set()
    unknown_runs = set()
    for name, attempt, checkpoint, progress in running:
        present.add((name, attempt))
        run = worker.runs.get((name, attempt))
        if run is None:
            unknown_runs.add((name, attempt))
            state.effects.append(
                Stop(worker.info.id, worker.info.address, name, attempt)
            )
            continue
        _note_begun(state, run.job)
        if run.state in (SENT, ADOPTED):
            run.state = ACTIVE
            run.acked_at = now
        run.checkpoint = checkpoint or run.checkpoint
        if progress != run.progress or run.progress_at is None:
            run.progress, run.progress_at = progress, now
    if unknown_runs != worker.unknown_runs:
        worker.unknown_runs = unknown_runs
        state.needs_plan = True
    for key, run in list(worker.runs.items()):
        if key not in present and _answer_covers(run, sent_at):
            discard_run(state, now, run, "not there")


def _answer_covers(run, sent_at):
    """Return whether an answer to a look sent then would list the run."""
    if run.state == ADOPTED:
        return True
    known_at = run.acked_at if run.acked_at is not None else run.stop_acked_at
    if run.stop_acked_at is not None:
        known_at = min(known_at, run.stop_acked_at)
    return known_at is not None and known_at < sent_at


def _end(state, now, worker, number, key, how, checkpoint):
    run = worker.runs.get(key)
    if run is None:
        return
    workers.remove_run(worker, run)
    _note_begun(state, run.job)
    workers.update_health(worker, now, how, run)
    run.checkpoint = checkpoint or run.checkpoint
    job, task = run.job, run.task
    if how != "done" and how != "stopped":
        log(
            "info",
            "run_ended",
            task=run.name,
            run=run.attempt,
            how=how,
            worker=run.worker,
        )
    if job.outcome is not None or task.run is not run:
        _release(state, now, run)
        if job.spec.id in state.jobs:
            mark_dirty(state, job)
        return
    if how == "done":
        _task_done(state, now, run)
    else:
        if how == "failed":
            _task_failed(state, now, run)
        _release(state, now, run)
    worker.unrecorded_ends[number] = 1
    mark_dirty(state, job, ("end", worker.info.id, worker.info.born, number))


def _task_done(state, now, run):
    job, task = run.job, run.task
    if run.step.long_running:
        _release(state, now, run)
        return
    # The end of one member stands for all of a gang.
    tasks = job.tasks[task.key[:2]] if run.step.gang else [task]
    for member in tasks:
        member.state = DONE
        member.run = None
    state.needs_plan = True
    if is_job_done(job):
        log("info", "job_ended", job=job.spec.id, outcome=COMPLETED)
        job.outcome = COMPLETED


def _task_failed(state, now, run):
    job, task = run.job, run.task
    task.failures += 1
    if run.step.long_running:
        return
    failures = task.failures
    if run.step.gang:
        failures = sum(t.failures for t in job.tasks[task.key[:2]])
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    if failures >= queue.max_attempts:
        log("info", "job_ended", job=job.spec.id, outcome=FAILED, task=run.name)
        job.outcome = FAILED
        for tasks in job.tasks.values():
            for other in tasks:
                if other.run is not None and other is not task:
                    request_stop(state, now, other.run)
