"""Core: group commit of job records, fenced by the leader's token.

Each partition has at most one transaction in flight; all jobs that change meanwhile go
into the next one. A transaction whose response was lost is sent again unchanged: it
states the expected version of every row that it replaces, so it applies at most once,
however late it arrives.
"""

from typing import NamedTuple

import xxhash

from .dispatch_effects import Commit, RowWrite
from .job_records import ROW_BYTES, encode_outcome, encode_record
from .staged_jobs import state_of_job

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
    "stuck_partitions",
]

# Partitions of the job tables; the store runs 200 transactions per second in each.
PARTITIONS = ("p0", "p1", "p2", "p3")
# The store limits a transaction to 100 entries. An unfinished job takes three entries,
# a finished one up to six.
MAX_ENTRIES = 100
OPEN_ENTRIES, FINAL_ENTRIES = 3, 6
# It also limits a transaction to 1 MB, in which values are encoded in base64.
MAX_BYTES = 500_000
# Delay before a failed transaction is sent again.
RETRY_S = 0.1
# A partition is stuck if its transaction was not applied for this long, though the
# store has written other rows of this leader meanwhile.
STUCK_S = 2.0


class Applied(NamedTuple):
    """The transaction applied; ``version`` is the new version of its rows."""

    version: int


class Rows(NamedTuple):
    """An expected version did not match, so nothing was written.

    ``rows`` maps the (table, key) of each expected row to its current (value, version);
    rows that do not exist may be missing.
    """

    rows: dict


class Refused(NamedTuple):
    """The store refused the call or was not reached; nothing was written."""

    reason: str


class Unknown(NamedTuple):
    """The response was lost; the transaction may have applied or may apply later."""

    reason: str


class Batch(NamedTuple):
    """A transaction in flight, with its jobs and the effects to run once it applies.

    ``states`` are the states of the jobs that it records.
    """

    jobs: list
    states: list
    effects: list
    commit: Commit
    finished_jobs: list


class PartitionWriter:
    """Changed jobs and the transaction in flight of one partition.

    ``fence_version`` is the version of the partition's fence row as this leader wrote
    it; every transaction expects it, so that a former leader cannot write.
    ``row_bytes`` limits the value of a row.
    """

    __slots__ = (
        "batch",
        "dirty",
        "fence_version",
        "part",
        "retry_at",
        "row_bytes",
        "sent_at",
    )

    def __init__(self, part, fence_version, row_bytes=ROW_BYTES):
        self.part = part
        self.row_bytes = row_bytes
        self.fence_version = fence_version
        self.dirty = {}
        self.batch = None
        self.retry_at = None
        # Time of the batch's first attempt.
        self.sent_at = 0.0


def partition_of(job_id):
    """Return the partition that stores a job."""
    return PARTITIONS[xxhash.xxh32_intdigest(job_id.encode()) % len(PARTITIONS)]


def mark_dirty(writer, job):
    """Include the job's current state in the next transaction."""
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
    writer.batch = _make_batch(writer)
    writer.sent_at = now
    return writer.batch.commit


def _take_jobs(writer):
    """Return [(job, value of its row)] of the changed jobs that fit in a transaction.

    The value is that of the job's outcome, or of its record if it has not ended.
    """
    found, entries, size = [], 1, 0
    for job_id, job in list(writer.dirty.items()):
        if is_final(job):
            entries += FINAL_ENTRIES
            value = encode_outcome(job.outcome, job.spec.workspace)
        else:
            entries += OPEN_ENTRIES
            value = encode_record(job, writer.row_bytes)
        size += len(value)
        if found and (entries > MAX_ENTRIES or size > MAX_BYTES):
            break
        del writer.dirty[job_id]
        found.append((job, value))
    return found


def is_final(job):
    """Return whether the job has an outcome and none of its tasks has a run left."""
    if job.outcome is None:
        return False
    return all(t.run is None for tasks in job.tasks.values() for t in tasks)


def _make_batch(writer):
    expected = [("fence", "main", writer.fence_version)]
    jobs, writes, effects, finished_jobs = [], [], [], []
    for job, value in _take_jobs(writer):
        jobs.append(job)
        job_id = job.spec.id
        expected.append(("jobs", job_id, job.version))
        expected.append(("runs", job_id, job.record_version))
        effects += job.after_commit
        job.after_commit = []
        if is_final(job):
            finished_jobs.append(job)
            expected.append(("done", job_id, 0))
            writes.append(RowWrite("done", job_id, value))
            writes.append(RowWrite("jobs", job_id, None))
            if job.record_version:
                writes.append(RowWrite("runs", job_id, None))
        else:
            writes.append(RowWrite("runs", job_id, value))
    states = [state_of_job(job) for job in jobs]
    return Batch(
        jobs, states, effects, Commit(writer.part, expected, writes), finished_jobs
    )


def _is_applied(batch, rows):
    """Return whether the stored rows show that the transaction has applied."""
    for write in batch.commit.writes:
        if write.value is None or write.table not in ("runs", "done"):
            continue
        value, _ = rows.get((write.table, write.key), (None, 0))
        if value != write.value:
            return False
    return True


def stuck_partitions(writers, now, written_at):
    """Return the names of the partitions that are not written though others are.

    ``writers`` maps the names of all partitions to their PartitionWriters.
    ``written_at`` is when the latest of this leader's writes that the store has applied
    was sent.
    """
    return {
        part
        for part, writer in writers.items()
        if writer.batch is not None
        and now - writer.sent_at >= STUCK_S
        and written_at > writer.sent_at
    }


def handle_result(writer, now, result):
    """Handle the response to the batch.

    Returns the Batch if it applied, None if it must be sent again after ``RETRY_S``, or
    False if another leader has changed the rows and so fenced this one off.
    """
    batch = writer.batch
    if isinstance(result, Refused | Unknown):
        writer.retry_at = now + RETRY_S
        return None
    if isinstance(result, Rows):
        _, fence = result.rows.get(("fence", "main"), (None, 0))
        if fence != writer.fence_version or not _is_applied(batch, result.rows):
            return False
        versions = {key: row[1] for key, row in result.rows.items()}
    else:
        versions = {}
    for job in batch.jobs:
        default = result.version if isinstance(result, Applied) else 0
        job.record_version = versions.get(("runs", job.spec.id), default)
    writer.batch = None
    return batch
