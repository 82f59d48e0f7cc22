"""State of the task core, and assignment of tasks to workers."""

import itertools
from collections import OrderedDict, deque

from .capacity import WorkerTable, add_allocation, release_allocations
from .job_writes import mark_dirty
from .jobs import JobTable, requeue_task
from .ownership import OwnerLease
from .quarantine import Quarantine
from .quotas import TeamTable, add_team_usage, enqueue_job
from .run_times import RunTimes

__all__ = ["SchedulerState", "assign", "requeue", "unassign"]


class SchedulerState:
    """State of one scheduler process.

    All of it is in memory and can be rebuilt from the table and the workers' reports.
    """

    def __init__(self, cfg, identity, rng):
        self.cfg = cfg
        self.identity = identity
        self.fd = identity.failure_domain
        self.rng = rng
        self.owner_lease = OwnerLease(cfg, identity)
        self.workers = WorkerTable()
        self.config_version = 0
        self.run_times = RunTimes()
        self.quarantine = Quarantine()
        self.workloads = {}
        self.policies = {}
        self.quotas = {}
        self.ids = itertools.count(1)
        self.leaving = False
        self.left = False
        self.stats = {"decisions": 0, "starts": 0, "reports": 0, "preemptions": 0}
        reset_epoch_state(self)

    def new_id(self):
        return next(self.ids)


def reset_epoch_state(state):
    """Reset everything that is valid for one ownership epoch only."""
    state.jobs = JobTable()
    state.teams = TeamTable()
    state.assigned = {}
    state.writes = {}
    state.unsent_starts = []
    state.reservation = None
    state.holds = {}
    state.gang_retry_at = {}
    state.running_records_due = deque()
    state.readbacks = {}
    state.read_retries = {}
    state.dirty = {}
    state.dirty_first = {}
    state.loaded = False
    state.loading = False
    state.load_at = 0.0
    state.inbox_at = 0.0
    state.inbox_busy = False
    state.inbox_txn = None
    state.inbox_deletes = {}
    state.fetching_jobs = set()
    state.recently_done = OrderedDict()
    state.usage_at = 0.0
    state.usage_txn = None
    state.usage_busy = False
    state.placement_needed = True
    state.next_placement_at = 0.0
    state.epoch_seen = 0


def assign(state, task, worker, now):
    """Allocate capacity and quota to a new attempt of a task and queue its record.

    The task is starting from now on; the start is sent after the record is written.
    """
    job = task.job
    task.state = "starting"
    task.worker = worker.id
    task.attempt += 1
    task.epoch = state.owner_lease.epoch
    task.start_lease_until_ms = None
    task.confirmed_at = None
    task.started_at = now
    task.stopping = None
    state.assigned.setdefault(worker.id, {})[task.name] = task
    add_allocation(state.workers, worker, task.key, job.demand, job.preemptible)
    add_team_usage(state.teams, job.team, job.demand, 1)
    mark_dirty(state, job, first=True)


def unassign(state, task, release_capacity=False):
    """Release the quota of an active task, and its capacity with ``release_capacity``.

    Without it the task may still run, and its capacity is released when the worker's
    report shows that it does not.
    """
    tasks = state.assigned.get(task.worker, {})
    tasks.pop(task.name, None)
    if not tasks:
        state.assigned.pop(task.worker, None)
    add_team_usage(state.teams, task.job.team, task.job.demand, -1)
    worker = state.workers.by_id.get(task.worker)
    if release_capacity and worker is not None:
        release_allocations(state.workers, worker, [task.key])
    mark_dirty(state, task.job)
    state.placement_needed = True


def requeue(state, task, release_capacity=False):
    """Return an active task to the queue; see ``unassign`` for ``release_capacity``."""
    unassign(state, task, release_capacity)
    requeue_task(task)
    if task.job.final is None:
        enqueue_job(state.teams, task.job)
