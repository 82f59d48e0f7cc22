"""The way of an accepted job into the store.

The leader stores the jobs of all nodes in groups. A node stores by itself what the
leader does not take, also in groups; the insert names the absence of the job, so it may
be sent twice.
"""

from typing import NamedTuple

from . import inserts
from .inserts import ACCEPTED, REFUSED, UNKNOWN, Insert
from .log import get_logger
from .messages import InsertRequest, JobAccepted
from .staged_jobs import JobSpec, decode_spec

__all__ = ["LEADER_STORE_FRESH_S", "insert_for_peer", "is_isolated", "store_job"]

log = get_logger("node_inserts")

RETRY_S = 0.2
# A peer that does not lead is waited for this long.
PEER_ANSWER_S = 1.0
# A leader that reached the store this lately is asked first: it renews its row each
# 0.4 s and tells so each 0.3 s.
LEADER_STORE_FRESH_S = 0.8
# Other nodes send messages each 0.3 s; without any for this long this node is cut off.
ISOLATED_S = 1.2


class Submission(NamedTuple):
    """A job on its way; ``uncertain`` once it may be stored already."""

    spec: JobSpec
    value: bytes
    until: float
    uncertain: bool = False
    # Another node was asked, or asks itself.
    by_peer: bool = False


def is_isolated(node, now):
    """Return whether neither the store nor another node is reached."""
    silent = now - node.last_message_at >= ISOLATED_S
    return silent and node.health.is_out(now)


def store_job(node, spec, value, until, on_outcome):
    """Store a job; ``on_outcome`` gets ACCEPTED, REFUSED or UNKNOWN by ``until``."""
    _route(node, Submission(spec, value, until), on_outcome)


def _route(node, submission, on_outcome):
    now = node.deps.now()
    if is_isolated(node, now):
        on_outcome(UNKNOWN if submission.uncertain else REFUSED)
    elif node.leader is not None and not node.health.is_out(now):
        _insert(node, submission, on_outcome)
    elif node.leadership.leader_address:
        _insert_by_peer(node, submission, on_outcome)
    else:
        _insert_alone(node, submission, on_outcome)


def _insert_alone(node, submission, on_outcome):
    """Store the job without a leader, unless the store is slow.

    Transactions of all nodes would then fill the queues of the partitions, and the
    next leader's fences would wait behind them.
    """
    now = node.deps.now()
    if not node.health.is_slow:
        _insert(node, submission._replace(by_peer=True), on_outcome)
    elif now + RETRY_S >= submission.until:
        on_outcome(UNKNOWN if submission.uncertain else REFUSED)
    else:
        tried = submission._replace(by_peer=False)
        node.loop.call_later(RETRY_S, lambda: _route(node, tried, on_outcome))


def insert_for_peer(node, value, limit_s, on_outcome):
    """Store a job for another node."""
    spec = decode_spec(value)
    now = node.deps.now()
    if spec is None or node.health.is_out(now):
        # Nothing was sent, so the caller gets a true refusal now, not its deadline.
        on_outcome(REFUSED)
        return
    _insert(node, Submission(spec, value, now + limit_s, by_peer=True), on_outcome)


def _insert(node, submission, on_outcome):
    """Store the job together with others of this node."""
    spec = submission.spec

    def settled(outcome, version):
        if outcome == ACCEPTED:
            _stored(node, submission, version)
        if outcome == REFUSED and not submission.by_peer and node.peer_state.peers:
            _insert_by_peer(node, submission, on_outcome)
        elif outcome == REFUSED and submission.uncertain:
            on_outcome(UNKNOWN)
        else:
            on_outcome(outcome)

    insert = Insert(spec.id, submission.value, submission.until, settled)
    inserts.add(node.inserts, insert)
    # What else arrives in this turn of the loop goes into the same transaction.
    node.loop.call_soon(lambda: _flush(node))


def _flush(node):
    for part, expected, writes in inserts.flush(node.inserts):
        _send(node, part, expected, writes)


def _send(node, part, expected, writes):
    def done(result):
        now = node.deps.now()
        turned_away = node.health.is_refused(now)
        if inserts.finish(node.inserts, now, part, result, turned_away):
            node.loop.call_later(RETRY_S, again)
        else:
            _flush(node)

    def again():
        _send(node, part, *inserts.entries(node.inserts.parts[part].batch))

    node.store.commit(part, expected, writes, done)


def _insert_by_peer(node, submission, on_outcome):
    """Let the leader store the job, or a peer if the store turns the leader away."""
    peers = node.peer_state.peers
    leader = node.leadership.leader_address
    reaches_store = node.leadership.store_age_s < LEADER_STORE_FRESH_S
    to_leader = leader and node.leader is None and (reaches_store or not peers)
    tried = submission._replace(by_peer=True)

    def replied(outcome):
        now = node.deps.now()
        uncertain = tried.uncertain or outcome not in (ACCEPTED, REFUSED)
        if outcome == ACCEPTED:
            on_outcome(ACCEPTED)
        elif now >= tried.until or node.health.is_out(now):
            on_outcome(UNKNOWN if uncertain else REFUSED)
        else:
            _insert_alone(node, tried._replace(uncertain=uncertain), on_outcome)

    if not to_leader and not peers:
        replied(REFUSED)
        return
    address = leader if to_leader else node.rng.choice(peers)
    limit_s = tried.until - node.deps.now() if to_leader else PEER_ANSWER_S
    node.deps.send_request(
        node,
        address,
        lambda number: InsertRequest(number, node.address, tried.value, limit_s),
        limit_s,
        replied,
    )


def _stored(node, submission, version):
    """Tell the leader of a job; ``version`` is None if another write stored it."""
    spec = submission.spec
    if version is None:
        log("info", "repeated", job=spec.id)
        return
    log("info", "accepted", job=spec.id, queue=spec.queue.name)
    if node.leader is not None:
        node.deps.leader_accepts(node, submission.value, version)
    elif node.leadership.leader_address:
        message = JobAccepted(version, submission.value)
        node.peers.send(node.leadership.leader_address, message)
