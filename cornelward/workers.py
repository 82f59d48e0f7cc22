"""Core: workers, what runs on them, and when their leases have certainly run out.

A worker kills everything when its lease runs out on its own clock. The leader knows
that clock from answers only; ``lease_ends_at`` is a time on the leader's clock by which
the lease has run out whatever the delays were.
"""

from typing import NamedTuple

__all__ = [
    "ACTIVE",
    "ADOPTED",
    "CLOCK_DRIFT",
    "LEASE_EXPIRY_MARGIN_S",
    "RECORDING",
    "SENT",
    "STOPPING",
    "Run",
    "Worker",
    "WorkerInfo",
    "free_capacity",
    "is_on_probation",
    "is_usable",
    "new_worker",
    "update_clock",
    "worker_time",
]

# A worker's clock may be this much slower than ours (a bound of the platform).
CLOCK_DRIFT = 0.02
# Kills at the end of a lease are not instant, and a frozen worker needs time to see it.
LEASE_EXPIRY_MARGIN_S = 0.4
# Without an answer for this long a worker gets no new task.
CONTACT_S = 2.5

# States of a run.
RECORDING, SENT, ACTIVE = "recording", "sent", "active"
STOPPING, ADOPTED = "stopping", "adopted"


class WorkerInfo(NamedTuple):
    """What a worker says of itself in the registry; ``clock_s`` is its own clock."""

    id: str
    service: str
    address: str
    failure_domain: str
    rack: str
    labels: tuple
    cpu: int
    memory_mb: int
    accelerators: int
    draining: bool
    leaves_in_s: float
    born: int
    clock_s: float


class Run:
    """One attempt of a task on a worker."""

    __slots__ = (
        "acked_at",
        "attempt",
        "checkpoint",
        "job",
        "name",
        "progress",
        "progress_at",
        "sent_at",
        "state",
        "stop_acked_at",
        "stop_sent_at",
        "task",
        "worker",
    )

    def __init__(self, job, task, name, attempt, worker, state):
        self.job = job
        self.task = task
        self.name = name
        self.attempt = attempt
        self.worker = worker
        self.state = state
        self.sent_at = self.acked_at = None
        self.stop_sent_at = self.stop_acked_at = None
        self.progress = 0
        self.progress_at = None
        self.checkpoint = ""

    @property
    def step(self):
        """Return the StepSpec of the run's task."""
        return self.job.spec.steps[self.task.key[1]]


class Worker:
    """A worker as the leader sees it; ``runs`` maps (task name, attempt) to a Run."""

    __slots__ = (
        "answered_at",
        "avoid_until",
        "avoidance_s",
        "clock_at",
        "clock_s",
        "deadline_s",
        "failed_polls",
        "failures",
        "info",
        "last_end_acked",
        "last_end_recorded",
        "last_end_seen",
        "last_poll_at",
        "lease_ends_at",
        "leaves_at",
        "poll_in_flight",
        "registered",
        "runs",
        "slowness",
        "unknown_runs",
        "unrecorded_ends",
        "used",
    )

    def __init__(self, info):
        self.info = info
        self.registered = True
        self.runs = {}
        self.used = [0, 0, 0]
        # Runs that the worker lists and nobody here started.
        self.unknown_runs = set()
        # While it drains: when it may leave, on our clock.
        self.leaves_at = None
        self.clock_s = self.clock_at = None
        self.deadline_s = 0.0
        self.lease_ends_at = 0.0
        self.answered_at = None
        self.poll_in_flight = False
        self.failed_polls = 0
        self.last_poll_at = 0.0
        # Numbers of ends: taken in, recorded, and told to the worker.
        self.last_end_seen = self.last_end_recorded = self.last_end_acked = 0
        # Ends taken in whose record is not written yet: number -> open commits.
        self.unrecorded_ends = {}
        self.failures = 0
        self.avoid_until = 0.0
        self.avoidance_s = 0.0
        # Observed run time over estimate, decayed.
        self.slowness = 1.0


def new_worker(info, now, unknown_lease_s=0.0):
    """Return a Worker; a former leader's lease may hold for ``unknown_lease_s``."""
    worker = Worker(info)
    worker.clock_s, worker.clock_at = info.clock_s, now
    worker.lease_ends_at = now + unknown_lease_s
    return worker


def update_clock(worker, now, clock_s):
    """Take in a clock value from an answer that arrived at ``now``."""
    worker.clock_s, worker.clock_at = clock_s, now


def worker_time(worker, now):
    """Return our estimate of the worker's clock, in seconds."""
    return worker.clock_s + (now - worker.clock_at)


def extend_lease(worker, now, lease_s):
    """Return the deadline on the worker's clock for an order sent at ``now``."""
    deadline = max(worker.deadline_s, worker_time(worker, now) + lease_s)
    worker.deadline_s = deadline
    ends_at = worker.clock_at + (deadline - worker.clock_s) / (1 - CLOCK_DRIFT)
    worker.lease_ends_at = max(worker.lease_ends_at, ends_at + LEASE_EXPIRY_MARGIN_S)
    return deadline


def bound_lease(worker, now, lease_s):
    """Take in that no lease on the worker is longer than ``lease_s`` from ``now``."""
    ends_at = now + lease_s / (1 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
    worker.lease_ends_at = min(worker.lease_ends_at, ends_at)


def demand_of(step):
    """Return the room that a task of ``step`` takes: cpu, memory, accelerators."""
    return (0 if step.backfill else step.cpu, step.memory_mb, step.accelerators)


def add_run(worker, run):
    """Reserve the room of ``run``."""
    worker.runs[run.name, run.attempt] = run
    for i, amount in enumerate(demand_of(run.step)):
        worker.used[i] += amount


def remove_run(worker, run):
    """Give back the room of ``run``."""
    if worker.runs.pop((run.name, run.attempt), None) is not None:
        for i, amount in enumerate(demand_of(run.step)):
            worker.used[i] -= amount


def free_capacity(worker):
    """Return (cpu, memory, accelerators) that are not reserved."""
    info, used = worker.info, worker.used
    return (
        info.cpu - used[0],
        info.memory_mb - used[1],
        info.accelerators - used[2],
    )


def is_usable(worker, now):
    """Return whether new tasks may be placed on the worker."""
    return (
        worker.registered
        and not worker.info.draining
        and not worker.unknown_runs
        and worker.failed_polls == 0
        and worker.answered_at is not None
        and now >= worker.avoid_until
    )


# Avoidance of a worker that fails or rejects what it gets doubles from the first value
# to the last one.
AVOID_MIN_S = 1.0
AVOID_MAX_S = 20.0
# Failures in a row that a worker may have before it is avoided; single failures belong
# to the tasks.
FAILURES_TO_AVOID = 3


def is_on_probation(worker):
    """Return whether the worker failed too often and has not succeeded since."""
    return worker.failures >= FAILURES_TO_AVOID


def avoid(worker, now):
    """Place nothing on the worker for a time that doubles."""
    worker.avoidance_s = min(AVOID_MAX_S, max(AVOID_MIN_S, worker.avoidance_s * 2))
    worker.avoid_until = now + worker.avoidance_s


# Weight of the last run in what is known of a worker's pace.
PACE_WEIGHT = 0.3
# Estimates are rough: one run tells at most this much.
PACE_MAX = 8.0


def update_health(worker, now, how, run):
    """Learn from an end whether the worker fails or slows down what it runs."""
    if how == "done":
        worker.failures = 0
        worker.avoidance_s = 0.0
        _note_pace(worker, now, run)
    elif how == "failed":
        worker.failures += 1
        if is_on_probation(worker):
            avoid(worker, now)


def _note_pace(worker, now, run):
    """Learn a worker's pace: run time over estimate, of tasks outside gangs."""
    step = run.step
    if step.gang or run.acked_at is None or step.estimate_s <= 0:
        return
    pace = min(PACE_MAX, (now - run.acked_at) / step.estimate_s)
    worker.slowness += PACE_WEIGHT * (pace - worker.slowness)
