"""Core: rows of the store about what has become of a job.

The record has the outcome and the tasks of a job that has begun; its outcome is kept
once it has ended.
"""

import math
import zlib
from typing import NamedTuple

import msgspec

from .log import get_logger
from .staged_jobs import DONE, PLACED, QUEUED, RUNNING, WAITING, open_occurrence

__all__ = [
    "ROW_BYTES",
    "decode_outcome",
    "decode_record",
    "encode_outcome",
    "encode_record",
    "fits_job",
    "limit_gang_failures",
    "restore_record",
]

log = get_logger("job_records")

# Largest value of a row, unless the settings name another one.
ROW_BYTES = 65_536


def encode_outcome(outcome, workspace):
    """Return the row value of a job that has ended; ``workspace`` may be empty."""
    return f"{outcome} {workspace}".rstrip().encode()


def decode_outcome(data):
    """Return (outcome, workspace) of the row value of a job that has ended.

    Both are empty if the value cannot be read, or is None.
    """
    try:
        outcome, _, workspace = (data or b"").decode().partition(" ")
    except UnicodeDecodeError:
        return "", ""
    return outcome, workspace


def encode_record(job, row_bytes=ROW_BYTES):
    """Return the row value of the job's record: outcome and state of its tasks.

    If it is larger than ``row_bytes``, the checkpoints are left out: after a change of
    leader, the tasks then start from the beginning.
    """
    data = _encode_record(job, True)
    if len(data) > row_bytes:
        log("warning", "checkpoints_left_out", job=job.spec.id, size=len(data))
        data = _encode_record(job, False)
    return data


def _encode_record(job, with_checkpoints):
    rows, lives = [], {}
    for tasks in job.tasks.values():
        for t in tasks:
            if not t.attempt and t.state == WAITING:
                continue
            if t.state == DONE and t.run is None:
                # It never runs again. Rows that differ only in their index take few
                # bytes once they are compressed.
                rows.append((*t.key, DONE, 1, "", 0, ""))
                continue
            worker = ""
            if t.run is not None:
                worker = t.run.worker
                lives[worker] = (t.run.address, t.run.born)
            checkpoint = t.checkpoint if with_checkpoints else ""
            row = (*t.key, t.state, t.attempt, worker, t.failures, checkpoint)
            if t.crashes:
                row = (*row, t.crashes, t.confirmed_crashes, t.ran_s)
            rows.append(row)
    for (occurrence, step), attempt in job.failed_gang_runs.items():
        lives[f"{FAILED_RUN} {occurrence}.{step}"] = ("", attempt)
    record = (job.outcome or "", job.started, rows, lives)
    data = msgspec.msgpack.encode(record)
    return zlib.compress(data, 1) if len(data) >= COMPRESSED_BYTES else data


# Records of at least this size are compressed. A compressed one begins with this byte,
# which does not begin a MessagePack array.
COMPRESSED_BYTES = 200
ZLIB_MARK = b"\x78"


# Beginning of the keys of ``Record.lives`` that are no ids of workers. Earlier releases
# read no record with further fields, but ignore such keys.
FAILED_RUN = "failed-run"


class TaskRecord(NamedTuple):
    """A task in a record; ``worker`` is empty if it has no run."""

    occurrence: int
    step: int
    index: int
    state: str
    attempt: int
    worker: str
    failures: int
    checkpoint: str
    crashes: int = 0
    confirmed_crashes: int = 0
    ran_s: float = 0.0


class Record(NamedTuple):
    """A job's record; ``lives`` maps the workers of runs to (address, born).

    It also maps ``failed-run OCCURRENCE.STEP`` of a gang to ("", attempt of its latest
    run that has failed). Records of earlier releases have no ``lives`` or no such keys.
    """

    outcome: str
    started: bool
    tasks: list[TaskRecord]
    lives: dict[str, tuple[str, int]] | None = None


_record_decoder = msgspec.msgpack.Decoder(Record)


def decode_record(data):
    """Return the Record in a row value, or None if that is invalid or None."""
    if data is None:
        return None
    try:
        if data[:1] == ZLIB_MARK:
            data = zlib.decompress(data)
        return _record_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, zlib.error):
        return None


def fits_job(record, spec):
    """Return whether a record is of tasks that a job of this specification has."""
    return all(_fits(row, spec) for row in record.tasks)


def _fits(row, spec):
    return (
        0 <= row.occurrence < max(1, spec.occurrences)
        and 0 <= row.step < len(spec.steps)
        and 0 <= row.index < spec.steps[row.step].count
        and row.state in (WAITING, PLACED, DONE)
        and min(row.attempt, row.failures, row.crashes, row.confirmed_crashes) >= 0
        and math.isfinite(row.ran_s)
    )


def restore_record(job, record, version):
    """Restore a new Job from its record.

    Returns [(task, worker id)] for the tasks that may have a run on a worker.
    """
    job.started = record.started
    job.outcome = record.outcome or None
    job.recorded_state = record.outcome or (RUNNING if job.started else QUEUED)
    job.record_version = version
    job.failed_gang_runs = _failed_gang_runs(record)
    placed = []
    for row in record.tasks:
        open_occurrence(job, row.occurrence)
        task = job.tasks[row.occurrence, row.step][row.index]
        task.state, task.attempt = row.state, row.attempt
        task.failures, task.checkpoint = row.failures, row.checkpoint
        task.crashes, task.ran_s = row.crashes, row.ran_s
        task.confirmed_crashes = row.confirmed_crashes
        job.has_crashes = job.has_crashes or row.crashes > 0
        job.run_seen = job.run_seen or row.state == DONE or row.failures > 0
        if row.state == PLACED or row.worker:
            placed.append((task, row.worker))
    return placed


def _failed_gang_runs(record):
    found = {}
    for name, (_, attempt) in (record.lives or {}).items():
        prefix, _, key = name.partition(" ")
        occurrence, _, step = key.partition(".")
        if prefix == FAILED_RUN and occurrence.isdecimal() and step.isdecimal():
            found[int(occurrence), int(step)] = attempt
    return found


def limit_gang_failures(job):
    """Bring the failed runs of each gang down to the number of its runs.

    Earlier releases counted each member that failed, and their records do not say in
    which runs. Where all runs have failed, the latest one has been counted.
    """
    for key, tasks in job.tasks.items():
        latest = max(task.attempt for task in tasks)
        excess = sum(task.failures for task in tasks) - latest
        if not job.spec.steps[key[1]].gang or not latest or excess < 0:
            continue
        for task in tasks:
            dropped = min(excess, task.failures)
            task.failures -= dropped
            excess -= dropped
        job.failed_gang_runs[key] = latest
