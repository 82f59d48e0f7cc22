"""Core: updates runs from the responses of workers."""

from . import (
    dispatch_starts,
    lease_grants,
    objectives,
    worker_health,
    worker_speeds,
    workers,
)
from .dispatch_crashes import (
    GONE,
    describe_crash,
    last_seen,
    note_crash,
    note_loss,
    on_worker_gone,
    withdraw_crashes,
)
from .dispatch_effects import Stop
from .dispatch_tasks import (
    discard_run,
    fail_job,
    mark_dirty,
    release_task,
    request_stop,
)
from .log import get_logger
from .queue_index import mark_changed
from .staged_jobs import COMPLETED, DONE, is_job_done
from .workers import ACTIVE, ADOPTED, SENT, is_in_trial

__all__ = [
    "on_poll_result",
    "on_start_result",
    "on_stop_result",
    "reset_restarted_worker",
]

log = get_logger("dispatch_runs")

# A worker lists at most this many ended runs at a time, the first ones.
MAX_LISTED_ENDS = 500


def _mark_run_seen(state, job):
    """Note that a worker has reported a run of the job.

    A start request alone does not count, as it may never arrive.
    """
    if not job.run_seen:
        job.run_seen = True
        mark_changed(state.queue_index, job)


def on_start_result(state, now, run, answer):
    """Handle the result of a Start.

    ``answer`` is ``ok``, ``unsent``, ``unknown`` (the request may have arrived) or the
    worker's reason for rejecting the request.
    """
    worker = state.workers.get(run.worker)
    run.awaits_answer = False
    if worker is None or worker.runs.get((run.name, run.attempt)) is not run:
        return
    if answer == "ok":
        run.acked_at = now
        _mark_run_seen(state, run.job)
        if run.state == SENT:
            run.state = ACTIVE
            run.progress_at = now
            # One that resumes does not begin at zero.
            run.rated = None if run.checkpoint else (now, 0.0)
        return
    log(
        "info",
        "start_failed",
        task=run.name,
        run=run.attempt,
        why=answer,
        worker=run.worker,
    )
    if answer in ("unknown", "old"):
        # "unknown": the worker may still start the run; after a stop request it cannot.
        # "old": a stop may have overtaken the start, but the run may also have ended;
        # the next poll after the stop shows which.
        if run.state == SENT:
            request_stop(state, now, run)
        return
    if answer == "fence":
        state.fenced_off = True
        return
    if answer == "ticket":
        run.job.tickets.pop(run.task.key[:2], None)
    else:
        worker_health.avoid(worker, now)
    discard_run(state, now, run, answer)
    if answer == GONE and run.sent_at >= worker.restart_seen_at:
        on_worker_gone(state, now, worker)


def on_stop_result(state, now, worker_id, name, attempt, acknowledged):
    """Handle the result of a Stop."""
    worker = state.workers.get(worker_id)
    run = worker and worker.runs.get((name, attempt))
    if run is not None and acknowledged:
        run.stop_acked_at = now
        if run.acked_at is None:
            # Its task waits for a report that tells whether the run exists.
            worker.report_wanted_at = now
            state.poll_due[worker_id] = True


def on_poll_result(state, now, worker_id, sent_at, report):
    """Handle the result of a Poll; ``report`` is None if there was no response.

    It is ``GONE`` if another life of the machine answered; sent before a restart, the
    poll may have gone to an address that the worker had then. Otherwise it has
    ``clock_s``, ``born``, ``running`` [(task, attempt, checkpoint, progress)] and
    ``ended`` [(number, task, attempt, how, checkpoint)].
    """
    worker = state.workers.get(worker_id)
    if worker is None:
        return
    _note_poll_ended(worker)
    state.poll_due[worker_id] = True
    if report == GONE and sent_at >= worker.restart_seen_at:
        on_worker_gone(state, now, worker)
    if report in (None, GONE) or _is_from_earlier_life(worker, sent_at, report):
        worker.failed_polls += 1
        worker.changed = True
        dispatch_starts.withdraw_waiting_starts(state, now, worker)
        if worker.failed_polls == lease_grants.SILENT_POLLS:
            _log_silent_worker(state, now, worker)
        return
    if worker.failed_polls or worker.answered_at is None:
        state.needs_plan = worker.changed = True
    if worker.answered_at is None:
        longest_s = state.cfg["longest_lease_s"]
        lease_grants.end_former_leases(worker, now, longest_s)
    seen = last_seen(worker)
    _note_answer(state, now, worker, seen, report)
    workers.update_clock(worker, now, report.clock_s)
    _handle_ends(state, now, worker, report.ended)
    _update_listed_runs(state, now, worker, report.running)
    # A list of that length may leave out later ends.
    if len(report.ended) < MAX_LISTED_ENDS:
        _discard_unlisted_runs(state, now, worker, sent_at, report, seen)
    if not worker.unrecorded_ends:
        worker.last_end_recorded = worker.last_end_seen
    dispatch_starts.send_waiting_starts(state, now, worker)


def _note_answer(state, now, worker, seen, report):
    """Note that a worker has answered, and whether it has restarted since ``seen``."""
    worker.failed_polls = 0
    worker.is_gone = False
    worker.answered_at = now
    if report.born != worker.info.born:
        reset_restarted_worker(state, now, worker, report.born)
    if seen.at is not None and worker.restart_seen_at > seen.at:
        note_loss(state, now, worker, seen)
    if seen.on_trial and not is_in_trial(worker):
        state.needs_plan = True


def _note_poll_ended(worker):
    if worker.extra_polls:
        # Which of the two ended makes no difference.
        worker.extra_polls -= 1
    else:
        worker.poll_in_flight = False


def _log_silent_worker(state, now, worker):
    """Log the runs whose tasks wait for the end of a silent worker's lease."""
    ends_at = lease_grants.lease_end(worker, state.former_leases_end_at)
    for run in worker.runs.values():
        log(
            "info",
            "run_unreachable",
            task=run.name,
            run=run.attempt,
            worker=worker.info.id,
            lease_left_s=round(ends_at - now, 2),
        )


def _is_from_earlier_life(worker, sent_at, report):
    """Return whether the worker answered the poll before a restart we know of."""
    if report.born == worker.info.born or sent_at >= worker.restart_seen_at:
        return False
    log("info", "report_outdated", worker=worker.info.id, born=report.born)
    return True


def reset_restarted_worker(state, now, worker, born):
    """Forget what the worker listed before its restart: its numbers start anew."""
    log("info", "worker_reborn", worker=worker.info.id, born=born)
    if worker.runs:
        # A start that waited for its turn may have reached the new life, which has cut
        # the lease to the longest one.
        longest_s = state.cfg["longest_lease_s"]
        lease_grants.assume_longest_lease(worker, now, longest_s)
    worker.info = worker.info._replace(born=born)
    worker.restart_seen_at = now
    worker.changed = True
    worker.last_end_seen = worker.last_end_recorded = worker.last_end_acked = 0
    worker.unrecorded_ends.clear()
    worker.unknown_runs.clear()
    worker.deadline_s = 0.0
    # It may be a worker of another kind.
    worker.speed = worker_speeds.Speed()


def _update_listed_runs(state, now, worker, running):
    """Update our table from the runs that the worker lists; stop those not in it."""
    unknown_runs = set()
    for name, attempt, checkpoint, progress in running:
        run = worker.runs.get((name, attempt))
        if run is None:
            unknown_runs.add((name, attempt))
            state.effects.append(
                Stop(worker.info.id, worker.info.address, name, attempt)
            )
            continue
        _mark_run_seen(state, run.job)
        if run.state in (SENT, ADOPTED):
            run.state = ACTIVE
            run.acked_at = now
        if run.job.outcome is not None and run.task.run is run:
            # The leader that recorded the outcome may have failed to stop this run.
            request_stop(state, now, run)
        run.checkpoint = checkpoint or run.checkpoint
        if progress != run.progress or run.progress_at is None:
            run.progress, run.progress_at = progress, now
        worker_speeds.observe_progress(state.run_times, now, worker, run, progress)
        worker_health.note_sound(worker, now, run)
    if unknown_runs != worker.unknown_runs:
        worker.unknown_runs = unknown_runs
        state.needs_plan = worker.changed = True


def _discard_unlisted_runs(state, now, worker, sent_at, report, seen):
    """Discard the runs that the report would have listed.

    ``seen`` is the worker's LastSeen before the report, as for ``note_crash``.
    """
    present = {(name, attempt) for name, attempt, _, _ in report.running}
    gone = [
        run
        for key, run in worker.runs.items()
        if key not in present and _report_covers_run(run, sent_at, report.clock_s)
    ]
    crash = None
    for run in gone:
        if run.born != worker.info.born:
            crash = crash or describe_crash(state, worker, seen)
            note_crash(state, now, crash, run)
        discard_run(state, now, run, "not listed by the worker")


def _report_covers_run(run, sent_at, clock_s):
    """Return whether the report of a poll sent at ``sent_at`` would list the run.

    Also if no stop is acknowledged: it would if its start cannot begin it any more.
    """
    if run.deadline_s is not None and clock_s > run.deadline_s:
        return True
    known_at = run.acked_at if run.acked_at is not None else run.stop_acked_at
    if run.stop_acked_at is not None:
        known_at = min(known_at, run.stop_acked_at)
    return known_at is not None and known_at < sent_at


def _handle_ends(state, now, worker, ended):
    """Process the ends that a worker lists, those that are new."""
    # Ends that are listed are not acknowledged, even if a poll was sent that did so.
    listed = [entry[0] for entry in ended]
    worker.last_end_acked = min(listed) - 1 if listed else worker.last_end_seen
    for number, name, attempt, how, checkpoint in ended:
        if number > worker.last_end_seen:
            worker.last_end_seen = number
            _handle_run_end(
                state, now, worker, number, (name, attempt), how, checkpoint
            )


def _handle_run_end(state, now, worker, number, key, how, checkpoint):
    run = worker.runs.get(key)
    if run is None:
        _handle_end_of_unknown_run(state, worker, number, key)
        return
    workers.remove_run(worker, run)
    _mark_run_seen(state, run.job)
    worker_health.update_health(worker, now, how, run)
    if how == "failed" and worker_health.is_blamed(worker, now):
        _withdraw_blame(state, now, run)
    if how == "done":
        worker_speeds.observe_end(state.run_times, now, worker, run)
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
        release_task(state, now, run)
    elif how == "done":
        _task_done(state, now, run)
    else:
        if how == "failed":
            _task_failed(state, now, run)
        release_task(state, now, run)
    _acknowledge_once_recorded(state, worker, number, job)


def _withdraw_blame(state, now, run):
    """Withdraw blame for failures from the workers that the run's step may use.

    That is done if runs fail on most of them: then it is the fault of jobs, and such
    jobs have to use up their attempts.
    """
    job, key = run.job, run.task.key[:2]
    label = run.step.label
    service = state.queues.get(job.spec.queue.name, job.spec.queue).service
    tickets = job.tickets.get(key)
    usable = [
        worker
        for worker in state.workers.values()
        if worker.registered
        and not worker.info.draining
        and worker.info.service == service
        and (not label or label in worker.info.labels)
        and (tickets is None or worker.info.id in tickets.approved)
    ]
    blamed = worker_health.withdraw_blame(usable, now)
    if blamed:
        log("info", "blame_withdrawn", task=run.name, workers=blamed, of=len(usable))


def _handle_end_of_unknown_run(state, worker, number, key):
    """Handle an end that was processed before, or whose run was given up.

    A worker that left the registry and came back lists its ends again. What they
    changed in the job may not be recorded yet.
    """
    job = state.jobs.get(key[0].partition(".")[0])
    if job is not None:
        _acknowledge_once_recorded(state, worker, number, job)


def _acknowledge_once_recorded(state, worker, number, job):
    """Acknowledge an end to the worker only once the job's present state is recorded.

    Otherwise a successor could neither read the end nor see it on the worker, and would
    run the task again. That holds for every end of an unfinished job: the success of a
    gang's member, or the job's outcome, may itself not be recorded yet.
    """
    if job.spec.id not in state.jobs:
        return
    worker.unrecorded_ends[number] = 1
    mark_dirty(state, job, ("end", worker.info.id, worker.info.born, number))


def _task_done(state, now, run):
    job, task = run.job, run.task
    if run.step.long_running:
        release_task(state, now, run)
        return
    if run.acked_at is not None:
        run_s = now - run.acked_at
        name, estimate_s = job.spec.queue.name, run.step.estimate_s
        objectives.observe_run(state.run_times, name, run_s, estimate_s)
    # If one member of a gang succeeds, the whole gang has succeeded.
    tasks = [task]
    if run.step.gang:
        tasks = job.tasks[task.key[:2]]
        job.failed_gang_runs.pop(task.key[:2], None)
    for member in tasks:
        member.state = DONE
        member.run = None
    state.needs_plan = True
    if is_job_done(job):
        log("info", "job_ended", job=job.spec.id, outcome=COMPLETED)
        job.outcome = COMPLETED


def _task_failed(state, now, run):
    job, task, key = run.job, run.task, run.task.key[:2]
    if run.step.gang:
        if job.failed_gang_runs.get(key) == run.attempt:
            # Another member has failed in the same run, which counts once.
            return
        job.failed_gang_runs[key] = run.attempt
        withdraw_crashes(job.tasks[key], run.attempt)
    task.failures += 1
    if run.step.long_running:
        return
    failures = task.failures
    if run.step.gang:
        failures = sum(t.failures for t in job.tasks[key])
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    log(
        "info",
        "attempt_counted",
        task=run.name,
        run=run.attempt,
        failures=failures,
        max_attempts=queue.max_attempts,
    )
    if failures >= queue.max_attempts:
        fail_job(state, now, job, task, "attempts used up")
