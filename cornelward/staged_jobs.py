"""Core: jobs made of steps, and their tasks.

A step starts when the steps listed in its ``after`` are done; all tasks of a step have
the same size. Times are in seconds, processors in thousandths of a core.
"""

import math
from typing import NamedTuple

import msgspec

__all__ = [
    "CANCELLED",
    "COMPLETED",
    "DONE",
    "FAILED",
    "PLACED",
    "QUEUED",
    "RUNNING",
    "WAITING",
    "AdvicePolicy",
    "Job",
    "JobSpec",
    "Queue",
    "StepSpec",
    "Task",
    "critical_path_s",
    "decode_spec",
    "demand_of",
    "encode_spec",
    "job_problem",
    "may_open_occurrence",
    "new_job",
    "spec_problem",
    "state_of_job",
]

# States of a job.
QUEUED, RUNNING, COMPLETED = "queued", "running", "completed"
FAILED, CANCELLED = "failed", "cancelled"
# States of a task.
WAITING, PLACED, DONE = "waiting", "placed", "done"

# Limits on one job; a larger one would not fit in a row of the store.
MAX_STEPS = 200
MAX_TASKS = 2_000
# Limit on the tasks of all occurrences of one job: the leader opens all that are due.
MAX_OCCURRENCE_TASKS = 20_000
# Limit on the open tasks of one job that have not ended: its record must fit in a row.
MAX_OPEN_TASKS = 5_000
# Limits on numbers: larger ones could not be stored, or added up.
MAX_AMOUNT = 2**53
MAX_TIME_S = 1e12


class AdvicePolicy(NamedTuple):
    """Response time of the policy service and validity of its tickets.

    A call takes ``decision_s`` plus ``per_worker_s`` for each worker in it.
    """

    decision_s: float
    per_worker_s: float
    valid_s: float


class Queue(NamedTuple):
    """A configured queue.

    A job's deadline is ``slo_s`` plus ``stretch`` times its critical path after its
    acceptance. Priority 0 is urgent.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_s: float = 0.0
    advice: AdvicePolicy | None = None


class StepSpec(NamedTuple):
    """A step: ``count`` tasks of the same size."""

    count: int
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    # The gang runs slower on more than one rack, so a single rack is preferred.
    one_rack: bool = False
    label: str = ""
    near_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoints: bool = False
    # The processors of its tasks are not counted against a worker's capacity.
    backfill: bool = False


class JobSpec(NamedTuple):
    """A job as the caller submitted it; immutable.

    ``accepted_at`` is on the store's clock, ``first_due_at`` is wall-clock time.
    ``occurrences`` is 0 for a job that runs once and immediately.
    """

    id: str
    queue: Queue
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_at: float = 0.0
    occurrences: int = 0
    first_due_at: float = 0.0
    interval_s: float = 0.0
    # Workspace of the submitter's key; empty on a public queue or without workspaces.
    workspace: str = ""


_spec_encoder = msgspec.msgpack.Encoder()
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)


def encode_spec(spec):
    """Return the row value of ``spec``.

    Without a workspace it is the same as in earlier releases, which read only that.
    """
    return _spec_encoder.encode(spec if spec.workspace else spec[:-1])


def decode_spec(data):
    """Return the JobSpec in a row value, or None if that is invalid or None."""
    try:
        spec = _spec_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, TypeError):
        return None
    return None if job_problem(spec) else spec


def job_problem(spec):
    """Return why a JobSpec is invalid, or None if it is valid."""
    problem = spec_problem(spec.steps, spec.occurrences)
    times = (spec.accepted_at, spec.first_due_at, spec.interval_s)
    if problem is None and not all(abs(time) <= MAX_TIME_S for time in times):
        return "a time or an interval is out of range"
    return problem


def spec_problem(steps, occurrences=0):
    """Return why a job with these steps is invalid, or None if it is valid."""
    if not 0 < len(steps) <= MAX_STEPS:
        return f"a job has 1 to {MAX_STEPS} steps"
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        amounts = (step.cpu, step.memory_mb, step.accelerators)
        if min(amounts) < 0:
            return f"step {number} demands a negative amount of a resource"
        if max(*amounts, abs(step.max_per_worker)) > MAX_AMOUNT:
            return f"step {number} has a number out of range"
        if any(not 0 <= before < number for before in step.after):
            return f"step {number} must come after the steps that it waits for"
    tasks = sum(step.count for step in steps)
    if tasks > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    if occurrences < 0 or occurrences * tasks > MAX_OCCURRENCE_TASKS:
        return f"a job has at most {MAX_OCCURRENCE_TASKS} tasks in all occurrences"
    if not all(0 <= step.estimate_s <= MAX_TIME_S for step in steps):
        return "a step has an estimate that is no time"
    return None


def demand_of(step):
    """Return the demand of one task of ``step``: (cpu, memory, accelerators)."""
    return (0 if step.backfill else step.cpu, step.memory_mb, step.accelerators)


def critical_path_s(steps, first=0):
    """Return the estimated duration of the critical path through the steps.

    Steps before ``first`` count as taking no time.
    """
    ends = []
    for number, step in enumerate(steps):
        before = max((ends[i] for i in step.after), default=0.0)
        ends.append(before + (step.estimate_s if number >= first else 0.0))
    return max(ends)


class Task:
    """One task of one occurrence; ``attempt`` is the number of its latest start."""

    __slots__ = (
        "attempt",
        "checkpoint",
        "confirmed_crashes",
        "crashed_run",
        "crashes",
        "failures",
        "key",
        "ran_s",
        "run",
        "state",
    )

    def __init__(self, key):
        self.key = key
        self.state = WAITING
        self.attempt = 0
        # Failed runs. One of a gang counts for the member whose failed end came first.
        self.failures = 0
        # Workers that crashed under the task, those of them that had confirmed its
        # start, and the longest time that it ran on any.
        self.crashes = self.confirmed_crashes = 0
        # (attempt, 1 if it counts as confirmed) of the latest crash, not recorded.
        self.crashed_run = (0, 0)
        self.ran_s = 0.0
        self.checkpoint = ""
        # The Run while the task is placed, else None.
        self.run = None


class Job:
    """A job and its tasks, as the leader keeps them.

    ``tasks`` maps (occurrence, step) to the list of its Tasks. ``version`` is the
    version of the job's row, ``record_version`` that of its record (0: no record yet).
    """

    __slots__ = (
        "accepted_at",
        "account",
        "after_commit",
        "beyond_rate",
        "cap_problem",
        "counted_as_pending",
        "deadline",
        "dirty",
        "entry",
        "failed_gang_runs",
        "has_crashes",
        "outcome",
        "ready_steps",
        "record_version",
        "recorded_state",
        "run_seen",
        "spec",
        "started",
        "step_lengths",
        "tasks",
        "tickets",
        "trial_workers",
        "version",
        "waits",
    )

    def __init__(self, spec, version, accepted_at):
        self.spec = spec
        self.version = version
        self.record_version = 0
        self.accepted_at = accepted_at
        # By when it should end; see ``objectives``.
        self.deadline = math.inf
        # Of its workspace; None for a job without one.
        self.account = None
        # Whether its workspace had submitted more than its rate; see ``workspaces``.
        self.beyond_rate = False
        # Why it cannot run under the workspace's cap; empty if it can.
        self.cap_problem = ""
        self.tasks = {}
        # FAILED, CANCELLED or COMPLETED once decided; ``recorded_state`` follows when
        # the outcome is recorded.
        self.outcome = None
        self.recorded_state = QUEUED
        # Whether a start was recorded, and whether a worker has reported a run.
        self.started = self.run_seen = False
        self.dirty = False
        # (occurrence, step) -> number and sum of what its runs showed of its length;
        # see ``worker_speeds``.
        self.step_lengths = {}
        # (occurrence, step) of a gang -> attempt of its latest run that has failed.
        self.failed_gang_runs = {}
        # Whether a worker has crashed under one of its tasks, and the workers that the
        # tasks were placed on since.
        self.has_crashes = False
        self.trial_workers = []
        # Address of the node that accepted the job and has its payload, if known.
        self.entry = None
        # Effects to carry out once the current state is recorded.
        self.after_commit = []
        # (occurrence, step) -> Tickets of the policy service.
        self.tickets = {}
        # (occurrence, step) -> Wait of a step with tasks to place; see ``waits``.
        self.waits = {}
        # Maintained by ``queue_index``: the keys of the steps with tasks to place, and
        # whether the job is included in the pending counts.
        self.ready_steps = []
        self.counted_as_pending = False


def new_job(spec, version, accepted_at):
    """Return a new Job; scheduled occurrences are opened when they are due."""
    job = Job(spec, version, accepted_at)
    if not spec.occurrences:
        open_occurrence(job, 0)
    return job


def open_occurrence(job, number):
    """Create the tasks of one occurrence."""
    for step_number, step in enumerate(job.spec.steps):
        key = number, step_number
        if key not in job.tasks:
            job.tasks[key] = [Task((*key, i)) for i in range(step.count)]


def may_open_occurrence(job):
    """Return whether one more occurrence may be opened now.

    Otherwise it is opened when enough tasks of the earlier ones have ended.
    """
    open_tasks = sum(t.state != DONE for tasks in job.tasks.values() for t in tasks)
    added = sum(step.count for step in job.spec.steps)
    return not open_tasks or open_tasks + added <= MAX_OPEN_TASKS


def occurrences_due(job, wall_now):
    """Return how many occurrences are due at a wall-clock time."""
    spec = job.spec
    if not spec.occurrences:
        return 1
    if wall_now < spec.first_due_at:
        return 0
    if spec.interval_s <= 0:
        return spec.occurrences
    # An infinite quotient is no whole number.
    passed = min((wall_now - spec.first_due_at) / spec.interval_s, spec.occurrences)
    return min(int(passed) + 1, spec.occurrences)


def is_step_done(job, key):
    """Return whether all tasks of (occurrence, step) have succeeded."""
    return all(task.state == DONE for task in job.tasks[key])


def is_step_ready(job, key):
    """Return whether the steps that (occurrence, step) waits for are done."""
    occurrence, number = key
    return all(
        is_step_done(job, (occurrence, before))
        for before in job.spec.steps[number].after
    )


def is_job_done(job):
    """Return whether every task of every occurrence has succeeded."""
    expected = max(1, job.spec.occurrences) * len(job.spec.steps)
    return len(job.tasks) == expected and all(is_step_done(job, k) for k in job.tasks)


def state_of_job(job):
    """Return the job's present state, as callers see it once it is recorded."""
    return job.outcome or (RUNNING if job.started else QUEUED)


def task_name(job, task):
    """Return the task's name in requests to workers: id, occurrence, step and index."""
    return ".".join((job.spec.id, *map(str, task.key)))
