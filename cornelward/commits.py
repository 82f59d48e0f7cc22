"""Core: group commit of job records, fenced by the leader's token.

Each partition has one transaction under way; all jobs that change meanwhile go into
the next one. A transaction whose answer was lost is sent again unchanged: it names the
version of every row it replaces, so it applies once, however late.
"""

from typing import NamedTuple

import xxhash

from .dispatch_effects import Commit, RowWrite
from .staged_jobs import encode_record

__all__ = [
    "PARTITIONS",
    "Applied",
    "PartitionWriter",
    "Refused",
    "Rows",
    "Unknown",
    "flush",
    "handle_result",
    "mark_dirty",
    "partition_of",
]

# Partitions of jobs; the store does 200 transactions a second in each.
PARTITIONS = ("p0", "p1", "p2", "p3")
# A transaction has at most 100 entries; a job takes three, one that ends up to six.
MAX_ENTRIES = 100
OPEN_ENTRIES, FINAL_ENTRIES = 3, 6
# Pause before a transaction that failed is sent again, in seconds.
RETRY_S = 0.1


class Applied(NamedTuple):
    """The transaction applied; ``version`` is that of its rows."""

    version: int


class Rows(NamedTuple):
    """A condition did not hold; ``rows`` maps (table, key) to (value, version)."""

    rows: dict


class Refused(NamedTuple):
    """The store did nothing."""

    reason: str


class Unknown(NamedTuple):
    """The answer was lost; the transaction may apply now or later."""

    reason: str


class Batch(NamedTuple):
    """A transaction under way, with the jobs and the effects that wait for it."""

    jobs: list
    effects: list
    commit: Commit
    finished_jobs: list


class PartitionWriter:
    """State of one partition."""

    __slots__ = ("batch", "dirty", "fence_version", "part", "retry_at", "sent_at")

    def __init__(self, part, fence_version):
        self.part = part
        self.fence_version = fence_version
        self.dirty = {}
        self.batch = None
        self.retry_at = None
        # When the batch was sent first.
        self.sent_at = 0.0


def partition_of(job_id):
    """Return the partition of a job."""
    return PARTITIONS[xxhash.xxh32_intdigest(job_id.encode()) % len(PARTITIONS)]


def mark_dirty(writer, job):
    """Put the job's present state into the next transaction."""
    writer.dirty[job.spec.id] = job


def flush(writer, now):
    """Return the next transaction to send, or None."""
    batch = writer.batch
    if batch is not None:
        if writer.retry_at is None or now < writer.retry_at:
            return None
        writer.retry_at = None
        return batch.commit
    if not writer.dirty:
        return None
    writer.batch = _make_batch(writer, _take(writer))
    writer.sent_at = now
    return writer.batch.commit


def _take(writer):
    """Return as many changed jobs as fit in a transaction, beside the fence."""
    jobs, entries = [], 1
    for job_id in list(writer.dirty):
        entries += FINAL_ENTRIES if is_final(writer.dirty[job_id]) else OPEN_ENTRIES
        if entries > MAX_ENTRIES:
            break
        jobs.append(writer.dirty.pop(job_id))
    return jobs


def is_final(job):
    """Return whether the job is over and nothing of it is left on a worker."""
    if job.outcome is None:
        return False
    return all(t.run is None for tasks in job.tasks.values() for t in tasks)


def _make_batch(writer, jobs):
    expected = [("fence", "main", writer.fence_version)]
    writes, effects, finished_jobs = [], [], []
    for job in jobs:
        job_id = job.spec.id
        expected.append(("jobs", job_id, job.version))
        expected.append(("runs", job_id, job.record_version))
        effects += job.after_commit
        job.after_commit = []
        if is_final(job):
            finished_jobs.append(job)
            expected.append(("done", job_id, 0))
            writes.append(RowWrite("done", job_id, job.outcome.encode()))
            writes.append(RowWrite("jobs", job_id, None))
            if job.record_version:
                writes.append(RowWrite("runs", job_id, None))
        else:
            writes.append(RowWrite("runs", job_id, encode_record(job)))
    return Batch(jobs, effects, Commit(writer.part, expected, writes), finished_jobs)


def _holds_our_values(batch, rows):
    """Return whether the present rows show that the transaction has applied."""
    for write in batch.commit.writes:
        if write.value is None or write.table not in ("runs", "done"):
            continue
        value, _ = rows.get((write.table, write.key), (None, 0))
        if value != write.value:
            return False
    return True


def handle_result(writer, now, result):
    """Take in an answer; returns the applied Batch, None, or False if fenced off."""
    batch = writer.batch
    if isinstance(result, Refused | Unknown):
        writer.retry_at = now + RETRY_S
        return None
    if isinstance(result, Rows):
        _, fence = result.rows.get(("fence", "main"), (None, 0))
        if fence != writer.fence_version or not _holds_our_values(batch, result.rows):
            return False
        versions = {key: row[1] for key, row in result.rows.items()}
    else:
        versions = {}
    for job in batch.jobs:
        default = result.version if isinstance(result, Applied) else 0
        job.record_version = versions.get(("runs", job.spec.id), default)
    writer.batch = None
    return batch
