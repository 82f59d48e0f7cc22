"""Job requests of callers: submission, state and cancellation.

Requests are written as rows of the platform's table. The owner of the job's failure
domain reads the rows and takes all decisions about the job.
"""

import re
import time

import xxhash

from .confirmed_writes import confirmed_txn
from .errors import (
    BAD_REQUEST,
    NOT_FOUND,
    PLATFORM_UNAVAILABLE,
    CornelwardError,
    PlatformError,
)
from .messages import JobNotice
from .rows import Conflict
from .verdicts import Verdict

__all__ = ["cancel_job", "get_job", "job_record", "submit_job"]

FIELDS = ("workload", "key", "tasks", "run")
KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:~-]{1,200}")
MAX_TASKS = 10_000
TASK_TYPES = ("service", "batch", "gang")


def _bad_request(message):
    return CornelwardError(message, BAD_REQUEST, Verdict.NOT_RUN)


def _unavailable(exc):
    verdict = Verdict.NOT_RUN if exc.applied is False else Verdict.MAY_HAVE_RUN
    return CornelwardError(exc.message, PLATFORM_UNAVAILABLE, verdict)


def choose_domain(name, domains):
    """Choose one of ``domains`` for ``name`` by rendezvous hashing."""
    return max(domains, key=lambda fd: xxhash.xxh64_intdigest(f"{fd}/{name}".encode()))


def _check_body(body):
    if not isinstance(body, dict):
        raise _bad_request("expected a JSON object")
    unknown = sorted(set(body) - set(FIELDS))
    if unknown:
        raise _bad_request(
            f"unknown field {unknown[0]!r}; expected {', '.join(FIELDS)}"
        )
    tasks = body.get("tasks", 1)
    if not isinstance(tasks, int) or isinstance(tasks, bool):
        raise _bad_request("tasks: expected a whole number")
    if not 1 <= tasks <= MAX_TASKS:
        raise _bad_request(f"tasks: expected 1 to {MAX_TASKS}")
    if not isinstance(body.get("run", {}), dict):
        raise _bad_request("run: expected an object")
    key = body.get("key")
    if key is not None and not (isinstance(key, str) and KEY_PATTERN.fullmatch(key)):
        raise _bad_request("key: expected up to 200 letters, digits and _.:~-")


def job_record(index, body, key, nonce):
    """Return the record of a new job; raise CornelwardError if the request is invalid.

    ``index`` is the current configuration as ``{kind: {name: object}}``. ``key`` is the
    value of the Idempotency-Key header or None, which takes precedence over the key in
    ``body``. ``nonce`` makes the job's id unique.
    """
    _check_body(body)
    workload = index["workload"].get(body.get("workload"))
    if workload is None or workload["type"] not in TASK_TYPES:
        raise _bad_request(f"no workload of tasks is named {body.get('workload')!r}")
    key = key or body.get("key")
    if key is not None and not KEY_PATTERN.fullmatch(key):
        raise _bad_request(
            "Idempotency-Key: expected up to 200 letters, digits and _.:~-"
        )
    domains = index["pool"][workload["pool"]]["failure_domains"]
    # The id contains the failure domain, which is part of the key of the job's row.
    job_id = f"{choose_domain(key or nonce, domains)}.{nonce}"
    tasks = [
        {
            "task": f"{job_id}.{number}",
            "state": "queued",
            "worker": None,
            "attempt": 0,
            "epoch": 0,
        }
        for number in range(body.get("tasks", workload["tasks"]))
    ]
    return {
        "id": job_id,
        "key": key,
        "workload": workload["name"],
        "type": workload["type"],
        "team": workload["team"],
        "state": "queued",
        "reason": "",
        "verdict": None,
        "tasks": tasks,
        "demand": workload["demand"],
        "run": body.get("run", workload["run"]),
        "submitted_ms": int(time.time() * 1000),
        "nonce": nonce,
    }


def _domain_of(job_id):
    return job_id.rpartition(".")[0]


def submit_job(platform, send, record, on_done):
    """Write the rows of a new job and notify the owner of its failure domain.

    ``on_done`` gets ``(job id, created)`` or a CornelwardError. ``created`` is False if
    a job with the same idempotency key exists; the job id is then that job's.
    """
    job_id, domain = record["id"], _domain_of(record["id"])
    # Jobs without an idempotency key get this row too: it shows that the write
    # succeeded even after the job has ended and its row has moved.
    key_row = f"jobkeys/{record['key'] or job_id}"
    inbox = f"inbox/{domain}/{job_id}/submit"
    rows = {
        f"jobs/{domain}/{job_id}": record,
        inbox: {"op": "submit"},
        key_row: job_id,
    }

    def on_written(result):
        if isinstance(result, PlatformError):
            on_done(_unavailable(result))
        elif isinstance(result, Conflict):
            platform.get(key_row, on_key_read)
        else:
            notify_owner(platform, send, domain, job_id)
            on_done((job_id, True))

    def on_key_read(row):
        if isinstance(row, PlatformError):
            on_done(_unavailable(row))
        else:
            on_done((row.value, False))

    confirmed_txn(
        platform,
        [[key, 0] for key in rows],
        [[key, value] for key, value in rows.items()],
        key_row,
        lambda row: row.value == job_id,
        on_written,
    )


def notify_owner(platform, send, domain, job_id):
    """Notify the owner of a failure domain, if it has one, of a row in its inbox."""

    def on_owner_read(row):
        if not isinstance(row, PlatformError) and row.version:
            send(row.value["address"], JobNotice(domain, job_id))

    platform.get(f"owners/{domain}", on_owner_read)


def get_job(platform, job_id, on_done):
    """Read the record of a job; ``on_done`` gets it or a CornelwardError.

    The error is NOT_FOUND if there is no such job.
    """
    domain = _domain_of(job_id)
    # ``jobs`` is read again after ``done``, so that a job that changes its row between
    # the reads is found.
    keys = [f"{table}/{domain}/{job_id}" for table in ("jobs", "done", "jobs")]

    def read(row):
        if isinstance(row, PlatformError):
            on_done(_unavailable(row))
        elif row is not None and row.version:
            on_done(row.value)
        elif keys:
            platform.get(keys.pop(0), read)
        else:
            on_done(CornelwardError(f"no job {job_id!r}", NOT_FOUND))

    read(None)


def cancel_job(platform, send, job_id, on_done):
    """Ask the owner of the failure domain to cancel a job.

    ``on_done`` gets the record from before the cancellation, or a CornelwardError.
    """
    domain = _domain_of(job_id)

    def on_job_read(record):
        if isinstance(record, CornelwardError):
            on_done(record)
            return
        key = f"inbox/{domain}/{job_id}/cancel"
        platform.txn([], [[key, {"op": "cancel"}]], [], lambda r: on_written(r, record))

    def on_written(result, record):
        # The write has no precondition, so that the caller may repeat the request.
        if isinstance(result, PlatformError):
            on_done(_unavailable(result))
            return
        notify_owner(platform, send, domain, job_id)
        on_done(record)

    get_job(platform, job_id, on_job_read)
