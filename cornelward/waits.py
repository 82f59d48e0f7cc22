"""Core: why tasks that are ready to start are not started.

Each planning pass notes the reason for the steps of which it leaves tasks waiting. A
reason is logged when it has held for a while or has changed, with what keeps the tasks
from each worker. The number of lines is limited, as thousands of steps may wait.
"""

from collections import Counter

from . import planning, workers
from .log import get_logger
from .staged_jobs import task_name

__all__ = [
    "ADVICE",
    "ADVICE_NODE",
    "APPROVED_ROOM",
    "GANG_ROOM",
    "NO_ROOM",
    "PACED",
    "RECORD",
    "TRIAL",
    "TRIAL_LIMIT",
    "WORKSPACE",
    "WaitLog",
    "clear",
    "is_overdue",
    "longest_wait_s",
    "note",
    "note_closed_queue",
    "waiting_steps",
]

log = get_logger("waits")

# Reasons why tasks of a ready step are not placed.
ADVICE = "advice"
ADVICE_NODE = "a node that asks for advice"
APPROVED_ROOM = "room on approved workers"
GANG_ROOM = "room for all members of the gang"
NO_ROOM = "room on a worker"
PACED = "more urgent work"
RECORD = "the partition of its record"
TRIAL = "a trial of its job"
TRIAL_LIMIT = "the end of other trials"
WORKSPACE = "room of its workspace"

# A step of which nothing runs is overdue when it has waited for this long; operators
# allow 3 s while there is room.
OVERDUE_S = 2.0
# A step that has waited for less is not logged, unless its tasks are long-running.
LOGGED_AFTER_S = 1.0
# Limit on the lines in one second.
MAX_LINES_PER_S = 10
# A queue of which a pass skips jobs is logged at most this often.
CLOSED_QUEUE_INTERVAL_S = 5.0


class Wait:
    """Since when a step has had tasks to place, and why they are not placed."""

    __slots__ = ("logged_why", "since", "why")

    def __init__(self, since):
        self.since = since
        self.why = self.logged_why = None


class WaitLog:
    """Limits the log lines about waiting steps; ``omitted`` counts those left out."""

    def __init__(self, now):
        self.second = now
        self.lines = self.omitted = 0
        # Queue name and workspace -> when it was last logged as closed.
        self.closed_at = {}


def note(state, now, job, key, tasks, why):
    """Note that a pass left ``tasks`` of a ready step waiting for ``why``."""
    wait = job.waits.get(key)
    if wait is None:
        wait = job.waits[key] = Wait(now)
    wait.why = why
    if why == wait.logged_why:
        return
    step = job.spec.steps[key[1]]
    if now - wait.since < LOGGED_AFTER_S and not step.long_running:
        return
    if not _take_line(state.wait_log, now):
        return
    wait.logged_why = why
    log(
        "info",
        "tasks_wait",
        task=task_name(job, tasks[0]),
        count=len(tasks),
        why=why,
        waited_s=round(now - wait.since, 2),
        workers=explain_workers(state, now, job, key),
    )


def clear(job, key):
    """Note that a pass placed all tasks of a step."""
    job.waits.pop(key, None)


def is_overdue(job, key, now):
    """Return whether a step with no runs has waited for long."""
    wait = job.waits.get(key)
    if wait is None or now - wait.since < OVERDUE_S:
        return False
    return all(task.run is None for task in job.tasks[key])


def _take_line(wait_log, now):
    """Return whether one more line may be written now."""
    if now - wait_log.second >= 1.0:
        if wait_log.omitted:
            log("info", "waits_omitted", lines=wait_log.omitted)
        wait_log.second, wait_log.lines, wait_log.omitted = now, 0, 0
    if wait_log.lines >= MAX_LINES_PER_S:
        wait_log.omitted += 1
        return False
    wait_log.lines += 1
    return True


def explain_workers(state, now, job, key):
    """Return {reason: number of workers} that keep a task of the step from them.

    ``free`` are those that the task could be placed on.
    """
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    tickets = job.tickets.get(key)
    approved = tickets.ticket_by_worker if tickets is not None else {}
    counts = Counter()
    for worker in state.workers.values():
        if worker.info.service != queue.service and worker.registered:
            continue
        reason = workers.unusable_reason(worker, now)
        if reason is None:
            reason = planning.unfit_reason(state.capacity, worker, job, key)
        if reason is None and queue.advice is not None:
            _, until = approved.get(worker.info.id, ("", 0.0))
            reason = None if until > now else "no ticket"
        counts[reason or "free"] += 1
    return dict(counts)


def note_closed_queue(state, now, name, workspace, examined):
    """Log that the rest of a queue was skipped after ``examined`` jobs in vain."""
    closed_at = state.wait_log.closed_at
    before = closed_at.get((name, workspace))
    if before is not None and now - before < CLOSED_QUEUE_INTERVAL_S:
        return
    closed_at[name, workspace] = now
    log("info", "queue_closed", queue=name, workspace=workspace, examined=examined)


def waiting_steps(job, now):
    """Return [(step key, seconds, reason)] of the steps that wait for a start."""
    return [
        (key, now - wait.since, wait.why)
        for key, wait in job.waits.items()
        if key in job.ready_steps
    ]


def longest_wait_s(jobs, now):
    """Return for how long the step that waits longest has waited; 0.0 if none does."""
    return max(
        (waited_s for job in jobs for _, waited_s, _ in waiting_steps(job, now)),
        default=0.0,
    )
