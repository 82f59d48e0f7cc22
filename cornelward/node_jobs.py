"""Callers' requests about jobs: submit, show, cancel, count.

A job is accepted once its row is stored. Questions go to the leader, which has every
job in memory; without a leader the store is read.
"""

from . import commits
from .commits import Applied, Refused, Rows, Unknown
from .dispatch_effects import RowWrite
from .errors import (
    BAD_REQUEST,
    NOT_FOUND,
    PLATFORM_UNAVAILABLE,
    RequestError,
)
from .inserts import ACCEPTED, REFUSED
from .log import get_logger
from .messages import CancelRequest, StateRequest
from .node_inserts import LEADER_STORE_FRESH_S, is_isolated, store_job
from .staged_jobs import (
    CANCELLED,
    COMPLETED,
    FAILED,
    QUEUED,
    RUNNING,
    decode_record,
    decode_spec,
    encode_spec,
)
from .verdicts import Verdict

__all__ = [
    "PeerState",
    "complete_request",
    "handle_request",
    "has_open_requests",
    "set_pending_counts",
    "tick",
]

log = get_logger("node_jobs")

FINAL = (COMPLETED, FAILED, CANCELLED)
# A caller that names no deadline waits this long.
DEFAULT_DEADLINE_S = 3.0
# An answer must still travel to the caller.
ANSWER_MARGIN_S = 0.15
LEADER_ANSWER_S = 0.35
# A leader whose beats stop for this long is not waited for.
LEADER_HEARTBEAT_TIMEOUT_S = 0.8
CANCEL_ANSWER_S = 1.2
# Followers read the leader's row each 0.25 s while it cannot renew.
RECENT_READ_S = 0.5
# Counts of waiting jobs are given out while they are younger than this.
PENDING_AGE_S = 1.8
# An outage is expected to last as long again as it has lasted, within these.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 4
# The store may turn away this node only: the caller should reach another one.
CLOSE = (("Connection", "close"),)


class PeerState:
    """Questions under way and what the leader told last."""

    def __init__(self):
        self.number = 0
        # Number of a question -> (function to call with the reply, time limit).
        self.outstanding_requests = {}
        self.pending = {}
        self.pending_at = None
        self.final = {}
        # Addresses of the other nodes.
        self.peers = []


def now_of(node):
    """Return the node's clock."""
    return node.deps.now()


def handle_request(node, call):
    """Serve one request of a caller."""
    if node.config is None:
        refuse(call, 503, PLATFORM_UNAVAILABLE, "no configuration yet")
        return
    req = call.request
    target = node.deps.find_target(node.config, req.headers.get("host", ""), req.path)
    if target is None:
        refuse(call, 404, NOT_FOUND, "no such queue", retry_s=0)
    elif not target.job_id:
        _show_pending(node, call, target)
    elif req.method == "POST":
        _submit(node, call, target)
    elif req.method == "GET":
        _show(node, call, target.job_id)
    elif req.method == "DELETE":
        _cancel(node, call, target.job_id)
    else:
        refuse(call, 405, BAD_REQUEST, "method not allowed", retry_s=0)


def refuse(
    call,
    status,
    code,
    message,
    verdict=Verdict.NOT_RUN,
    retry_s=RETRY_AFTER_MIN_S,
    headers=(),
):
    """Answer with an error; the Retry-After header tells when to come back."""
    exc = RequestError(code, message, verdict, int(retry_s * 1000) or None)
    if retry_s:
        headers = (*headers, ("Retry-After", str(retry_s)))
    call.refuse(exc, status, headers)


def refuse_store(node, call):
    """Answer that the store is not available, with the time to come back.

    A node that is cut off cannot tell; the caller's next connection reaches another.
    """
    if is_isolated(node, now_of(node)):
        text = "this node is cut off"
        refuse(call, 503, PLATFORM_UNAVAILABLE, text, retry_s=0, headers=CLOSE)
        return
    failing_s = node.health.failing_s(now_of(node))
    retry_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, round(failing_s)))
    text = "the store is not available"
    refuse(call, 503, PLATFORM_UNAVAILABLE, text, retry_s=retry_s, headers=CLOSE)


def _deadline_s(call):
    text = call.request.headers.get("deadline-ms", "")
    return int(text) / 1000 if text.isdigit() else DEFAULT_DEADLINE_S


# Submit


def _submit(node, call, target):
    spec, problem = node.deps.decode_job(target, call.request.body)
    if spec is None:
        refuse(call, 400, BAD_REQUEST, problem, retry_s=0)
        return
    now = now_of(node)
    spec = spec._replace(accepted_at=node.store.clock(now) or 0.0)
    until = now + _deadline_s(call) - ANSWER_MARGIN_S
    value = encode_spec(spec)
    store_job(
        node,
        spec,
        value,
        until,
        lambda outcome: _answer_submit(node, call, spec, now, outcome),
    )


def _answer_submit(node, call, spec, begun, outcome):
    now = now_of(node)
    node.deps.metrics.observe_request("submit", outcome, now - begun)
    if outcome == ACCEPTED:
        call.answer_json(200, {"state": QUEUED})
        return
    log(
        "warning",
        "submit_failed",
        job=spec.id,
        outcome=outcome,
        leader=node.leadership.leader_address,
        leader_heard_s=round(now - node.leadership.leader_seen_at, 2),
        store_failing_s=round(node.health.failing_s(now), 2),
    )
    if outcome == REFUSED:
        refuse_store(node, call)
    else:
        # It may or may not be stored; the caller asks again with the same id.
        text = "the store does not answer"
        refuse(call, 504, PLATFORM_UNAVAILABLE, text, verdict=Verdict.MAY_HAVE_RUN)


# Show and cancel


def _ask_leader(node, make, limit_s, on_reply):
    """Ask the leader; ``on_reply(None)`` if it does not know or answer."""
    address = node.leadership.leader_address
    if address:
        send_request(node, address, make, limit_s, on_reply)
    else:
        on_reply(None)


def send_request(node, address, make, limit_s, on_reply):
    """Send the question ``make(number)``; ``on_reply(None)`` after ``limit_s``."""
    peer_state = node.peer_state
    peer_state.number += 1
    number = peer_state.number
    peer_state.outstanding_requests[number] = (
        on_reply,
        now_of(node) + limit_s,
        address,
    )
    if not node.peers.send(address, make(number)):
        complete_request(node, number, None)


def complete_request(node, number, value):
    """Take in a reply of the leader."""
    question = node.peer_state.outstanding_requests.pop(number, None)
    if question is not None:
        question[0](value)


def tick(node):
    """Give up questions that were not answered, or whose leader is gone."""
    now = now_of(node)
    state = node.leadership
    silent = now - state.leader_seen_at >= LEADER_HEARTBEAT_TIMEOUT_S
    # The leader waits for a store that this node has just reached.
    reached = state.read_at is not None and now - state.read_at <= RECENT_READ_S
    quick = not (node.health.is_failing or node.health.is_slow)
    stuck = state.store_age_s >= LEADER_STORE_FRESH_S and reached and quick
    for number, (_, limit, address) in list(
        node.peer_state.outstanding_requests.items()
    ):
        is_peer = address in node.peer_state.peers and address != state.leader_address
        if now >= limit or ((silent or stuck) and not is_peer):
            complete_request(node, number, None)


def has_open_requests(node):
    """Return whether a question is under way."""
    return bool(node.peer_state.outstanding_requests)


def _show(node, call, job_id):
    state = node.peer_state.final.get(job_id)
    if state is not None:
        call.answer_json(200, {"state": state})
        return

    def replied(state):
        if state is None:
            _read_state(
                node, job_id, lambda found: _answer_state(node, call, job_id, found)
            )
        else:
            _answer_state(node, call, job_id, state)

    if node.leader is not None:
        replied(node.deps.leader_state(node, job_id))
    else:
        _ask_leader(
            node,
            lambda number: StateRequest(number, node.address, job_id),
            LEADER_ANSWER_S,
            replied,
        )


def _answer_state(node, call, job_id, state):
    if state is None:
        refuse_store(node, call)
    elif state == "":
        refuse(call, 410, NOT_FOUND, "no such job", retry_s=0)
    else:
        if state in FINAL:
            node.peer_state.final[job_id] = state
        call.answer_json(200, {"state": state})


def _read_state(node, job_id, on_state, tables=("jobs", "runs", "done"), found=None):
    """Read a job's state from the store: "" if unknown, None if that failed.

    ``done`` is read last: a job moves there in one transaction.
    """
    found = found or {}

    def done(listing):
        if isinstance(listing, Refused | Unknown):
            log("warning", "state_unreadable", job=job_id, reason=listing.reason)
            on_state(None)
            return
        rows = {row.key: row for row in listing.rows}
        found[tables[0]] = rows.get(job_id)
        if len(tables) > 1:
            _read_state(node, job_id, on_state, tables[1:], found)
        else:
            on_state(_state_in(found))

    part = commits.part_of(job_id)
    node.store.read(tables[0], part, done, job_id, job_id + "\0")


def _state_in(found):
    if found["done"] is not None:
        return found["done"].value.decode()
    if found["runs"] is not None:
        record = decode_record(found["runs"].value)
        if record is not None:
            return record[0] or (RUNNING if record[1] else QUEUED)
    return QUEUED if found["jobs"] is not None else ""


def _cancel(node, call, job_id):
    def replied(cancelled):
        if cancelled:
            log("info", "cancelled", job=job_id)
            call.answer_json(200, {"state": CANCELLED})
        elif cancelled is False:
            refuse(call, 410, NOT_FOUND, "the job is over", retry_s=0)
        else:
            _cancel_in_store(node, call, job_id)

    if node.leader is not None:
        node.deps.leader_cancels(node, job_id, replied)
    else:
        _ask_leader(
            node,
            lambda number: CancelRequest(number, node.address, job_id),
            CANCEL_ANSWER_S,
            replied,
        )


def _cancel_in_store(node, call, job_id):
    """Leave a note for the leader; the job's row must still be there."""
    part = commits.part_of(job_id)

    def written(result):
        if isinstance(result, Applied):
            call.answer_json(200, {"state": CANCELLED})
        elif isinstance(result, Rows):
            refuse(call, 410, NOT_FOUND, "the job is over", retry_s=0)
        else:
            # An unknown outcome is safe: the caller cancels again.
            log("warning", "cancel_failed", job=job_id, reason=result.reason)
            text = "the store is not available"
            refuse(call, 503, PLATFORM_UNAVAILABLE, text, verdict=Verdict.MAY_HAVE_RUN)

    def read(listing):
        if isinstance(listing, Refused | Unknown):
            written(listing)
            return
        rows = {row.key: row for row in listing.rows}
        row = rows.get(job_id)
        if row is None or decode_spec(row.value) is None:
            refuse(call, 410, NOT_FOUND, "no such job", retry_s=0)
            return
        expected = [("jobs", job_id, row.version)]
        writes = [RowWrite("jobs", job_id + ".cancel", b"1")]
        node.store.commit(part, expected, writes, written)

    node.store.read("jobs", part, read, job_id, job_id + "\0")


# Counts


def set_pending_counts(node, pending):
    """Keep the leader's counts of jobs that have not begun."""
    node.peer_state.pending = pending
    node.peer_state.pending_at = now_of(node)


def _show_pending(node, call, target):
    if call.request.method != "GET":
        refuse(call, 405, BAD_REQUEST, "method not allowed", retry_s=0)
        return
    counts, at = node.peer_state.pending, node.peer_state.pending_at
    if at is None or now_of(node) - at > PENDING_AGE_S:
        refuse(call, 503, PLATFORM_UNAVAILABLE, "the counts are out of date")
        return
    call.answer_json(200, {"pending": counts.get(target.queue.name, 0)})
