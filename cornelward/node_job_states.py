"""Handles callers' requests about existing jobs: show, cancel, count.

They go to the leader, which has every job in memory; without a leader the store is used
directly.
"""

from . import access, commits
from .commits import Applied, Refused, Rows, Unknown
from .dispatch_effects import RowWrite
from .errors import BAD_REQUEST, NOT_FOUND, PLATFORM_UNAVAILABLE
from .job_records import decode_outcome, decode_record
from .log import get_logger
from .messages import (
    CancelRequest,
    StateRequest,
    WorkspaceCancelRequest,
    WorkspaceStateRequest,
)
from .node_refusals import refuse, refuse_store_unavailable
from .node_requests import send_request
from .staged_jobs import CANCELLED, COMPLETED, FAILED, QUEUED, RUNNING, decode_spec
from .verdicts import Verdict

__all__ = ["cancel", "set_pending_counts", "show", "show_pending"]

log = get_logger("node_jobs")

# States of ended jobs that a node keeps, those that were asked for last.
MAX_FINAL_STATES = 10_000
FINAL_STATES = (COMPLETED, FAILED, CANCELLED)
STATE_TIMEOUT_S = 0.35
CANCEL_TIMEOUT_S = 1.2
# Maximum age of the pending counts that callers are given.
MAX_PENDING_AGE_S = 1.8
# The same for an unknown job and another workspace's: a caller learns nothing of it.
NO_SUCH_JOB = "no such job, or it has already ended"


def _send_to_leader(node, make, limit_s, on_reply):
    """Send a request to the leader.

    ``on_reply`` gets None if the leader is unknown, does not answer within ``limit_s``
    or does not know.
    """
    address = node.leadership.leader_address
    if address:
        send_request(node, address, make, limit_s, on_reply)
    else:
        on_reply(None)


def show(node, call, job_id, caller):
    state = node.peer_state.final_states.get((job_id, caller))
    if state is not None:
        call.answer_json(200, {"state": state})
        return

    def replied(state):
        if state is None:
            _read_state(
                node,
                job_id,
                lambda found: _answer_state(node, call, job_id, caller, found),
                caller,
            )
        else:
            _answer_state(node, call, job_id, caller, state)

    if node.leader is not None:
        replied(node.deps.leader_job_state(node, job_id, caller))
    else:
        _send_to_leader(
            node,
            _about_job(node, StateRequest, WorkspaceStateRequest, job_id, caller),
            STATE_TIMEOUT_S,
            replied,
        )


def _about_job(node, plain, owned, job_id, caller):
    """Return the function that makes a message about a job from a request number."""
    if caller is None:
        return lambda number: plain(number, node.address, job_id)
    return lambda number: owned(number, node.address, job_id, caller)


def _answer_state(node, call, job_id, caller, state):
    if state is None:
        refuse_store_unavailable(node, call)
    elif state == "":
        refuse(call, 410, NOT_FOUND, NO_SUCH_JOB, retry_s=0)
    else:
        if state in FINAL_STATES:
            known = node.peer_state.final_states
            if len(known) >= MAX_FINAL_STATES:
                del known[next(iter(known))]
            known[job_id, caller] = state
        call.answer_json(200, {"state": state})


def _read_state(
    node, job_id, on_state, caller, tables=("jobs", "runs", "done"), found=None
):
    """Read a job's state from the store and pass it to ``on_state``.

    The state is "" if ``caller`` may see no such job and None if a read failed. The
    table ``done`` is read last, because a job moves there from the others in one
    transaction.
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
            _read_state(node, job_id, on_state, caller, tables[1:], found)
        else:
            on_state(_state_in(found, caller))

    part = commits.partition_of(job_id)
    node.store.read(tables[0], part, done, job_id, job_id + "\0")


def _state_in(found, caller):
    if found["done"] is not None:
        outcome, owner = decode_outcome(found["done"].value)
        return outcome if access.may_see(owner, caller) else ""
    spec = decode_spec(found["jobs"].value) if found["jobs"] is not None else None
    if spec is not None and not access.may_see(spec.workspace, caller):
        return ""
    if found["runs"] is not None and (spec is not None or caller is None):
        record = decode_record(found["runs"].value)
        if record is not None:
            return record[0] or (RUNNING if record[1] else QUEUED)
    return QUEUED if found["jobs"] is not None else ""


def cancel(node, call, job_id, caller):
    def replied(cancelled):
        if cancelled:
            log("info", "cancelled", job=job_id)
            call.answer_json(200, {"state": CANCELLED})
        elif cancelled is False:
            refuse(call, 410, NOT_FOUND, NO_SUCH_JOB, retry_s=0)
        else:
            _cancel_in_store(node, call, job_id, caller)

    if node.leader is not None:
        node.deps.leader_cancel_job(node, job_id, replied, caller)
    else:
        _send_to_leader(
            node,
            _about_job(node, CancelRequest, WorkspaceCancelRequest, job_id, caller),
            CANCEL_TIMEOUT_S,
            replied,
        )


def _cancel_in_store(node, call, job_id, caller):
    """Write a cancellation row for the leader, if the job's row still exists."""
    part = commits.partition_of(job_id)

    def written(result):
        if isinstance(result, Applied):
            call.answer_json(200, {"state": CANCELLED})
        elif isinstance(result, Rows):
            refuse(call, 410, NOT_FOUND, NO_SUCH_JOB, retry_s=0)
        else:
            # An unknown outcome is safe, because a cancellation can be repeated.
            log("warning", "cancel_failed", job=job_id, reason=result.reason)
            text = "the store is not available"
            refuse(call, 503, PLATFORM_UNAVAILABLE, text, verdict=Verdict.MAY_HAVE_RUN)

    def read(listing):
        if isinstance(listing, Refused | Unknown):
            written(listing)
            return
        rows = {row.key: row for row in listing.rows}
        row = rows.get(job_id)
        spec = decode_spec(row.value) if row is not None else None
        if spec is None or not access.may_see(spec.workspace, caller):
            refuse(call, 410, NOT_FOUND, NO_SUCH_JOB, retry_s=0)
            return
        expected = [("jobs", job_id, row.version)]
        writes = [RowWrite("jobs", job_id + ".cancel", b"1")]
        node.store.commit(part, expected, writes, written)

    node.store.read("jobs", part, read, job_id, job_id + "\0")


# Counts


def set_pending_counts(node, pending):
    """Store the leader's counts of jobs that have not started, by queue."""
    node.peer_state.pending = pending
    node.peer_state.pending_at = node.deps.now()


def show_pending(node, call, target):
    if call.request.method != "GET":
        refuse(call, 405, BAD_REQUEST, "method not allowed", retry_s=0)
        return
    counts, at = node.peer_state.pending, node.peer_state.pending_at
    if at is None or node.deps.now() - at > MAX_PENDING_AGE_S:
        refuse(
            call,
            503,
            PLATFORM_UNAVAILABLE,
            "the pending counts are out of date: no recent report from the leader",
        )
        return
    call.answer_json(200, {"pending": counts.get(target.queue.name, 0)})
