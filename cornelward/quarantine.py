"""Quarantine of workers on which tasks fail that succeed on other workers.

A quarantined worker gets no new work. The duration doubles with each quarantine, and
starts again from the initial one after a success outside a quarantine.

A failure is attributed to the worker when the same job succeeded on another worker.
Only runs of the same job are compared, because the inputs of different jobs of a
workload differ too much. Until the job has run elsewhere, a worker with failures only
is suspected and quarantined for a short time: otherwise each failure would free
capacity and attract more work.
"""

from collections import OrderedDict, deque

__all__ = ["Quarantine", "is_quarantined", "record_failure", "record_success"]

# Number of failures since the last success of a worker that leads to a quarantine.
MIN_FAILURES = 3
INITIAL_QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
SUSPECT_QUARANTINE_S = 5.0
# Largest share of the workers that may be in quarantine; one worker always may. A fault
# that affects more workers than this is not attributed to them.
MAX_SHARE = 0.25
MAX_JOBS = 4_096


class _WorkerHealth:
    """Failures of one worker since its last success, and its quarantine.

    ``level`` is the number of quarantines since the duration was last reset.
    ``suspect`` marks a short quarantine of a worker that is only suspected.
    """

    __slots__ = ("failures", "level", "suspect", "until")

    def __init__(self):
        self.failures = deque(maxlen=16)
        self.level = 0
        self.suspect = False
        self.until = 0.0


class Quarantine:
    """Failure history of workers and recent jobs.

    ``jobs`` maps job ids to (workers where it succeeded, workers where it failed).
    """

    def __init__(self):
        self.workers = {}
        self.jobs = OrderedDict()


def is_quarantined(quarantine, worker, now):
    """Return whether the worker is in quarantine, so that it gets no new work."""
    health = quarantine.workers.get(worker)
    return health is not None and now < health.until


def record_success(quarantine, now, worker, job_id, total):
    """Record a success and reconsider the workers on which the same job failed.

    ``total`` is the number of workers in the failure domain.
    """
    health = quarantine.workers.get(worker)
    if health is not None:
        health.failures.clear()
        if now >= health.until:
            health.level = 0
    succeeded, failed = _job_outcomes(quarantine, job_id)
    # Two workers are enough: at least one of them is not the suspected worker.
    if worker not in succeeded and len(succeeded) < 2:
        succeeded.append(worker)
        for suspect in sorted(failed):
            _evaluate(quarantine, now, suspect, total)


def record_failure(quarantine, now, worker, job_id, total):
    """Record a failure and return whether it counts against the job.

    ``total`` is the number of workers in the failure domain. A failure does not count
    if it leads to a quarantine or happens during one, unless the worker is only
    suspected.
    """
    health = quarantine.workers.setdefault(worker, _WorkerHealth())
    if now < health.until and not health.suspect:
        return False
    health.failures.append(job_id)
    _job_outcomes(quarantine, job_id)[1].add(worker)
    return not _evaluate(quarantine, now, worker, total)


def _job_outcomes(quarantine, job_id):
    entry = quarantine.jobs.get(job_id)
    if entry is None:
        entry = quarantine.jobs[job_id] = ([], set())
        if len(quarantine.jobs) > MAX_JOBS:
            quarantine.jobs.popitem(last=False)
    return entry


def _evaluate(quarantine, now, worker, total):
    """Quarantine the worker if its failures are probably not those of the jobs.

    Returns True if the failures are attributed to the worker, so that they do not
    count against the job; False if there is no quarantine or the worker is only
    suspected.
    """
    health = quarantine.workers[worker]
    attributed = suspect = 0
    for job_id in health.failures:
        succeeded, failed = quarantine.jobs.get(job_id, ((), ()))
        attributed += any(other != worker for other in succeeded)
        suspect += not any(other != worker for other in failed)
    quarantined = sum(now < other.until for other in quarantine.workers.values())
    quarantined += now >= health.until
    if max(attributed, suspect) < MIN_FAILURES or quarantined > max(
        1, MAX_SHARE * total
    ):
        return False
    health.suspect = attributed < MIN_FAILURES
    if health.suspect:
        health.until = now + SUSPECT_QUARANTINE_S
        return False
    health.until = now + min(INITIAL_QUARANTINE_S * 2**health.level, MAX_QUARANTINE_S)
    health.level += 1
    health.failures.clear()
    return True
