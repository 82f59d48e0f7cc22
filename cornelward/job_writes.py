"""Writes of job records, with at most one pending transaction for each job.

A transaction checks the version of the row that it replaces and the fence of this
ownership epoch, and it stores a nonce. If its answer is lost, the row is read back and
its nonce tells whether the transaction was applied. Nothing that depends on the write
happens before that is known.
"""

from typing import NamedTuple

from .jobs import STARTING, job_to_record, try_finish_job
from .ownership import has_authority
from .rows import Conflict
from .task_effects import ReadRow, Txn

__all__ = [
    "JobWrite",
    "flush_jobs",
    "job_key",
    "mark_dirty",
    "readback_done",
    "retry_reads",
]

# Limit of concurrent writes, so that a start waits behind at most this many of them in
# the table's queue.
MAX_PENDING_WRITES = 48
READ_RETRY_S = 0.5


class JobWrite(NamedTuple):
    """A pending write of a job's record.

    ``final`` tells whether it moves the record to ``done/``. ``starts`` are the
    ``(task, attempt)`` that may start once it is applied. ``acks`` are the results,
    ``(worker id, (task name, attempt))``, that the worker may discard after that.
    ``inbox`` are the keys of inbox rows that a final write deletes.
    """

    txn: Txn
    nonce: str
    key: str
    final: bool
    starts: list
    acks: list
    inbox: list


def job_key(state, job_id):
    """Return the key of the row of a job that has not ended."""
    return f"jobs/{state.fd}/{job_id}"


def mark_dirty(state, job, first=False):
    """Queue a write of the job's record; with ``first`` ahead of ordinary writes."""
    job.dirty = True
    if first:
        state.dirty_first[job.id] = None
    else:
        state.dirty[job.id] = None


def flush_jobs(state, now):
    """Return transactions for jobs whose stored records are out of date.

    Returns none without authority over the failure domain. A job with a pending write
    stays queued.
    """
    effects = []
    if not has_authority(state.owner_lease, now):
        return effects
    for queue in (state.dirty_first, state.dirty):
        for job_id in list(queue):
            if len(state.writes) >= MAX_PENDING_WRITES:
                return effects
            job = state.jobs.by_id.get(job_id)
            if job is not None and job.pending_write is not None:
                continue
            del queue[job_id]
            if job is not None and job.dirty:
                effects.append(_start_write(state, now, job))
    return effects


def _start_write(state, now, job):
    final = try_finish_job(job)
    txn_id = state.new_id()
    nonce = f"{state.owner_lease.prefix}{txn_id}"
    key = f"done/{state.fd}/{job.id}" if final else job_key(state, job.id)
    checks = [
        [job_key(state, job.id), job.version],
        [state.owner_lease.fence_key, state.owner_lease.fence_version],
    ]
    deletes = [job_key(state, job.id), *job.inbox] if final else []
    txn = Txn(txn_id, checks, [[key, job_to_record(job, nonce)]], deletes)
    starts = [
        (task, task.attempt)
        for task in job.tasks
        if task.state == STARTING and task.start_lease_until_ms is None
    ]
    job.pending_write = JobWrite(txn, nonce, key, final, starts, job.acks, job.inbox)
    job.acks = []
    job.dirty = False
    state.writes[txn_id] = job
    return txn


def write_done(state, now, job, result):
    """Process the result of a job's pending write; return ``(applied, effects)``.

    After a conflict, or if the result is unknown (None), the effects read the row back.
    """
    pending_write = job.pending_write
    state.writes.pop(pending_write.txn.txn_id, None)
    if result is None or isinstance(result, Conflict):
        state.readbacks[pending_write.key] = (job, isinstance(result, Conflict))
        return False, [ReadRow(pending_write.key)]
    job.version = result.get(pending_write.key, 0)
    return True, []


def readback_done(state, now, key, row):
    """Process a row that was read back; return ``(job, applied, effects)``.

    ``row`` is None if the read failed; it is then repeated after ``READ_RETRY_S``.
    ``applied`` is None if another process has changed the row or the fence.
    """
    job, conflict = state.readbacks[key]
    pending_write = job.pending_write
    if row is None:
        state.read_retries[key] = now + READ_RETRY_S
        return job, False, []
    del state.readbacks[key]
    if row.version and row.value.get("nonce") == pending_write.nonce:
        job.version = row.version
        return job, True, []
    if conflict:
        # Another process changed the row or the fence, so that the state in memory is
        # not valid.
        return job, None, []
    state.writes[pending_write.txn.txn_id] = job
    # Repeat the same transaction: because it checks the row's version, at most one of
    # the two copies can be applied.
    return job, False, [pending_write.txn]


def retry_reads(state, now):
    """Return the reads to repeat now because they failed before."""
    due = [key for key, at in state.read_retries.items() if now >= at]
    for key in due:
        del state.read_retries[key]
    return [ReadRow(key) for key in due]
