"""Core: what the delay of a waiting job costs its caller, and the order that follows.

Every waiting job has one of three tiers: it can still end on time; it is late, but its
caller still has a use for it; or its last useful moment can't be met any more. A job
counts as late once it can no longer be on time, which is before its deadline passes.
"""

import heapq
import math
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from .objectives import expected_run_s
from .staged_jobs import critical_path_s, is_step_done

__all__ = [
    "EXPIRED",
    "LATE",
    "ON_TIME",
    "TIERS",
    "USEFUL_FACTOR",
    "Standing",
    "TieredJobs",
    "assess",
    "count_by_tier",
    "remaining_s",
    "tier_at",
    "useful_until",
    "work_left",
]

ON_TIME, LATE, EXPIRED = range(3)
TIERS = ("on time", "late", "expired")
# Callers have a use for a result until this many times its objective.
USEFUL_FACTOR = 3.0
# A job with e times the work of another is placed as if it were due this share of its
# objective later.
WORK_WEIGHT = 0.1


class Standing(NamedTuple):
    """Where a waiting job stands, in seconds on the leader's clock.

    ``latest_start`` is the last moment from which it can end on time, ``last_start``
    that from which it can end usefully; ``orders`` has a sort key for each tier.
    """

    latest_start: float
    last_start: float
    orders: tuple


def useful_until(job):
    """Return the job's last useful moment."""
    return job.accepted_at + USEFUL_FACTOR * (job.deadline - job.accepted_at)


def _steps_left(job, run_times):
    """Return the job's steps with expected run times, 0 for those that are done."""
    name = job.spec.queue.name
    occurrence = max((key[0] for key in job.tasks), default=0)
    steps = []
    for number, step in enumerate(job.spec.steps):
        run_s = 0.0
        if not is_step_done(job, (occurrence, number)):
            run_s = expected_run_s(run_times, name, step.estimate_s)
        steps.append(step._replace(estimate_s=run_s))
    return steps


def remaining_s(job, run_times, first=0):
    """Return the expected duration of the steps left, from step ``first`` on."""
    return critical_path_s(_steps_left(job, run_times), first)


def work_left(steps):
    """Return the work of steps in core-seconds, at least that of one task of 1 s."""
    return max(1.0, sum(s.count * s.cpu * s.estimate_s / 1000 for s in steps))


def assess(job, run_times):
    """Return the job's Standing.

    Jobs that last are owed another run whenever one ends and have no latest start;
    scheduled ones keep their deadline.
    """
    spec = job.spec
    if any(step.long_running for step in spec.steps):
        return Standing(math.inf, math.inf, (job.deadline,) * 3)
    if spec.occurrences:
        return Standing(job.deadline, math.inf, (job.deadline,) * 3)
    steps = _steps_left(job, run_times)
    left_s = critical_path_s(steps)
    latest_start = job.deadline - left_s
    last_start = useful_until(job) - left_s
    work = work_left(steps)
    bias_s = WORK_WEIGHT * (job.deadline - job.accepted_at) * math.log(work)
    orders = (latest_start + bias_s, last_start + bias_s, job.accepted_at)
    return Standing(latest_start, last_start, orders)


def tier_at(standing, now):
    """Return the tier of a job at a time."""
    if now <= standing.latest_start:
        return ON_TIME
    return LATE if now <= standing.last_start else EXPIRED


class TieredJobs:
    """Waiting jobs of a queue by tier, each tier in its order.

    Jobs change their tier in ``advance``, so that a pass costs what has changed.
    """

    def __init__(self):
        self.tiers = [
            SortedKeyList(key=lambda item, t=tier: (item[0].orders[t], item[1]))
            for tier in range(len(TIERS))
        ]
        # Job id -> (tier, Standing, job).
        self.entries = {}
        # Heap of (end of the tier, job id).
        self.changes = []

    def __len__(self):
        return len(self.entries)

    def add(self, job, standing, tier=ON_TIME):
        """Add a job; ``advance`` puts it into its present tier."""
        job_id = job.spec.id
        self.entries[job_id] = tier, standing, job
        self.tiers[tier].add((standing, job_id))
        ends = (standing.latest_start, standing.last_start, math.inf)
        if ends[tier] < math.inf:
            heapq.heappush(self.changes, (ends[tier], job_id))

    def remove(self, job):
        """Remove a job."""
        tier, standing, _ = self.entries.pop(job.spec.id)
        self.tiers[tier].remove((standing, job.spec.id))

    def advance(self, now):
        """Move the jobs whose tier has changed."""
        while self.changes and self.changes[0][0] < now:
            _, job_id = heapq.heappop(self.changes)
            if job_id not in self.entries:
                continue
            tier, standing, job = self.entries[job_id]
            present = tier_at(standing, now)
            if present != tier:
                self.remove(job)
                self.add(job, standing, present)

    def stream(self, tier, priority, closed, key):
        """Yield (sort key, job) of a tier until ``key`` is in ``closed``."""
        is_expired = tier == EXPIRED
        for standing, job_id in self.tiers[tier]:
            if key in closed:
                return
            order = is_expired, priority != 0, tier, priority, standing.orders[tier]
            yield order, self.entries[job_id][2]


def count_by_tier(queues):
    """Return {tier name: number of waiting jobs} of {queue key: TieredJobs}."""
    counts = dict.fromkeys(TIERS, 0)
    for jobs in queues.values():
        for tier, name in enumerate(TIERS):
            counts[name] += len(jobs.tiers[tier])
    return counts
