"""Applies worker reports, start replies and expired leases to the task table."""

from .capacity import release_allocations, set_preemptible, update_indexes
from .job_writes import mark_dirty
from .jobs import ACTIVE, RUNNING, STARTING, task_ended, task_lost
from .preemption import REPORT_S, signal_task
from .quarantine import is_quarantined, record_failure, record_success
from .quotas import enqueue_job
from .run_times import observe_run
from .task_effects import StartTask
from .task_state import requeue, unassign
from .worker_leases import (
    is_usable,
    lapse_at,
    lease_until_ms,
    suspend_worker,
    update_worker,
)

__all__ = [
    "apply_worker_report",
    "check_lapses",
    "lapse_worker",
    "record_running",
    "send_starts",
    "start_answered",
]

# A job's row records a task as running only after this time. Most short tasks end
# sooner, which saves the write.
RECORD_RUNNING_S = 5.0


def apply_worker_report(state, now, worker, sent_at, body):
    """Apply a report of the current epoch; return the resulting effects.

    ``sent_at`` is when the request was sent that the report answers.
    """
    state.stats["reports"] += 1
    running = {(item["task"], item["attempt"]) for item in body["running"]}
    finished = {(item["task"], item["attempt"]): item for item in body["finished"]}
    effects = []
    if state.loaded:
        _apply_finished(state, now, worker, finished)
        _apply_running(state, now, worker, running)
        _apply_missing(state, worker, sent_at, body, running, finished)
        effects = _stop_unwanted(state, worker, running)
        worker.acks &= finished.keys()
    assigned = state.assigned.get(worker.id, {})
    keep = {task.key for task in assigned.values()}
    free = worker.free
    healthy = not is_quarantined(state.quarantine, worker.id, now)
    update_worker(state.workers, worker, now, sent_at, body, keep, healthy)
    for task in assigned.values():
        set_preemptible(state.workers, worker, task.key, task.job.preemptible)
    if effects:
        # Ask for the next report early, to see whether the signalled tasks have ended.
        worker.renew_at = min(worker.renew_at, now + REPORT_S)
    if worker.free != free:
        state.placement_needed = True
    return effects


def _active_task(state, worker, key):
    """Return the task whose active execution on the worker is ``key``, or None."""
    task = state.assigned.get(worker.id, {}).get(key[0])
    return task if task is not None and task.attempt == key[1] else None


def _apply_finished(state, now, worker, finished):
    for key, item in finished.items():
        if key in worker.acks:
            continue
        task = _active_task(state, worker, key)
        if task is None:
            # The result of a superseded execution is not recorded; acknowledge it.
            if not _needs_record(state.jobs.tasks.get(key[0]), worker, key):
                worker.acks.add(key)
            continue
        _end_execution(state, now, task, worker, item)


def _needs_record(task, worker, key):
    """Return whether a row must hold the result before it may be acknowledged."""
    if task is None:
        return False
    if task.attempt == key[1] and task.state in ACTIVE:
        return True
    ack = (worker.id, key)
    pending_write = task.job.pending_write
    return ack in task.job.acks or (
        pending_write is not None and ack in pending_write.acks
    )


def _end_execution(state, now, task, worker, item):
    was_signalled = task.stopping is not None
    unassign(state, task)
    job = task.job
    total = len(state.workers.by_id)
    counted = not was_signalled
    if item["ok"]:
        observe_run(state.run_times, job.workload, item["run_ms"] / 1000)
        record_success(state.quarantine, now, worker.id, job.id, total)
    elif counted:
        counted = record_failure(state.quarantine, now, worker.id, job.id, total)
        # A job that is not repeatable ends with the failure in any case.
        counted = counted or not job.repeatable
    task_ended(task, bool(item["ok"]), item.get("reason"), counted)
    # The worker drops the result only once it is acknowledged, after the row holds it.
    task.job.acks.append((worker.id, (item["task"], item["attempt"])))
    _record_change(state, task)


def _record_change(state, task):
    job = task.job
    mark_dirty(state, job)
    if job.final is None and job.waiting:
        enqueue_job(state.teams, job)


def _apply_running(state, now, worker, running):
    for key in running:
        task = _active_task(state, worker, key)
        if task is not None and task.confirmed_at is None:
            confirm_running(state, now, task)


def confirm_running(state, now, task):
    """Mark the task as running on its worker."""
    task.state = RUNNING
    task.confirmed_at = now
    if task.started_at is None:
        task.started_at = now
    state.running_records_due.append((now + RECORD_RUNNING_S, task, task.attempt))


def _apply_missing(state, worker, sent_at, body, running, finished):
    for task in list(state.assigned.get(worker.id, {}).values()):
        if task.key in running or task.key in finished:
            continue
        if task.confirmed_at is not None:
            gone = sent_at > task.confirmed_at
        elif task.start_lease_until_ms is None:
            gone = False
        elif task.epoch < state.owner_lease.epoch:
            # The worker has seen the new epoch and refuses the former owner's commands.
            gone = True
        else:
            gone = body["clock_ms"] > task.start_lease_until_ms
        if gone:
            lose_task(state, task, f"worker {worker.id} no longer runs the task")


def lose_task(state, task, reason):
    """Handle the loss of an execution; a task that may be repeated is queued again."""
    unassign(state, task)
    if task.start_lease_until_ms is None:
        task.job.waiting.append(task)
        task.state = "queued"
        task.worker = None
    else:
        task_lost(task, reason)
    _record_change(state, task)


def _stop_unwanted(state, worker, running):
    effects = []
    for key in sorted(running):
        task = _active_task(state, worker, key)
        if task is None:
            effects.append(signal_task(state, worker, key, "stop"))
        elif task.job.final is not None or _must_restart_gang(task.job):
            task.stopping = "stop"
        if task is not None and task.stopping:
            effects.append(signal_task(state, worker, key, task.stopping))
    return effects


def _must_restart_gang(job):
    """Return whether a gang lost a task and must restart as a whole."""
    return job.type == "gang" and bool(job.waiting)


def send_starts(state, now, job, starts):
    """Return start commands for tasks whose state ``starting`` is stored in the row.

    ``starts`` are pairs of task and attempt. Tasks that can no longer start on their
    worker are queued again; a gang starts as a whole or not at all.
    """
    tasks = [
        task
        for task, attempt in starts
        if task.state == STARTING
        and task.attempt == attempt
        and task.start_lease_until_ms is None
    ]
    ready = [
        task
        for task in tasks
        if job.final is None
        and is_usable(state.workers.by_id[task.worker], state.owner_lease.epoch)
    ]
    if job.type == "gang" and len(ready) < len(starts):
        ready = []
    effects = []
    for task in tasks:
        if task not in ready:
            requeue(state, task, release_capacity=True)
            continue
        worker = state.workers.by_id[task.worker]
        task.start_lease_until_ms = lease_until_ms(worker, state.cfg)
        state.stats["starts"] += 1
        body = {
            "epoch": state.owner_lease.epoch,
            "task": task.name,
            "attempt": task.attempt,
            "demand": job.demand._asdict(),
            "lease_until_ms": task.start_lease_until_ms,
            "run": job.run,
        }
        effects.append(StartTask(worker.id, worker.address, body))
    return effects


def start_answered(state, now, worker, key, status):
    """Apply a worker's reply to a start command; ``status`` is the HTTP status."""
    task = _active_task(state, worker, key)
    if task is None or task.state != STARTING or task.start_lease_until_ms is None:
        return
    if status == 200:
        confirm_running(state, now, task)
    elif status in (409, 507):
        # Not started. Place nothing on the worker until its next report shows why.
        requeue(state, task, release_capacity=True)
        worker.accepts = False
        worker.renew_at = now
        update_indexes(state.workers, worker)
    elif 400 <= status < 500:
        unassign(state, task, release_capacity=True)
        task_ended(task, False, f"worker refused the task: {status}", counted=True)
        _record_change(state, task)


def record_running(state, now):
    """Mark jobs for a write whose tasks have run for RECORD_RUNNING_S."""
    while state.running_records_due and state.running_records_due[0][0] <= now:
        _, task, attempt = state.running_records_due.popleft()
        if task.state == RUNNING and task.attempt == attempt:
            mark_dirty(state, task.job)


def check_lapses(state, now):
    """Treat the tasks of workers whose lease has certainly expired as lost."""
    for worker in list(state.workers.by_id.values()):
        if now >= lapse_at(worker, state.owner_lease, state.cfg):
            lapse_worker(state, worker)
            if not worker.member and not worker.allocations:
                del state.workers.by_id[worker.id]
    unknown = [name for name in state.assigned if name not in state.workers.by_id]
    wait = state.cfg["worker_lease_s"] + 2 * state.cfg["worker_renew_s"] + 0.5
    for name in unknown:
        if now >= state.owner_lease.owner_since + wait:
            _lose_worker_tasks(state, name)


def lapse_worker(state, worker):
    """Exclude the worker from placement and treat its tasks as lost."""
    if worker.epoch:
        suspend_worker(state.workers, worker)
        worker.acks = set()
    if state.loaded:
        _lose_worker_tasks(state, worker.id)
    if worker.allocations:
        release_allocations(state.workers, worker, list(worker.allocations))


def _lose_worker_tasks(state, worker_id):
    for task in list(state.assigned.get(worker_id, {}).values()):
        lose_task(state, task, f"the lease of worker {worker_id} expired")
