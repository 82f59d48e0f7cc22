"""Callers' requests about jobs: submit, show, cancel, count.

A job is accepted once its row is stored. Questions go to the leader, which has every
job in memory; without a leader the store is read.
"""

from typing import NamedTuple

from . import commits
from .commits import Applied, Refused, Rows, Unknown
from .dispatch_effects import RowWrite
from .errors import (
    BAD_REQUEST,
    NOT_FOUND,
    PLATFORM_UNAVAILABLE,
    RequestError,
)
from .inserts import ACCEPTED, REFUSED, UNKNOWN, Insert
from .log import get_logger
from .messages import CancelRequest, InsertRequest, JobAccepted, StateRequest
from .staged_jobs import (
    CANCELLED,
    COMPLETED,
    FAILED,
    QUEUED,
    RUNNING,
    JobSpec,
    decode_record,
    decode_spec,
    encode_spec,
)
from .verdicts import Verdict

__all__ = [
    "Intake",
    "handle",
    "insert_for_peer",
    "is_busy",
    "note_pending",
    "reply_arrived",
    "tick",
]

log = get_logger("jobs")

FINAL = (COMPLETED, FAILED, CANCELLED)
# A caller that names no deadline waits this long.
DEFAULT_DEADLINE_S = 3.0
# An answer must still travel to the caller.
ANSWER_MARGIN_S = 0.15
INSERT_RETRY_S = 0.1
# A peer tries for half of this.
PEER_ANSWER_S = 1.0
# A leader that reached the store this lately is asked first.
PEER_STORE_AGE_S = 0.8
LEADER_ANSWER_S = 0.35
# A leader whose beats stop for this long is not waited for.
LEADER_SILENT_S = 1.2
CANCEL_ANSWER_S = 1.2
# Counts of waiting jobs are given out while they are younger than this.
PENDING_AGE_S = 1.8
# An outage is expected to last as long again as it has lasted, within these.
RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 4


class Intake:
    """Questions under way and what the leader told last."""

    def __init__(self):
        self.number = 0
        # Number of a question -> (function to call with the reply, time limit).
        self.questions = {}
        self.pending = {}
        self.pending_at = None
        self.final = {}
        # Addresses of the other nodes.
        self.peers = []


def now_of(node):
    """Return the node's clock."""
    return node.parts.now()


def handle(node, call):
    """Serve one request of a caller."""
    if node.config is None:
        refuse(call, 503, PLATFORM_UNAVAILABLE, "no configuration yet")
        return
    req = call.request
    target = node.parts.find_target(node.config, req.headers.get("host", ""), req.path)
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
    call, status, code, message, verdict=Verdict.NOT_RUN, retry_s=RETRY_AFTER_MIN_S
):
    """Answer with an error; the Retry-After header tells when to come back."""
    exc = RequestError(code, message, verdict, int(retry_s * 1000) or None)
    headers = (("Retry-After", str(retry_s)),) if retry_s else ()
    call.refuse(exc, status, headers)


def refuse_store(node, call):
    """Answer that the store is not available, with the time to come back."""
    failing_s = node.health.failing_s(now_of(node))
    retry_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, round(failing_s)))
    text = "the store is not available"
    refuse(call, 503, PLATFORM_UNAVAILABLE, text, retry_s=retry_s)


def _deadline_s(call):
    text = call.request.headers.get("deadline-ms", "")
    return int(text) / 1000 if text.isdigit() else DEFAULT_DEADLINE_S


# Submit


def _submit(node, call, target):
    spec, problem = node.parts.decode_job(target, call.request.body)
    if spec is None:
        refuse(call, 400, BAD_REQUEST, problem, retry_s=0)
        return
    now = now_of(node)
    spec = spec._replace(accepted_at=node.store.clock(now) or 0.0)
    submission = Submission(
        spec, encode_spec(spec), now, now + _deadline_s(call) - ANSWER_MARGIN_S
    )

    def done(outcome):
        _answer_submit(node, call, spec, outcome)

    if node.leader is not None and node.leader.core is not None:
        if node.health.is_out(now):
            _insert_by_peer(node, submission, done)
        else:
            _insert_in_group(node, submission, done)
    elif node.leadership.leader_address and node.leader is None:
        # The leader stores the jobs of all nodes together.
        _insert_by_peer(node, submission, done)
    else:
        _insert(node, submission, done)


def _answer_submit(node, call, spec, outcome):
    if outcome == ACCEPTED:
        call.answer_json(200, {"state": QUEUED})
        return
    log("warning", "submit_failed", job=spec.id, outcome=outcome)
    if outcome == REFUSED:
        refuse_store(node, call)
    else:
        # It may or may not be stored; the caller asks again with the same id.
        text = "the store does not answer"
        refuse(call, 504, PLATFORM_UNAVAILABLE, text, verdict=Verdict.MAY_HAVE_RUN)


class Submission(NamedTuple):
    """A job on its way into the store; ``uncertain`` once it may be stored."""

    spec: JobSpec
    value: bytes
    begun: float
    until: float
    uncertain: bool = False
    # A peer was asked already.
    by_peer: bool = False


def _insert(node, submission, on_outcome):
    """Store the job; ``on_outcome`` gets ACCEPTED, REFUSED or UNKNOWN."""
    spec = submission.spec
    expected = [("jobs", spec.id, 0), ("done", spec.id, 0)]
    writes = [RowWrite("jobs", spec.id, submission.value)]

    def done(result):
        now = now_of(node)
        if isinstance(result, Applied | Rows):
            _stored(node, submission, result)
            on_outcome(ACCEPTED)
            return
        uncertain = submission.uncertain or isinstance(result, Unknown)
        tried = submission._replace(uncertain=uncertain)
        if now >= submission.until:
            on_outcome(UNKNOWN if uncertain else REFUSED)
        elif not submission.by_peer and node.intake.peers:
            _insert_by_peer(node, tried, on_outcome)
        elif uncertain:
            node.loop.call_later(
                INSERT_RETRY_S, lambda: _insert(node, tried, on_outcome)
            )
        else:
            on_outcome(REFUSED)

    node.store.commit(commits.part_of(spec.id), expected, writes, done)


def _insert_by_peer(node, submission, on_outcome):
    """Let the leader store the job, or a peer if the store turns the leader away."""
    peers = node.intake.peers
    leader = node.leadership.leader_address
    reaches_store = node.leadership.store_age_s < PEER_STORE_AGE_S
    to_leader = leader and node.leader is None and (reaches_store or not peers)
    tried = submission._replace(by_peer=True)
    now = now_of(node)

    def replied(outcome):
        if outcome == ACCEPTED:
            on_outcome(ACCEPTED)
            return
        uncertain = tried.uncertain or outcome != REFUSED
        if node.health.is_out(now_of(node)) and not uncertain:
            on_outcome(REFUSED)
        elif now_of(node) >= tried.until:
            on_outcome(UNKNOWN if uncertain else REFUSED)
        else:
            # The insert names the absence of the job, so it may be repeated.
            _insert(node, tried._replace(uncertain=uncertain), on_outcome)

    if not to_leader and not peers:
        replied(REFUSED)
        return
    address = leader if to_leader else node.rng.choice(peers)
    limit_s = tried.until - now if to_leader else PEER_ANSWER_S
    _ask(
        node,
        address,
        lambda number: InsertRequest(number, node.address, tried.value, limit_s),
        limit_s,
        replied,
    )


def _insert_in_group(node, submission, on_outcome):
    """Store the job together with others; only the leader does this."""

    def settled(outcome, version):
        if outcome == ACCEPTED and version is not None:
            _stored(node, submission, Applied(version))
        if outcome == REFUSED and not submission.by_peer and node.intake.peers:
            _insert_by_peer(node, submission, on_outcome)
        else:
            on_outcome(outcome)

    insert = Insert(submission.spec.id, submission.value, submission.until, settled)
    node.parts.leader_inserts(node, insert)


def insert_for_peer(node, value, limit_s, on_outcome):
    """Store a job for another node."""
    spec = decode_spec(value)
    now = now_of(node)
    if spec is None or node.health.is_out(now):
        # Nothing was sent, so the caller gets a true refusal now, not its deadline.
        on_outcome(REFUSED)
        return
    submission = Submission(spec, value, now, now + limit_s, by_peer=True)
    if node.leader is not None and node.leader.core is not None:
        _insert_in_group(node, submission, on_outcome)
    else:
        _insert(node, submission, on_outcome)


def _stored(node, submission, result):
    spec = submission.spec
    if isinstance(result, Rows):
        log("info", "submit_repeated", job=spec.id)
        return
    log("info", "accepted", job=spec.id, queue=spec.queue.name)
    if node.leader is not None:
        node.parts.leader_accepts(node, submission.value, result.version)
    elif node.leadership.leader_address:
        message = JobAccepted(result.version, submission.value)
        node.peers.send(node.leadership.leader_address, message)


# Show and cancel


def _ask_leader(node, make, limit_s, on_reply):
    """Ask the leader; ``on_reply(None)`` if it does not know or answer."""
    address = node.leadership.leader_address
    if address:
        _ask(node, address, make, limit_s, on_reply)
    else:
        on_reply(None)


def _ask(node, address, make, limit_s, on_reply):
    """Send the question ``make(number)``; ``on_reply(None)`` after ``limit_s``."""
    intake = node.intake
    intake.number += 1
    number = intake.number
    intake.questions[number] = (on_reply, now_of(node) + limit_s, address)
    if not node.peers.send(address, make(number)):
        reply_arrived(node, number, None)


def reply_arrived(node, number, value):
    """Take in a reply of the leader."""
    question = node.intake.questions.pop(number, None)
    if question is not None:
        question[0](value)


def tick(node):
    """Give up questions that were not answered, or whose leader is gone."""
    now = now_of(node)
    state = node.leadership
    silent = now - state.heard_at >= LEADER_SILENT_S
    for number, (_, limit, address) in list(node.intake.questions.items()):
        is_peer = address in node.intake.peers and address != state.leader_address
        if now >= limit or (silent and not is_peer):
            reply_arrived(node, number, None)


def is_busy(node):
    """Return whether a question is under way."""
    return bool(node.intake.questions)


def _show(node, call, job_id):
    state = node.intake.final.get(job_id)
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
        replied(node.parts.leader_state(node, job_id))
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
            node.intake.final[job_id] = state
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
        node.parts.leader_cancels(node, job_id, replied)
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


def note_pending(node, pending):
    """Keep the leader's counts of jobs that have not begun."""
    node.intake.pending = pending
    node.intake.pending_at = now_of(node)


def _show_pending(node, call, target):
    if call.request.method != "GET":
        refuse(call, 405, BAD_REQUEST, "method not allowed", retry_s=0)
        return
    counts, at = node.intake.pending, node.intake.pending_at
    if at is None or now_of(node) - at > PENDING_AGE_S:
        refuse(call, 503, PLATFORM_UNAVAILABLE, "the counts are out of date")
        return
    call.answer_json(200, {"pending": counts.get(target.queue.name, 0)})
