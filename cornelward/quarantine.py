"""Workers that fail what succeeds elsewhere get no new work for a time that doubles.

A failure is unexplained when the same job succeeded on another worker. Jobs of one
workload differ too much in their inputs to be compared with each other. Until the job
has run elsewhere, a worker that only fails is held back for a short time: it would
otherwise attract more work with each failure that frees its capacity.
"""

from collections import OrderedDict, deque

__all__ = ["Quarantine", "is_quarantined", "record_failure", "record_success"]

# Unexplained failures without a success between them.
FAILURES = 3
FIRST_S = 60.0
LONGEST_S = 3600.0
SUSPECT_S = 5.0
# A fault that shows on more workers than this is not the workers' fault.
MAX_SHARE = 0.25
MAX_JOBS = 4_096


class _Health:
    """Jobs that failed on one worker since its last success."""

    __slots__ = ("failures", "level", "suspect", "until")

    def __init__(self):
        self.failures = deque(maxlen=16)
        self.level = 0
        self.suspect = False
        self.until = 0.0


class Quarantine:
    """Failure history; ``jobs`` maps recent job ids to (succeeded on, failed on)."""

    def __init__(self):
        self.workers = {}
        self.jobs = OrderedDict()


def is_quarantined(quarantine, worker, now):
    """Return whether the worker gets no new work now."""
    health = quarantine.workers.get(worker)
    return health is not None and now < health.until


def record_success(quarantine, now, worker, job_id, total):
    """Take a success, which may show that failures elsewhere are not the job's.

    ``total`` is the number of workers.
    """
    health = quarantine.workers.get(worker)
    if health is not None:
        health.failures.clear()
        if now >= health.until:
            health.level = 0
    succeeded, failed = _job(quarantine, job_id)
    # Two workers are enough to tell whether one of them is not the suspect.
    if worker not in succeeded and len(succeeded) < 2:
        succeeded.append(worker)
        for suspect in sorted(failed):
            _judge(quarantine, now, suspect, total)


def record_failure(quarantine, now, worker, job_id, total):
    """Take a failure; return whether it counts against the job."""
    health = quarantine.workers.setdefault(worker, _Health())
    if now < health.until and not health.suspect:
        return False
    health.failures.append(job_id)
    _job(quarantine, job_id)[1].add(worker)
    return not _judge(quarantine, now, worker, total)


def _job(quarantine, job_id):
    entry = quarantine.jobs.get(job_id)
    if entry is None:
        entry = quarantine.jobs[job_id] = ([], set())
        if len(quarantine.jobs) > MAX_JOBS:
            quarantine.jobs.popitem(last=False)
    return entry


def _judge(quarantine, now, worker, total):
    """Hold the worker back if the jobs don't explain its failures.

    Returns whether it is quarantined, which excuses the job.
    """
    health = quarantine.workers[worker]
    unexplained = suspect = 0
    for job_id in health.failures:
        succeeded, failed = quarantine.jobs.get(job_id, ((), ()))
        unexplained += any(place != worker for place in succeeded)
        suspect += not any(place != worker for place in failed)
    closed = sum(now < other.until for other in quarantine.workers.values())
    closed += now >= health.until
    if max(unexplained, suspect) < FAILURES or closed > max(1, MAX_SHARE * total):
        return False
    health.suspect = unexplained < FAILURES
    if health.suspect:
        health.until = now + SUSPECT_S
        return False
    health.until = now + min(FIRST_S * 2**health.level, LONGEST_S)
    health.level += 1
    health.failures.clear()
    return True
