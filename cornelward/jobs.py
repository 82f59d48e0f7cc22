"""Jobs and tasks, their states and transitions.

Jobs are queued, starting or running; their final states are succeeded, failed,
cancelled, refused and lost. Tasks have the same states except refused. The record of a
job moves from ``jobs/`` to ``done/`` when the job is complete.
"""

from .capacity import to_resources
from .verdicts import Verdict

__all__ = [
    "ACTIVE",
    "CANCELLED",
    "FAILED",
    "LOST",
    "QUEUED",
    "REFUSED",
    "RUNNING",
    "STARTING",
    "SUCCEEDED",
    "Job",
    "JobTable",
    "Task",
    "apply_policy",
    "job_from_record",
    "job_state",
    "job_to_record",
    "refuse_job",
    "requeue_task",
    "task_ended",
    "task_lost",
    "try_finish_job",
]

QUEUED = "queued"
STARTING = "starting"
RUNNING = "running"
SUCCEEDED = "succeeded"
FAILED = "failed"
CANCELLED = "cancelled"
REFUSED = "refused"
LOST = "lost"

ACTIVE = (STARTING, RUNNING)

DEFAULT_MAX_ATTEMPTS = 3


class Task:
    """One task of a job.

    ``start_lease_until_ms`` is the time on the worker's clock at which the lease in the
    start command ends, None while no command was sent. ``confirmed_at`` is the time at
    which the worker was first known to run the task. ``avoided_workers`` are workers on
    which the task failed. ``stopping`` is the stop action that was ordered, if any.
    """

    __slots__ = (
        "attempt",
        "avoided_workers",
        "confirmed_at",
        "epoch",
        "failures",
        "index",
        "job",
        "name",
        "start_lease_until_ms",
        "started_at",
        "state",
        "stopping",
        "worker",
    )

    def __init__(self, job, index, name):
        self.job = job
        self.index = index
        self.name = name
        self.state = QUEUED
        self.worker = None
        self.attempt = 0
        self.epoch = 0
        self.failures = 0
        self.avoided_workers = ()
        self.start_lease_until_ms = None
        self.confirmed_at = None
        self.started_at = None
        self.stopping = None

    @property
    def key(self):
        """``(name, attempt)``, which identifies an execution of the task."""
        return (self.name, self.attempt)


class Job:
    """One job.

    ``pending_write`` is the write of its record that is in progress. ``final`` is its
    final state, None until that is known; tasks may still be running then.
    ``ended_tasks`` is the number of tasks that have ended, and ``waiting`` the list of
    queued tasks, with the next one to start at its end. ``dirty`` is set while the
    stored record is out of date.
    """

    __slots__ = (
        "acks",
        "demand",
        "dirty",
        "ended_tasks",
        "final",
        "id",
        "inbox",
        "key",
        "max_attempts",
        "order",
        "pending_write",
        "preemptible",
        "priority",
        "queued_at",
        "reason",
        "record",
        "repeatable",
        "run",
        "seq",
        "spread",
        "tasks",
        "team",
        "type",
        "urgent",
        "version",
        "waiting",
        "workload",
    )


class JobTable:
    """Jobs that have not ended, by id, and their tasks, by task name."""

    def __init__(self):
        self.by_id = {}
        self.tasks = {}
        self.seq = 0


def job_from_record(table, record, version):
    """Create a Job from its record, add it to ``table`` and return it.

    ``version`` is the version of the row that holds the record.
    """
    job = Job()
    job.id = record["id"]
    job.key = record.get("key")
    job.workload = record["workload"]
    job.type = record["type"]
    job.team = record["team"]
    job.demand = to_resources(record["demand"])
    job.run = record.get("run") or {}
    job.record = record
    job.version = version
    job.reason = record.get("reason")
    job.final = None
    job.pending_write = None
    job.dirty = False
    job.inbox = []
    job.acks = []
    job.waiting = []
    job.queued_at = None
    job.order = 0.0
    job.ended_tasks = 0
    table.seq += 1
    job.seq = table.seq
    job.tasks = [_task_from(job, i, item) for i, item in enumerate(record["tasks"])]
    for task in job.tasks:
        table.tasks[task.name] = task
        job.ended_tasks += task.state not in (QUEUED, *ACTIVE)
    job.waiting = [task for task in reversed(job.tasks) if task.state == QUEUED]
    apply_policy(job, {}, {})
    table.by_id[job.id] = job
    return job


def _task_from(job, index, item):
    name = str(item.get("task", index))
    if not name.startswith(job.id):
        # A worker runs tasks of many jobs, so task names must be unique over all jobs.
        name = f"{job.id}/{name}"
    task = Task(job, index, name)
    task.state = item.get("state") or QUEUED
    task.worker = item.get("worker")
    task.attempt = item.get("attempt") or 0
    task.epoch = item.get("epoch") or 0
    task.failures = item.get("failures") or 0
    if task.state == RUNNING or task.state == STARTING:
        task.start_lease_until_ms = 0
    return task


def apply_policy(job, workload, policy):
    """Apply the workload and policy objects of the configuration to the job.

    Both are dicts, empty if the object does not exist.
    """
    # The record keeps this field, so that deleting a workload does not make its jobs
    # repeatable. A job whose record does not have the field was never started.
    declared = job.record.get("repeatable", bool(workload))
    job.repeatable = bool(workload.get("repeatable", declared))
    job.priority = policy.get("priority") or 0
    job.urgent = bool(policy.get("urgent"))
    default = job.type == "batch" and not job.urgent
    job.preemptible = bool(policy.get("preemptible", default)) and job.repeatable
    job.max_attempts = policy.get("max_attempts") or DEFAULT_MAX_ATTEMPTS
    job.spread = policy.get("spread", job.type == "service")


def job_state(job):
    """Return the final state of the job, or else the one that its tasks imply."""
    if job.final is not None:
        return job.final
    states = {task.state for task in job.tasks}
    for state in (RUNNING, STARTING):
        if state in states:
            return state
    return QUEUED


def job_to_record(job, nonce):
    """Return the job's record for the table; ``nonce`` identifies this write."""
    state = job_state(job)
    verdict = job.record.get("verdict")
    if state == LOST:
        verdict = str(Verdict.MAY_HAVE_RUN)
    elif state == REFUSED:
        verdict = str(Verdict.NOT_RUN)
    elif state in (SUCCEEDED, FAILED):
        verdict = str(Verdict.RAN)
    elif state == CANCELLED:
        ran = any(task.attempt for task in job.tasks)
        verdict = str(Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN)
    return {
        **job.record,
        "state": state,
        "reason": job.reason,
        "verdict": verdict,
        "nonce": nonce,
        "repeatable": job.repeatable,
        "tasks": [
            {
                "task": task.name,
                "state": task.state,
                "worker": task.worker,
                "attempt": task.attempt,
                "epoch": task.epoch,
                "failures": task.failures,
            }
            for task in job.tasks
        ],
    }


def requeue_task(task):
    """Return an active task to the queue; its next start is a new attempt."""
    task.state = QUEUED
    task.worker = None
    task.start_lease_until_ms = None
    task.confirmed_at = None
    task.started_at = None
    task.stopping = None
    task.job.waiting.append(task)
    task.job.dirty = True


def _end_task(task, state):
    if task.state == QUEUED and task in task.job.waiting:
        task.job.waiting.remove(task)
    task.state = state
    task.job.ended_tasks += 1
    task.job.dirty = True


def task_ended(task, ok, reason, counted):
    """Apply the result of an execution to the task and its job.

    ``counted`` tells whether a failure counts against the job. It is False if the
    failure is attributed to the worker (see ``quarantine``), or the task was preempted
    or stopped on request.
    """
    job = task.job
    if ok:
        _end_task(task, SUCCEEDED)
    elif job.final is not None:
        _end_task(task, CANCELLED)
    elif not counted and job.repeatable:
        requeue_task(task)
    elif not counted:
        # The job is not repeatable: a stopped execution ends it without a result.
        _end_task(task, LOST)
        _set_final(job, LOST, reason or "the task was stopped")
    else:
        task.failures += 1
        task.avoided_workers = (*task.avoided_workers, task.worker)
        if not job.repeatable or task.failures >= job.max_attempts:
            _end_task(task, FAILED)
            _set_final(job, FAILED, reason or "the task failed")
        else:
            requeue_task(task)


def task_lost(task, reason):
    """Handle an execution that is gone without a known result.

    A task of a repeatable job that has no final state is queued again.
    """
    job = task.job
    if job.repeatable and job.final is None:
        requeue_task(task)
        return
    if not job.repeatable:
        _end_task(task, LOST)
        _set_final(job, LOST, reason)
    else:
        _end_task(task, CANCELLED)


def refuse_job(job, reason):
    """Set the final state refused for a job that can never run."""
    _set_final(job, REFUSED, reason)


def _set_final(job, state, reason):
    # The first final state stays, except that LOST replaces CANCELLED: a cancellation
    # must not hide a lost execution.
    if job.final is None or (state == LOST and job.final == CANCELLED):
        job.final = state
        job.reason = reason
    job.dirty = True


def try_finish_job(job):
    """Complete the job if it has a final state and no active task.

    A job without a final state whose tasks have all ended has succeeded. Tasks that are
    still queued are cancelled. Returns whether the job is complete.
    """
    if job.final is None:
        if job.ended_tasks < len(job.tasks):
            return False
        job.final = SUCCEEDED
        job.dirty = True
    if any(task.state in ACTIVE for task in job.tasks):
        return False
    for task in job.tasks:
        if task.state == QUEUED:
            task.state = CANCELLED
    job.ended_tasks = len(job.tasks)
    job.waiting = []
    return True
