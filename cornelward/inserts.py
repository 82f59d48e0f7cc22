"""Core: batches the inserts of submitted jobs into transactions (group commit).

A partition of the store runs one transaction at a time. If every node sent each insert
in a transaction of its own, a slow store's queue would fill within a second and all of
them would fail. One transaction with all waiting jobs takes as long as one with a
single job.
"""

from typing import NamedTuple

from .commits import PARTITIONS, Applied, Refused, Rows, partition_of
from .dispatch_effects import RowWrite
from .job_records import decode_outcome
from .staged_jobs import decode_spec

__all__ = [
    "ACCEPTED",
    "REFUSED",
    "TAKEN",
    "UNKNOWN",
    "Insert",
    "Inserts",
    "add",
    "flush",
    "handle_result",
    "refuse_waiting",
]

# Outcomes of an insert; after UNKNOWN the job may be stored now or later.
ACCEPTED, REFUSED, UNKNOWN = "accepted", "refused", "unknown"
# Outcome if a job of another workspace has the id.
TAKEN = "taken"
# The store limits a transaction to 100 entries and 1 MB; a job takes three entries.
MAX_JOBS = 30
MAX_BYTES = 300_000


class Insert(NamedTuple):
    """A job to store; ``on_outcome(outcome, version)`` is called once.

    ``version`` is the version of the row if this insert wrote it, otherwise None.
    After ``deadline`` (seconds on the clock of ``now``) the insert is not sent again.
    ``workspace`` is the job's; empty if it has none.
    """

    job_id: str
    value: bytes
    deadline: float
    on_outcome: object
    workspace: str = ""


class PartitionInserts:
    """Inserts of one partition: those waiting, and the batch in flight.

    ``uncertain`` is set once an attempt has failed whose transaction may have applied.
    """

    __slots__ = ("batch", "uncertain", "waiting")

    def __init__(self):
        self.waiting = []
        self.batch = []
        self.uncertain = False


class Inserts:
    """Pending inserts of all partitions."""

    def __init__(self):
        self.partitions = {part: PartitionInserts() for part in PARTITIONS}


def add(inserts, insert):
    """Queue an insert for the next batch of its partition."""
    inserts.partitions[partition_of(insert.job_id)].waiting.append(insert)


def flush(inserts):
    """Start the next batch of each idle partition.

    Returns [(part, expected, writes)], the transactions to send now.
    """
    due = []
    for part, state in inserts.partitions.items():
        if state.batch or not state.waiting:
            continue
        state.batch = _take_batch(state.waiting)
        state.uncertain = False
        due.append((part, *batch_entries(state.batch)))
    return due


def _take_batch(waiting):
    batch, size, owners = [], 0, {}
    while waiting and len(batch) < MAX_JOBS and size < MAX_BYTES:
        first = waiting[0]
        if owners.setdefault(first.job_id, first.workspace) != first.workspace:
            # The same id for two workspaces: the later one finds the earlier one's row.
            break
        size += len(first.value)
        batch.append(waiting.pop(0))
    return batch


def batch_entries(batch):
    """Return (expected, writes) of a batch; it applies only if all jobs are absent."""
    expected, writes = [], []
    for insert in {insert.job_id: insert for insert in batch}.values():
        expected += [("jobs", insert.job_id, 0), ("done", insert.job_id, 0)]
        writes.append(RowWrite("jobs", insert.job_id, insert.value))
    return expected, writes


def handle_result(inserts, now, part, result, store_refusing=False):
    """Handle the response to a batch; return True if it must be sent again.

    ``store_refusing`` means that the store refuses all calls of this node. The jobs are
    then reported as REFUSED, so that another node can insert them. A refusal by a
    partition that is only busy is retried.
    """
    state = inserts.partitions[part]
    if isinstance(result, Applied):
        _complete(state, state.batch, ACCEPTED, result.version)
    elif isinstance(result, Rows):
        _accept_stored(state, result)
    elif isinstance(result, Refused) and not state.uncertain and store_refusing:
        _complete(state, state.batch, REFUSED)
    else:
        state.uncertain = state.uncertain or not isinstance(result, Refused)
        return _drop_expired(state, now)
    return False


def refuse_waiting(inserts):
    """Report the jobs that were never sent as REFUSED.

    Behind a call that an unavailable store does not answer they would wait to their
    deadlines, and the caller would not know whether they were stored.
    """
    for state in inserts.partitions.values():
        sent = {insert.job_id for insert in state.batch}
        refused = [i for i in state.waiting if i.job_id not in sent]
        state.waiting = [i for i in state.waiting if i.job_id in sent]
        for insert in refused:
            insert.on_outcome(REFUSED, None)


def _accept_stored(state, result):
    """Accept the jobs that are already stored; requeue the others."""
    stored = {}
    for (table, job_id), (value, version) in result.rows.items():
        if version:
            stored[job_id] = (value, version, _owner_in(table, value))
    done = [i for i in state.batch if i.job_id in stored]
    rest = [i for i in state.batch if i.job_id not in stored]
    for insert in done:
        value, version, owner = stored[insert.job_id]
        if owner and owner != insert.workspace:
            insert.on_outcome(TAKEN, None)
        else:
            # An equal value was written by an earlier attempt of this insert.
            insert.on_outcome(ACCEPTED, version if value == insert.value else None)
    state.batch = []
    state.waiting[:0] = rest


def _owner_in(table, value):
    """Return the workspace in a job's row; "" if it has none or is unreadable."""
    if table == "done":
        return decode_outcome(value or b"")[1]
    spec = decode_spec(value) if value is not None else None
    return spec.workspace if spec is not None else ""


def _drop_expired(state, now):
    """Drop the inserts past their deadline; return whether any are left to send.

    After a lost response, only sending the same jobs again shows whether the batch
    applied.
    """
    expired = [i for i in state.batch if now >= i.deadline]
    state.batch = [i for i in state.batch if now < i.deadline]
    for insert in expired:
        insert.on_outcome(UNKNOWN if state.uncertain else REFUSED, None)
    return bool(state.batch)


def _complete(state, batch, outcome, version=None):
    state.batch = []
    for insert in batch:
        insert.on_outcome(outcome, version)
