"""Reads jobs at takeover, the inbox and other owners' usage; writes own usage."""

from .capacity import add_allocation, set_preemptible
from .job_writes import mark_dirty
from .jobs import ACTIVE, CANCELLED, apply_policy, job_from_record, try_finish_job
from .quotas import (
    add_team_usage,
    enqueue_job,
    queue_order,
    set_quotas,
    set_used_elsewhere,
    usage_value,
)
from .run_times import typical_run_s
from .task_effects import ListRows, ReadRow, Txn

__all__ = [
    "cancel_job",
    "inbox_listed",
    "inbox_or_usage_written",
    "job_read",
    "jobs_listed",
    "load_due",
    "policy_changed",
    "usage_due",
    "usage_listed",
]

LOAD_RETRY_S = 0.5
USAGE_INTERVAL_S = 2.0
# Job rows read for one listing of the inbox; the rest is read after a later listing.
MAX_JOB_READS = 64
MAX_DELETES_PER_TXN = 200


def load_due(state, now):
    """Return the reads that are due: all jobs after a takeover, then the inbox."""
    effects = []
    if not state.loaded:
        if not state.loading and now >= state.load_at:
            state.loading = True
            effects.append(ListRows(f"jobs/{state.fd}/"))
        return effects
    if now >= state.inbox_at and not state.inbox_busy:
        state.inbox_busy = True
        state.inbox_at = now + state.cfg["inbox_poll_s"]
        effects.append(ListRows(f"inbox/{state.fd}/"))
    return effects


def jobs_listed(state, now, rows):
    """Add all active jobs; ``rows`` is None when the listing failed."""
    state.loading = False
    if rows is None:
        state.load_at = now + LOAD_RETRY_S
        return
    for row in rows:
        if row.value["id"] not in state.jobs.by_id:
            _add_job(state, now, row)
    state.loaded = True
    state.inbox_at = now
    for worker in state.workers.by_id.values():
        worker.renew_at = now


def _add_job(state, now, row):
    job = job_from_record(state.jobs, row.value, row.version)
    _apply_workload_policy(state, job)
    run_s = typical_run_s(state.run_times, job.workload)
    job.order = queue_order(now, run_s if job.type == "batch" else 0.0)
    for task in job.tasks:
        if task.state in ACTIVE:
            state.assigned.setdefault(task.worker, {})[task.name] = task
            add_team_usage(state.teams, job.team, job.demand, 1)
            worker = state.workers.by_id.get(task.worker)
            if worker is not None:
                add_allocation(state.workers, worker, task.key, job.demand)
    _update_preemptible(state, job)
    if job.waiting:
        enqueue_job(state.teams, job)
    if try_finish_job(job):
        mark_dirty(state, job)
    state.placement_needed = True


def _apply_workload_policy(state, job):
    workload = state.workloads.get(job.workload, {})
    apply_policy(job, workload, state.policies.get(workload.get("policy"), {}))


def _update_preemptible(state, job):
    """Update on workers' allocations whether the job's tasks may be preempted.

    The allocation may be older than the job's policy: a worker may have reported the
    task before the job was listed, or the configuration may be newer than both.
    """
    for task in job.tasks:
        worker = state.workers.by_id.get(task.worker)
        if worker is not None:
            set_preemptible(state.workers, worker, task.key, job.preemptible)


def policy_changed(state):
    """Apply changed quotas, workloads and policies to the jobs in memory."""
    set_quotas(state.teams, state.quotas)
    for job in state.jobs.by_id.values():
        _apply_workload_policy(state, job)
        _update_preemptible(state, job)
        if job.waiting and job.final is None:
            enqueue_job(state.teams, job)
    state.placement_needed = True


def inbox_listed(state, now, rows):
    """Process the listed inbox rows and return the reads and deletions that follow.

    Rows that need no further action are deleted.
    """
    state.inbox_busy = False
    if rows is None:
        return []
    reads = []
    for row in rows:
        _, _, rest = row.key.partition(f"inbox/{state.fd}/")
        job_id, _, op = rest.rpartition("/")
        job = state.jobs.by_id.get(job_id)
        if job is not None:
            _apply_inbox_op(state, job, op, row.key)
        elif job_id in state.recently_done:
            state.inbox_deletes[row.key] = None
        elif job_id not in state.fetching_jobs and len(reads) < MAX_JOB_READS:
            state.fetching_jobs.add(job_id)
            reads.append(ReadRow(f"jobs/{state.fd}/{job_id}"))
        if job_id in state.fetching_jobs:
            # List again soon: rows of a job that is being read are processed then.
            state.inbox_at = min(state.inbox_at, now + 0.1)
    return reads + _delete_inbox_rows(state)


def _apply_inbox_op(state, job, op, key):
    if op != "cancel":
        state.inbox_deletes[key] = None
    elif key not in job.inbox:
        cancel_job(state, job)
        job.inbox.append(key)


def cancel_job(state, job):
    """Mark a job as cancelled in O(1).

    Its queue entries are removed when placement reaches them, and its tasks are stopped
    after the next report of their workers.
    """
    if job.final is None:
        job.final = CANCELLED
        job.reason = "cancelled"
        mark_dirty(state, job)


def job_read(state, now, key, row):
    """Process the read of a job row that an inbox row referred to.

    ``row`` is None when the read failed; a version of 0 means that the row is gone.
    """
    prefix = f"jobs/{state.fd}/"
    if not key.startswith(prefix):
        return
    job_id = key[len(prefix) :]
    state.fetching_jobs.discard(job_id)
    if row is None or job_id in state.jobs.by_id:
        return
    if row.version and job_id not in state.recently_done:
        _add_job(state, now, row)
    elif not row.version:
        state.recently_done[job_id] = None


def _delete_inbox_rows(state):
    if not state.inbox_deletes or state.inbox_txn is not None:
        return []
    keys = list(state.inbox_deletes)[:MAX_DELETES_PER_TXN]
    for key in keys:
        del state.inbox_deletes[key]
    state.inbox_txn = state.new_id()
    owner_lease = state.owner_lease
    return [
        Txn(
            state.inbox_txn,
            [[owner_lease.fence_key, owner_lease.fence_version]],
            [],
            keys,
        )
    ]


def inbox_or_usage_written(state, now, txn_id, result):
    """Process the result of an inbox deletion or a usage write.

    Inbox rows that were not deleted appear in the next listing again.
    """
    if txn_id == state.inbox_txn:
        state.inbox_txn = None
    elif txn_id == state.usage_txn:
        state.usage_txn = None
        if not isinstance(result, dict):
            state.teams.changed = True


def usage_due(state, now):
    """Return the listing of all usage rows and the write of the own one, if due."""
    if now < state.usage_at or not state.loaded or state.usage_busy:
        return []
    state.usage_at = now + USAGE_INTERVAL_S
    state.usage_busy = True
    effects = [ListRows("usage/")]
    if state.teams.changed and state.usage_txn is None:
        state.teams.changed = False
        state.usage_txn = state.new_id()
        owner_lease = state.owner_lease
        put = [f"usage/{state.fd}", usage_value(state.teams)]
        checks = [[owner_lease.fence_key, owner_lease.fence_version]]
        effects.append(Txn(state.usage_txn, checks, [put], []))
    return effects


def usage_listed(state, now, rows):
    """Update other owners' usage; a failed listing keeps the last known values."""
    state.usage_busy = False
    if rows is not None:
        set_used_elsewhere(state.teams, rows, f"usage/{state.fd}")
        state.placement_needed = True
