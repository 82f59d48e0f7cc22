"""Core: what becomes of runs, from the answers of workers.

A run's room stays reserved until the worker lists its end, does not know it any more,
or its lease has certainly run out.
"""

from . import commits, workers
from .dispatch_effects import Stop
from .log import get_logger
from .staged_jobs import COMPLETED, DONE, FAILED, PLACED, WAITING, is_job_done
from .waiting import touch
from .workers import ACTIVE, ADOPTED, RECORDING, SENT, STOPPING

__all__ = [
    "look_answered",
    "mark",
    "request_stop",
    "start_answered",
    "stop_answered",
    "stop_retries",
    "void",
]

log = get_logger("dispatch_runs")

# Pause before a stop without an answer is sent again, in seconds.
STOP_RETRY_S = 0.3


def mark(state, job, effect=None):
    """Record the job's state; ``effect`` is carried out after that."""
    if effect is not None:
        job.after_commit.append(effect)
    commits.mark(state.writers[commits.part_of(job.spec.id)], job)
    touch(state.waiting, job)


def _note_begun(state, job):
    """Note that a run of the job was seen: an order alone may never arrive."""
    if not job.begun:
        job.begun = True
        touch(state.waiting, job)


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


def stop_retries(state, now):
    """Send stops again that got no answer."""
    for worker in state.workers.values():
        for run in worker.runs.values():
            if run.stop_sent_at is None or run.stop_acked_at is not None:
                continue
            if now - run.stop_sent_at >= STOP_RETRY_S and not worker.look_failed:
                _send_stop(state, now, run)


def void(state, now, run, reason):
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
        task.saved = run.saved or task.saved
    if run.step.gang and task.state != DONE:
        _stop_gang(state, now, job, task.key[:2])
    mark(state, job)


def _stop_gang(state, now, job, key):
    """Stop the other members: they would wait for the one that is missing."""
    for task in job.tasks[key]:
        if task.run is not None:
            request_stop(state, now, task.run)


def start_answered(state, now, run, answer):
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
    void(state, now, run, answer)


def stop_answered(state, now, worker_id, name, attempt, acknowledged):
    """Take in the answer to a Stop."""
    worker = state.workers.get(worker_id)
    run = worker and worker.runs.get((name, attempt))
    if run is not None and acknowledged:
        run.stop_acked_at = now


def look_answered(state, now, worker_id, sent_at, report):
    """Take in the answer to a Look; ``report`` is None if there was none.

    Otherwise it has ``clock_s``, ``born``, ``running`` [(task, attempt, saved,
    progress)] and ``ended`` [(number, task, attempt, how, saved)].
    """
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    worker.looking = False
    state.look_due.add(worker_id)
    if report is None:
        worker.look_failed += 1
        return
    if worker.look_failed or worker.answered_at is None:
        state.needs_plan = True
    if worker.answered_at is None:
        # From here on the worker refuses a former leader, whose lease is bounded.
        longest_s = state.cfg["longest_lease_s"]
        workers.bound_lease(worker, now, longest_s)
    worker.look_failed = 0
    worker.answered_at = now
    if report.born != worker.info.born:
        _reborn(worker, report.born)
    workers.note_clock(worker, now, report.clock_s)
    for number, name, attempt, how, saved in report.ended:
        if number > worker.seen_end:
            worker.seen_end = number
            _end(state, now, worker, number, (name, attempt), how, saved)
    _compare(state, now, worker, sent_at, report.running)
    if not worker.open_ends:
        worker.durable_end = worker.seen_end


def _reborn(worker, born):
    log("info", "worker_reborn", worker=worker.info.id, born=born)
    worker.info = worker.info._replace(born=born)
    worker.seen_end = worker.durable_end = worker.sent_end = 0
    worker.open_ends.clear()
    worker.strangers.clear()
    worker.deadline_s = 0.0


def _compare(state, now, worker, sent_at, running):
    """Compare our runs with those that the worker lists."""
    present = set()
    strangers = set()
    for name, attempt, saved, progress in running:
        present.add((name, attempt))
        run = worker.runs.get((name, attempt))
        if run is None:
            strangers.add((name, attempt))
            state.effects.append(
                Stop(worker.info.id, worker.info.address, name, attempt)
            )
            continue
        _note_begun(state, run.job)
        if run.state in (SENT, ADOPTED):
            run.state = ACTIVE
            run.acked_at = now
        run.saved = saved or run.saved
        if progress != run.progress or run.progress_at is None:
            run.progress, run.progress_at = progress, now
    if strangers != worker.strangers:
        worker.strangers = strangers
        state.needs_plan = True
    for key, run in list(worker.runs.items()):
        if key not in present and _answer_covers(run, sent_at):
            void(state, now, run, "not there")


def _answer_covers(run, sent_at):
    """Return whether an answer to a look sent then would list the run."""
    if run.state == ADOPTED:
        return True
    known_at = run.acked_at if run.acked_at is not None else run.stop_acked_at
    if run.stop_acked_at is not None:
        known_at = min(known_at, run.stop_acked_at)
    return known_at is not None and known_at < sent_at


def _end(state, now, worker, number, key, how, saved):
    run = worker.runs.get(key)
    if run is None:
        return
    workers.remove_run(worker, run)
    _note_begun(state, run.job)
    workers.note_end(worker, now, how, run)
    run.saved = saved or run.saved
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
            mark(state, job)
        return
    if how == "done":
        _task_done(state, now, run)
    else:
        if how == "failed":
            _task_failed(state, now, run)
        _release(state, now, run)
    worker.open_ends[number] = 1
    mark(state, job, ("end", worker.info.id, worker.info.born, number))


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
