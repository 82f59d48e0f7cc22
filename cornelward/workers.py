"""Core: workers, their runs, and when their leases have certainly expired.

A worker kills all its runs when its lease expires on its own clock. The leader knows
that clock only from the worker's responses; ``lease_ends_at`` is a time on the leader's
clock by which the lease has expired, whatever the network delays were.
"""

import math
from typing import NamedTuple

from .staged_jobs import demand_of
from .worker_speeds import Speed
from .workspaces import count_run

__all__ = [
    "ACTIVE",
    "ADOPTED",
    "CLOCK_DRIFT",
    "LEASE_EXPIRY_MARGIN_S",
    "QUICK_CRASH_S",
    "RECORDING",
    "SENT",
    "STOPPING",
    "TRIAL_S",
    "VOID",
    "Run",
    "Worker",
    "WorkerInfo",
    "demand_of",
    "free_capacity",
    "has_recent_start",
    "is_in_trial",
    "is_overcommitted",
    "is_usable",
    "new_worker",
    "outlasted_trial",
    "runs_on_trial",
    "unusable_reason",
    "update_clock",
    "worker_time",
]

# A worker's clock may be slower than ours by this fraction (the platform's bound).
CLOCK_DRIFT = 0.02
# Killing runs at the end of a lease takes time, and a worker that was suspended needs
# time to notice that its lease has expired.
LEASE_EXPIRY_MARGIN_S = 0.4
# A worker may have restarted since its latest answer if that is older. Longer than the
# interval between polls.
FRESH_ANSWER_S = 1.0
# A start is sent no later than this after the worker's latest answer, so that it does
# not reach a later life: a worker that restarts is away for longer.
MAX_START_AGE_S = 1.05

# States of a run.
RECORDING, SENT, ACTIVE = "recording", "sent", "active"
STOPPING, ADOPTED = "stopping", "adopted"
# The run was discarded; its start must not be sent any more.
VOID = "void"


class WorkerInfo(NamedTuple):
    """A worker's registry entry; ``clock_s`` is the time on the worker's own clock.

    ``born`` changes when the worker restarts. Processors are in thousandths of a core.
    """

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
        "address",
        "attempt",
        "awaits_answer",
        "born",
        "checkpoint",
        "deadline_s",
        "job",
        "name",
        "progress",
        "progress_at",
        "rated",
        "sent_at",
        "state",
        "stop_acked_at",
        "stop_sent_at",
        "task",
        "worker",
    )

    def __init__(self, job, task, name, attempt, worker, state, address="", born=0):
        self.job = job
        self.task = task
        self.name = name
        self.attempt = attempt
        self.worker = worker
        self.state = state
        # Of the worker when the run was placed, for a successor.
        self.address = address
        self.born = born
        self.sent_at = self.acked_at = None
        # On the worker's clock: a start that arrives later is refused.
        self.deadline_s = None
        # Whether the start request was sent and its result is not known yet.
        self.awaits_answer = False
        self.stop_sent_at = self.stop_acked_at = None
        self.progress = 0
        self.progress_at = None
        # (time, progress) since which its pace counts; see ``worker_speeds``.
        self.rated = None
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
        "changed",
        "clock_at",
        "clock_s",
        "deadline_s",
        "extra_polls",
        "failed_at",
        "failed_polls",
        "failing_job",
        "failures",
        "former_lease_ends_at",
        "info",
        "is_gone",
        "last_end_acked",
        "last_end_recorded",
        "last_end_seen",
        "last_poll_at",
        "lasting",
        "lease_ends_at",
        "lease_recorded",
        "leaves_at",
        "poll_in_flight",
        "registered",
        "report_wanted_at",
        "restart_seen_at",
        "runs",
        "slowness",
        "speed",
        "trial_runs",
        "unknown_runs",
        "unrecorded_ends",
        "used",
        "waiting_starts",
    )

    def __init__(self, info):
        self.info = info
        # Whether anything that placement depends on may have changed since the last
        # planning pass.
        self.changed = True
        self.registered = True
        # Whether another life of the machine answers at the worker's address.
        self.is_gone = False
        self.runs = {}
        # Runs of a job under which workers have crashed; see ``is_in_trial``.
        self.trial_runs = []
        # Demand of its runs, and the part of it of tasks that last.
        self.used = [0, 0, 0]
        # [(run, ticket)]: recorded starts that are sent once the worker has answered.
        self.waiting_starts = []
        self.lasting = [0, 0, 0]
        # (task name, attempt) of runs that the worker lists but ``runs`` does not have.
        self.unknown_runs = set()
        # While the worker drains: when it may leave, on our clock; else None.
        self.leaves_at = None
        self.clock_s = self.clock_at = None
        self.deadline_s = 0.0
        self.lease_ends_at = 0.0
        # When a lease granted by a former leader has expired for certain, as the worker
        # has refused those since.
        self.former_lease_ends_at = math.inf
        # Whether the end of its lease may be recorded for a successor: it must not be
        # extended then.
        self.lease_recorded = False
        self.answered_at = None
        self.poll_in_flight = False
        # Polls in flight beside that one.
        self.extra_polls = 0
        # Since when a report is wanted that does not wait for an end, or None.
        self.report_wanted_at = None
        self.failed_polls = 0
        self.last_poll_at = 0.0
        # Highest number of an ended run that was: processed, recorded in the store, and
        # acknowledged to the worker.
        self.last_end_seen = self.last_end_recorded = self.last_end_acked = 0
        # Ends that are processed but not recorded yet: number -> open commits.
        self.unrecorded_ends = {}
        # When we learned of the worker's latest restart, if any.
        self.restart_seen_at = 0.0
        # Failed runs since the last success, when the latest failed, and the id of
        # their job; None if they are of several jobs.
        self.failures, self.failed_at = 0, 0.0
        self.failing_job = None
        self.avoid_until = 0.0
        self.avoidance_s = 0.0
        # Ratio of run time to estimate, as an exponential moving average.
        self.slowness = 1.0
        self.speed = Speed()


def has_answered_within(worker, now, seconds):
    """Return whether the latest poll was answered, at most ``seconds`` ago."""
    return (
        worker.answered_at is not None
        and not worker.failed_polls
        and now - worker.answered_at <= seconds
    )


def new_worker(info, now):
    """Return a Worker with the clock of its registry entry."""
    worker = Worker(info)
    worker.clock_s, worker.clock_at = info.clock_s, now
    return worker


def update_clock(worker, now, clock_s):
    """Store the worker's clock from a response that arrived at ``now``."""
    worker.clock_s, worker.clock_at = clock_s, now


def worker_time(worker, now):
    """Return our estimate of the time on the worker's clock, in seconds."""
    return worker.clock_s + (now - worker.clock_at)


def add_run(worker, run):
    """Add ``run``, reserve its capacity and count it for its workspace."""
    worker.runs[run.name, run.attempt] = run
    worker.changed = True
    if run.job.account is not None:
        count_run(run.job.account, run.step, 1)
    _count_demand(worker, run.step, 1)


def remove_run(worker, run):
    """Remove ``run``, release its capacity and its part of the workspace's usage."""
    worker.changed = True
    if worker.runs.pop((run.name, run.attempt), None) is not None:
        if run.job.account is not None:
            count_run(run.job.account, run.step, -1)
        _count_demand(worker, run.step, -1)


def _count_demand(worker, step, sign):
    for i, amount in enumerate(demand_of(step)):
        worker.used[i] += sign * amount
        if step.long_running:
            worker.lasting[i] += sign * amount


def free_capacity(worker):
    """Return the unreserved (cpu, memory, accelerators)."""
    info, used = worker.info, worker.used
    return (
        info.cpu - used[0],
        info.memory_mb - used[1],
        info.accelerators - used[2],
    )


def is_overcommitted(worker):
    """Return whether more is reserved than the worker has, as it may have shrunk."""
    return min(free_capacity(worker)) < 0


def unusable_reason(worker, now):
    """Return why no task may be placed on the worker, or None if tasks may be."""
    if worker.is_gone or not worker.registered:
        return "not registered"
    if worker.info.draining:
        return "draining"
    if worker.failed_polls:
        return "silent"
    if worker.answered_at is None:
        return "not polled yet"
    if worker.unknown_runs:
        return "unknown runs"
    if worker.lease_recorded:
        return "lease recorded"
    if now < worker.avoid_until:
        return "avoided"
    return "in trial" if is_in_trial(worker) else None


def is_usable(worker, now):
    """Return whether new tasks may be placed on the worker."""
    return unusable_reason(worker, now) is None


# A crash is quick if the run was seen on the worker for no longer than this.
QUICK_CRASH_S = 1.0
# A run of a task under which workers have crashed is on trial for this long.
TRIAL_S = QUICK_CRASH_S + 0.2


def is_in_trial(worker):
    """Return whether a run on the worker may still turn out to crash it.

    Nothing else is started there meanwhile: a crash would break it, and would not show
    which task is the cause.
    """
    return bool(runs_on_trial(worker))


def runs_on_trial(worker):
    """Return the runs that may still turn out to crash the worker."""
    return [run for run in worker.trial_runs if _is_on_trial(worker, run)]


def _is_on_trial(worker, run):
    is_there = worker.runs.get((run.name, run.attempt)) is run
    return is_there and not outlasted_trial(worker, run)


def outlasted_trial(worker, run):
    """Return whether the run was seen on its worker for longer than a trial."""
    if run.acked_at is None or worker.answered_at is None:
        return False
    return worker.answered_at >= run.acked_at + TRIAL_S


def has_recent_start(worker):
    """Return whether a run on the worker may yet turn out to crash it quickly."""
    answered_at = worker.answered_at
    return any(
        run.acked_at is None
        or answered_at is None
        or answered_at < run.acked_at + QUICK_CRASH_S
        for run in worker.runs.values()
    )
