"""Core: requests that must not be repeated, by idempotency key.

A row ``requests/<service>/<key>`` is inserted before a request is dispatched and holds
its outcome afterwards. Each insert carries a nonce, so that a write whose answer was
lost can be recognized when the row is read back. The functions return effects.
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

RETRY_S = 1.0
# A key that others insert and release all the time is refused after this many tries.
MAX_INSERTS = 4

INSERTING, CHECKING = "inserting", "checking"
RUNNING, STORING, RELEASING = "running", "storing", "releasing"

ACCEPTED, DONE, NOT_RUN = "accepted", "done", "not_run"


class WriteRow(NamedTuple):
    """Effect: write a row if its version is as expected; answer with ``on_written``."""

    key: str
    nonce: str
    version: int
    value: dict


class ReadRow(NamedTuple):
    """Effect: read a row; answer with ``on_read``."""

    key: str
    nonce: str


class Proceed(NamedTuple):
    """Effect: hand the request to the router; answer with ``on_finished``."""

    request_id: str
    key: str


class Reply(NamedTuple):
    """Effect: answer a caller with a stored answer."""

    request_id: str
    answer: Any


class Reject(NamedTuple):
    """Effect: refuse a caller."""

    request_id: str
    code: str
    message: str
    verdict: Verdict
    retry_after_ms: int | None = None


class _KeyedRequest:
    """One key in use at this entry; ``request_id`` is the caller that came first."""

    __slots__ = (
        "answer",
        "digest",
        "expected",
        "inserts",
        "key",
        "nonce",
        "phase",
        "request_id",
        "retry_at",
        "uncertain",
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
        # Version that the last insert expected; a delayed one may still apply there.
        self.expected = 0
        self.inserts = 0
        self.uncertain = False
        self.answer = None
        self.retry_at = None


class IdempotencyTable:
    """Keys in use at one entry; ``holder`` is the entry's id."""

    def __init__(self, holder):
        self.holder = holder
        self.by_key = {}


def begin(table, now, key, request_id, digest, nonce):
    """Accept a caller's request; ``digest`` identifies operation and body."""
    req = table.by_key.get(key)
    if req is None:
        req = _KeyedRequest(key, request_id, digest, nonce)
        table.by_key[key] = req
        return _insert(table, req, 0)
    if req.digest != digest:
        return [_other_request(request_id)]
    if req.phase == STORING:
        return [Reply(request_id, req.answer)]
    if req.phase == RELEASING:
        return [_unavailable(request_id)]
    req.waiters.append(request_id)
    return []


def on_written(table, now, key, nonce, result):
    """Take the result of a WriteRow: versions, a Conflict, or a PlatformError."""
    req = _find(table, key, nonce)
    if req is None:
        return []
    if req.phase == INSERTING:
        return _inserted(table, now, req, result)
    if req.phase == STORING:
        return _stored(table, now, req, result)
    if req.phase != RELEASING:
        return []
    if isinstance(result, dict):
        del table.by_key[key]
    elif isinstance(result, Conflict):
        return [ReadRow(key, nonce)]
    else:
        req.retry_at = now + RETRY_S
    return []


def on_read(table, now, key, nonce, row):
    """Take the result of a ReadRow; ``row`` is None when the table failed."""
    req = _find(table, key, nonce)
    if req is None:
        return []
    if req.phase == CHECKING:
        return _checked(table, now, req, row)
    if req.phase == RELEASING:
        return _release_read(table, now, req, row)
    return []


def on_finished(table, now, key, verdict, answer):
    """Take the outcome of a request after Proceed; ``answer`` is JSON-ready."""
    req = table.by_key[key]
    req.answer = answer
    if verdict is Verdict.NOT_RUN:
        req.phase = RELEASING
        effects = _reply_all(req)
        effects.append(WriteRow(key, req.nonce, req.version, _row(table, req, NOT_RUN)))
        return effects
    req.phase = STORING
    return [WriteRow(key, req.nonce, req.version, _row(table, req, DONE))]


def is_first_caller(table, key, request_id):
    """Return whether the key's request is this caller's own, not one it waits for."""
    req = table.by_key.get(key)
    return req is not None and req.request_id == request_id


def is_held(row, nonce):
    """Return whether a row shows a running request of the holder with this nonce."""
    value = row.value if row.version else None
    return bool(value) and (value["state"], value["nonce"]) == (ACCEPTED, nonce)


def nonce_of(table, key):
    """Return the nonce of a key in use at this entry."""
    return table.by_key[key].nonce


def tick(table, now):
    """Retry the writes that failed."""
    effects = []
    for req in table.by_key.values():
        if req.retry_at is None or req.retry_at > now:
            continue
        req.retry_at = None
        if req.phase == STORING:
            value = _row(table, req, DONE)
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


def _row(table, req, state):
    return {
        "state": state,
        "holder": table.holder,
        "nonce": req.nonce,
        "digest": req.digest,
        "answer": req.answer if state == DONE else None,
    }


def _insert(table, req, version):
    req.phase = INSERTING
    req.inserts += 1
    req.expected = version
    return [WriteRow(req.key, req.nonce, version, _row(table, req, ACCEPTED))]


def _inserted(table, now, req, result):
    if isinstance(result, dict):
        return _accepted(req, result[req.key])
    if isinstance(result, Conflict) or result.applied is not False:
        req.uncertain |= not isinstance(result, Conflict)
        req.phase = CHECKING
        return [ReadRow(req.key, req.nonce)]
    return _give_up(table, now, req)


def _accepted(req, version):
    """Run the request: this entry holds the row."""
    req.version = version
    req.phase = RUNNING
    return [Proceed(req.request_id, req.key)]


def _checked(table, now, req, row):
    if row is None:
        return _give_up(table, now, req)
    value = row.value if row.version else None
    if value is None or value["state"] == NOT_RUN:
        if req.inserts >= MAX_INSERTS:
            return _give_up(table, now, req)
        return _insert(table, req, row.version)
    if value["nonce"] == req.nonce:
        return _accepted(req, row.version)
    # Versions never repeat, so that no insert of this request can apply any more.
    del table.by_key[req.key]
    return [_from_row(request_id, value, req.digest) for request_id in req.waiters]


def _from_row(request_id, value, digest):
    """Return the answer of a row that another request holds."""
    if value["digest"] != digest:
        return _other_request(request_id)
    if value["state"] == DONE:
        return Reply(request_id, value["answer"])
    text = "a request with this key is in progress"
    return Reject(request_id, IN_PROGRESS, text, Verdict.MAY_HAVE_RUN, 1000)


def _give_up(table, now, req):
    """Refuse before dispatch; an insert that may have applied is undone later."""
    effects = [_unavailable(request_id) for request_id in req.waiters]
    req.waiters = []
    if req.uncertain:
        req.phase = RELEASING
        req.retry_at = now + RETRY_S
    else:
        del table.by_key[req.key]
    return effects


def _release_read(table, now, req, row):
    if row is None:
        req.retry_at = now + RETRY_S
        return []
    ours = row.version and row.value["nonce"] == req.nonce
    if ours and row.value["state"] == NOT_RUN:
        del table.by_key[req.key]
        return []
    # Writing also where the insert has not arrived makes a delayed one conflict.
    if ours or row.version == req.expected:
        req.version = row.version
        value = _row(table, req, NOT_RUN)
        return [WriteRow(req.key, req.nonce, row.version, value)]
    del table.by_key[req.key]
    return []


def _stored(table, now, req, result):
    effects = _reply_all(req)
    # A conflict means that an earlier write of the answer took effect unheard.
    if isinstance(result, dict | Conflict):
        del table.by_key[req.key]
    else:
        req.retry_at = now + RETRY_S
    return effects


def _reply_all(req):
    waiters, req.waiters = req.waiters, []
    return [Reply(request_id, req.answer) for request_id in waiters]


def _unavailable(request_id):
    text = "the key could not be recorded; the request was not run"
    return Reject(request_id, PLATFORM_UNAVAILABLE, text, Verdict.NOT_RUN, 1000)


def _other_request(request_id):
    text = "the key was used for a different request"
    return Reject(request_id, CONFLICT, text, Verdict.NOT_RUN)
