"""Core: runs requests with an idempotency key at most once.

The row ``requests/<service>/<key>`` is inserted before a request is dispatched and
stores its outcome afterwards. Each insert carries a nonce: when the response to a write
is lost, the row is read back and its nonce shows whether the write was applied. The
functions return effects for the caller to execute; times are monotonic seconds.
"""

from typing import Any, NamedTuple

from .errors import CONFLICT, IN_PROGRESS, PLATFORM_UNAVAILABLE
from .rows import Conflict
from .verdicts import Verdict

__all__ = [
    "IdempotencyTable",
    "Proceed",
    "ReadRow",
    "Reject",
    "Reply",
    "WriteRow",
    "begin",
    "dump",
    "is_first_caller",
    "is_held",
    "nonce_of",
    "on_finished",
    "on_read",
    "on_written",
    "tick",
]

RETRY_INTERVAL_S = 1.0
# A request is refused after this many inserts of its row. This bounds the work for a
# key that other requests keep inserting and releasing.
MAX_INSERT_ATTEMPTS = 4

INSERTING, CHECKING = "inserting", "checking"
RUNNING, STORING, RELEASING = "running", "storing", "releasing"

ACCEPTED, DONE, NOT_RUN = "accepted", "done", "not_run"


class WriteRow(NamedTuple):
    """Effect: write a row if its version is ``version``; report with ``on_written``.

    Version 0 stands for a row that does not exist.
    """

    key: str
    nonce: str
    version: int
    value: dict


class ReadRow(NamedTuple):
    """Effect: read a row; report with ``on_read``."""

    key: str
    nonce: str


class Proceed(NamedTuple):
    """Effect: submit the request to the router; report with ``on_finished``."""

    request_id: str
    key: str


class Reply(NamedTuple):
    """Effect: send a caller the stored answer."""

    request_id: str
    answer: Any


class Reject(NamedTuple):
    """Effect: send a caller an error."""

    request_id: str
    code: str
    message: str
    verdict: Verdict
    retry_after_ms: int | None = None


class _KeyedRequest:
    """State of one key in use at this entry.

    ``request_id`` is the first request with the key; ``waiters`` holds the ids of all
    requests that wait for its answer, including the first one.
    """

    __slots__ = (
        "answer",
        "digest",
        "expected_version",
        "insert_attempts",
        "key",
        "may_have_inserted",
        "nonce",
        "phase",
        "request_id",
        "retry_at",
        "version",
        "waiters",
    )

    def __init__(self, key, request_id, digest, nonce):
        self.key = key
        self.request_id = request_id
        self.digest = digest
        self.nonce = nonce
        self.phase = INSERTING
        self.waiters = [request_id]
        self.version = 0
        # Version that the last insert expected. If its outcome is unknown, it may still
        # be applied to the row at this version.
        self.expected_version = 0
        self.insert_attempts = 0
        self.may_have_inserted = False
        self.answer = None
        self.retry_at = None


class IdempotencyTable:
    """Idempotency keys in use at one entry; ``holder`` is the entry's id."""

    def __init__(self, holder):
        self.holder = holder
        self.by_key = {}


def begin(table, now, key, request_id, digest, nonce):
    """Handle a caller's request; ``digest`` identifies its operation and body."""
    req = table.by_key.get(key)
    if req is None:
        req = _KeyedRequest(key, request_id, digest, nonce)
        table.by_key[key] = req
        return _insert(table, req, 0)
    if req.digest != digest:
        return [_key_conflict(request_id)]
    if req.phase == STORING:
        return [Reply(request_id, req.answer)]
    if req.phase == RELEASING:
        return [_not_recorded(request_id)]
    req.waiters.append(request_id)
    return []


def on_written(table, now, key, nonce, result):
    """Handle the result of a WriteRow.

    ``result`` is a dict of row key to new version, a Conflict or a PlatformError.
    """
    req = _find(table, key, nonce)
    if req is None:
        return []
    if req.phase == INSERTING:
        return _on_inserted(table, now, req, result)
    if req.phase == STORING:
        return _on_stored(table, now, req, result)
    if req.phase != RELEASING:
        return []
    if isinstance(result, dict):
        del table.by_key[key]
    elif isinstance(result, Conflict):
        return [ReadRow(key, nonce)]
    else:
        req.retry_at = now + RETRY_INTERVAL_S
    return []


def on_read(table, now, key, nonce, row):
    """Handle the result of a ReadRow; ``row`` is None if the read failed."""
    req = _find(table, key, nonce)
    if req is None:
        return []
    if req.phase == CHECKING:
        return _on_insert_checked(table, now, req, row)
    if req.phase == RELEASING:
        return _on_release_read(table, now, req, row)
    return []


def on_finished(table, now, key, verdict, answer):
    """Handle the outcome of a request after Proceed; ``answer`` is JSON-ready."""
    req = table.by_key[key]
    req.answer = answer
    if verdict is Verdict.NOT_RUN:
        req.phase = RELEASING
        effects = _reply_all(req)
        effects.append(
            WriteRow(key, req.nonce, req.version, _row_value(table, req, NOT_RUN))
        )
        return effects
    req.phase = STORING
    return [WriteRow(key, req.nonce, req.version, _row_value(table, req, DONE))]


def is_first_caller(table, key, request_id):
    """Return whether ``request_id`` is the first request with the key, not a waiter."""
    req = table.by_key.get(key)
    return req is not None and req.request_id == request_id


def is_held(row, nonce):
    """Return whether a row records a running request whose nonce is ``nonce``."""
    value = row.value if row.version else None
    return bool(value) and (value["state"], value["nonce"]) == (ACCEPTED, nonce)


def nonce_of(table, key):
    """Return the nonce of a key in use at this entry."""
    return table.by_key[key].nonce


def tick(table, now):
    """Return the effects that retry failed writes and releases that are due."""
    effects = []
    for req in table.by_key.values():
        if req.retry_at is None or req.retry_at > now:
            continue
        req.retry_at = None
        if req.phase == STORING:
            value = _row_value(table, req, DONE)
            effects.append(WriteRow(req.key, req.nonce, req.version, value))
        else:
            effects.append(ReadRow(req.key, req.nonce))
    return effects


def dump(table):
    """Return the phase of each key in use."""
    return {key: req.phase for key, req in table.by_key.items()}


def _find(table, key, nonce):
    req = table.by_key.get(key)
    return req if req is not None and req.nonce == nonce else None


def _row_value(table, req, state):
    return {
        "state": state,
        "holder": table.holder,
        "nonce": req.nonce,
        "digest": req.digest,
        "answer": req.answer if state == DONE else None,
    }


def _insert(table, req, version):
    req.phase = INSERTING
    req.insert_attempts += 1
    req.expected_version = version
    return [WriteRow(req.key, req.nonce, version, _row_value(table, req, ACCEPTED))]


def _on_inserted(table, now, req, result):
    if isinstance(result, dict):
        return _run_request(req, result[req.key])
    if isinstance(result, Conflict) or result.applied is not False:
        req.may_have_inserted |= not isinstance(result, Conflict)
        req.phase = CHECKING
        return [ReadRow(req.key, req.nonce)]
    return _refuse_waiters(table, now, req)


def _run_request(req, version):
    """Start the request; this entry's insert was applied at ``version``."""
    req.version = version
    req.phase = RUNNING
    return [Proceed(req.request_id, req.key)]


def _on_insert_checked(table, now, req, row):
    if row is None:
        return _refuse_waiters(table, now, req)
    value = row.value if row.version else None
    if value is None or value["state"] == NOT_RUN:
        if req.insert_attempts >= MAX_INSERT_ATTEMPTS:
            return _refuse_waiters(table, now, req)
        return _insert(table, req, row.version)
    if value["nonce"] == req.nonce:
        return _run_request(req, row.version)
    # Versions never repeat, so a delayed insert of this request can no longer be
    # applied and the key can be forgotten here.
    del table.by_key[req.key]
    return [
        _answer_from_row(request_id, value, req.digest) for request_id in req.waiters
    ]


def _answer_from_row(request_id, value, digest):
    """Return the Reply or Reject for a row that another request has inserted."""
    if value["digest"] != digest:
        return _key_conflict(request_id)
    if value["state"] == DONE:
        return Reply(request_id, value["answer"])
    text = "another request with this idempotency key is in progress"
    return Reject(request_id, IN_PROGRESS, text, Verdict.MAY_HAVE_RUN, 1000)


def _refuse_waiters(table, now, req):
    """Refuse all waiters before dispatch.

    If an insert may have been applied, the row is released later.
    """
    effects = [_not_recorded(request_id) for request_id in req.waiters]
    req.waiters = []
    if req.may_have_inserted:
        req.phase = RELEASING
        req.retry_at = now + RETRY_INTERVAL_S
    else:
        del table.by_key[req.key]
    return effects


def _on_release_read(table, now, req, row):
    if row is None:
        req.retry_at = now + RETRY_INTERVAL_S
        return []
    own_row = row.version and row.value["nonce"] == req.nonce
    if own_row and row.value["state"] == NOT_RUN:
        del table.by_key[req.key]
        return []
    # The row is also written if the insert has not been applied: a delayed insert then
    # fails with a version conflict.
    if own_row or row.version == req.expected_version:
        req.version = row.version
        value = _row_value(table, req, NOT_RUN)
        return [WriteRow(req.key, req.nonce, row.version, value)]
    del table.by_key[req.key]
    return []


def _on_stored(table, now, req, result):
    effects = _reply_all(req)
    # On a conflict, an earlier write of this answer was applied but its response was
    # lost.
    if isinstance(result, dict | Conflict):
        del table.by_key[req.key]
    else:
        req.retry_at = now + RETRY_INTERVAL_S
    return effects


def _reply_all(req):
    waiters, req.waiters = req.waiters, []
    return [Reply(request_id, req.answer) for request_id in waiters]


def _not_recorded(request_id):
    text = "the idempotency key could not be recorded; the request was not run"
    return Reject(request_id, PLATFORM_UNAVAILABLE, text, Verdict.NOT_RUN, 1000)


def _key_conflict(request_id):
    text = "the idempotency key was already used for a different request"
    return Reject(request_id, CONFLICT, text, Verdict.NOT_RUN)
