"""Stores submitted jobs, by this node or through the leader or another peer.

The leader batches the inserts of all nodes. Jobs that the leader does not take are
inserted by the node itself, also in batches. An insert requires that the job is absent,
so that it may be sent twice.
"""

from typing import NamedTuple

from . import inserts
from .inserts import ACCEPTED, REFUSED, TAKEN, UNKNOWN, Insert
from .log import get_logger
from .messages import InsertRequest, JobAccepted
from .staged_jobs import JobSpec, decode_spec

__all__ = [
    "LEADER_STORE_FRESH_S",
    "insert_for_peer",
    "is_isolated",
    "store_job",
    "tick",
]

log = get_logger("node_inserts")

RETRY_S = 0.2
# Time limit of an insert through a peer that is not the leader.
PEER_TIMEOUT_S = 1.0
# A leader that reached the store within this time is asked first. It renews its row
# every 0.4 s and reports that in its heartbeats.
LEADER_STORE_FRESH_S = 0.8
# A node that receives no message from others for this long cannot reach them. Where the
# leader's heartbeats are rarer, it is their time-out and this margin.
ISOLATED_AFTER_S = 1.2
ISOLATED_MARGIN_S = 0.3


class Submission(NamedTuple):
    """A job that is being stored.

    ``uncertain`` is set once an attempt has ended that may have stored the job.
    """

    spec: JobSpec
    value: bytes
    deadline: float
    uncertain: bool = False
    # The job came from a peer or was already sent to one: do not send it to another.
    by_peer: bool = False
    # Address of the peer that it came from.
    entry: str | None = None


def is_isolated(node, now):
    """Return whether this node reaches neither the store nor another node."""
    timeout_s = node.leadership.heartbeat_timeout_s + ISOLATED_MARGIN_S
    silent = now - node.last_message_at >= max(ISOLATED_AFTER_S, timeout_s)
    return silent and node.health.is_unavailable(now)


def tick(node):
    """Refuse the jobs that wait to be sent to a store that is unavailable."""
    if node.health.is_unavailable(node.deps.now()):
        inserts.refuse_waiting(node.inserts)


def store_job(node, spec, value, deadline, on_outcome):
    """Store a job.

    ``on_outcome`` is called with ACCEPTED, TAKEN, REFUSED (nothing was stored) or
    UNKNOWN by the time ``deadline``.
    """
    _route(node, Submission(spec, value, deadline), on_outcome)


def _route(node, submission, on_outcome):
    now = node.deps.now()
    if is_isolated(node, now):
        on_outcome(UNKNOWN if submission.uncertain else REFUSED)
    elif node.leader is not None and not node.health.is_unavailable(now):
        _insert(node, submission, on_outcome)
    elif node.leadership.leader_address:
        _insert_by_peer(node, submission, on_outcome)
    else:
        _insert_without_leader(node, submission, on_outcome)


def _insert_without_leader(node, submission, on_outcome):
    """Store the job without a leader, or wait for one while the store is slow.

    On a slow store, transactions from all nodes would fill the queues of the
    partitions, and the fence writes of the next leader would wait behind them.
    """
    now = node.deps.now()
    if not node.health.is_slow:
        _insert(node, submission._replace(by_peer=True), on_outcome)
    elif now + RETRY_S >= submission.deadline:
        on_outcome(UNKNOWN if submission.uncertain else REFUSED)
    else:
        attempt = submission._replace(by_peer=False)
        node.loop.call_later(RETRY_S, lambda: _route(node, attempt, on_outcome))


def insert_for_peer(node, value, limit_s, entry, on_outcome):
    """Store a job for the node at ``entry``; ``limit_s`` is the time left for it."""
    spec = decode_spec(value)
    now = node.deps.now()
    if spec is None or node.health.is_unavailable(now):
        # Nothing was sent, so the caller can get a definite refusal now instead of
        # waiting for its deadline.
        on_outcome(REFUSED)
        return
    submission = Submission(spec, value, now + limit_s, by_peer=True, entry=entry)
    _insert(node, submission, on_outcome)


def _insert(node, submission, on_outcome):
    """Add the job to this node's next batch of inserts."""
    spec = submission.spec

    def done(outcome, version):
        if outcome == ACCEPTED:
            _on_stored(node, submission, version)
        if outcome == REFUSED and not submission.by_peer and node.peer_state.peers:
            _insert_by_peer(node, submission, on_outcome)
        elif outcome == REFUSED and submission.uncertain:
            on_outcome(UNKNOWN)
        else:
            on_outcome(outcome)

    if node.leader is not None:
        node.deps.leader_expect_job(node, spec)
    insert = Insert(
        spec.id, submission.value, submission.deadline, done, spec.workspace
    )
    inserts.add(node.inserts, insert)
    # Jobs that arrive in the same loop iteration share a transaction.
    node.loop.call_soon(lambda: _flush(node))


def _flush(node):
    for part, expected, writes in inserts.flush(node.inserts):
        _send(node, part, expected, writes)


def _send(node, part, expected, writes):
    def done(result):
        now = node.deps.now()
        store_refusing = node.health.is_refused(now)
        if inserts.handle_result(node.inserts, now, part, result, store_refusing):
            node.loop.call_later(RETRY_S, retry)
        else:
            _flush(node)

    def retry():
        _send(node, part, *inserts.batch_entries(node.inserts.partitions[part].batch))

    node.store.commit(part, expected, writes, done)


def _insert_by_peer(node, submission, on_outcome):
    """Send the job to the leader, or to a random peer if the leader lost the store."""
    peers = node.peer_state.peers
    leader = node.leadership.leader_address
    reaches_store = node.leadership.store_age_s < LEADER_STORE_FRESH_S
    to_leader = leader and node.leader is None and (reaches_store or not peers)
    attempt = submission._replace(by_peer=True)

    def replied(outcome):
        now = node.deps.now()
        uncertain = attempt.uncertain or outcome not in (ACCEPTED, REFUSED)
        if outcome in (ACCEPTED, TAKEN):
            on_outcome(outcome)
        elif now >= attempt.deadline or node.health.is_unavailable(now):
            on_outcome(UNKNOWN if uncertain else REFUSED)
        else:
            _insert_without_leader(
                node, attempt._replace(uncertain=uncertain), on_outcome
            )

    if not to_leader and not peers:
        replied(REFUSED)
        return
    address = leader if to_leader else node.rng.choice(peers)
    limit_s = attempt.deadline - node.deps.now() if to_leader else PEER_TIMEOUT_S
    node.deps.send_request(
        node,
        address,
        lambda request_number: InsertRequest(
            request_number, node.address, attempt.value, limit_s
        ),
        limit_s,
        replied,
    )


def _on_stored(node, submission, version):
    """Report a stored job to the leader.

    ``version`` is the version of its row, or None if an earlier write stored it.
    """
    spec = submission.spec
    if version is None:
        log("info", "repeated", job=spec.id)
        return
    log("info", "accepted", job=spec.id, queue=spec.queue.name)
    if node.leader is not None:
        node.deps.leader_add_job(node, submission.value, version, submission.entry)
    elif node.leadership.leader_address:
        message = JobAccepted(version, submission.value)
        node.peers.send(node.leadership.leader_address, message)
