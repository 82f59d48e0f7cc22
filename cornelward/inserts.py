"""Core: group commit of accepted jobs by the leader.

A partition does one transaction after another. On a slow store, inserts that every node
sends by itself fill its queue within a second and all of them fail; one transaction
with all jobs that wait takes as long as one with a single job.
"""

from typing import NamedTuple

from .commits import PARTITIONS, Applied, Refused, Rows, partition_of
from .dispatch_effects import RowWrite

__all__ = [
    "ACCEPTED",
    "REFUSED",
    "UNKNOWN",
    "Insert",
    "Inserts",
    "add",
    "flush",
    "handle_result",
]

# Outcomes of an insert; after UNKNOWN the job may be stored now or later.
ACCEPTED, REFUSED, UNKNOWN = "accepted", "refused", "unknown"
# A transaction has at most 100 entries and 1 MB; a job takes three entries.
MAX_JOBS = 30
MAX_BYTES = 300_000


class Insert(NamedTuple):
    """A job to be stored; ``on_outcome(outcome, version)`` is called once.

    ``version`` is that of the row if this insert wrote it, otherwise None.
    """

    job_id: str
    value: bytes
    deadline: float
    on_outcome: object


class PartitionInserts:
    """Inserts of one partition; ``uncertain`` once a try of the batch may apply."""

    __slots__ = ("batch", "uncertain", "waiting")

    def __init__(self):
        self.waiting = []
        self.batch = []
        self.uncertain = False


class Inserts:
    """Inserts of all partitions."""

    def __init__(self):
        self.partitions = {part: PartitionInserts() for part in PARTITIONS}


def add(inserts, insert):
    """Queue an insert."""
    inserts.partitions[partition_of(insert.job_id)].waiting.append(insert)


def flush(inserts):
    """Return [(part, expected, writes)] to send now."""
    due = []
    for part, state in inserts.partitions.items():
        if state.batch or not state.waiting:
            continue
        state.batch = _take(state.waiting)
        state.uncertain = False
        due.append((part, *batch_entries(state.batch)))
    return due


def _take(waiting):
    batch, size = [], 0
    while waiting and len(batch) < MAX_JOBS and size < MAX_BYTES:
        insert = waiting.pop(0)
        size += len(insert.value)
        batch.append(insert)
    return batch


def batch_entries(batch):
    """Return (expected, writes) of a batch: no job may be there already."""
    expected, writes = [], []
    for insert in {insert.job_id: insert for insert in batch}.values():
        expected += [("jobs", insert.job_id, 0), ("done", insert.job_id, 0)]
        writes.append(RowWrite("jobs", insert.job_id, insert.value))
    return expected, writes


def handle_result(inserts, now, part, result, store_refusing=False):
    """Take in the answer to a batch; returns True if it must be sent again.

    ``turned_away`` tells that the store refuses all calls of this node, so that another
    one may try; a partition that is only busy is asked again.
    """
    state = inserts.partitions[part]
    if isinstance(result, Applied):
        _close(state, state.batch, ACCEPTED, result.version)
    elif isinstance(result, Rows):
        _settle_present(state, result)
    elif isinstance(result, Refused) and not state.uncertain and store_refusing:
        _close(state, state.batch, REFUSED)
    else:
        state.uncertain = state.uncertain or not isinstance(result, Refused)
        return _keep_trying(state, now)
    return False


def _settle_present(state, result):
    """Settle the jobs that are there already; the others wait for the next batch."""
    present = {}
    for (_, job_id), (value, version) in result.rows.items():
        if version:
            present[job_id] = (value, version)
    found = [i for i in state.batch if i.job_id in present]
    rest = [i for i in state.batch if i.job_id not in present]
    for insert in found:
        value, version = present[insert.job_id]
        # Our own write, if an earlier try of it has applied.
        insert.on_outcome(ACCEPTED, version if value == insert.value else None)
    state.batch = []
    state.waiting[:0] = rest


def _keep_trying(state, now):
    """After a lost answer only the same batch may tell what became of it."""
    late = [i for i in state.batch if now >= i.deadline]
    state.batch = [i for i in state.batch if now < i.deadline]
    for insert in late:
        insert.on_outcome(UNKNOWN if state.uncertain else REFUSED, None)
    return bool(state.batch)


def _close(state, batch, outcome, version=None):
    state.batch = []
    for insert in batch:
        insert.on_outcome(outcome, version)
