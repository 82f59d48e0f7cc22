"""Core: leader election by a lease on one row of the store.

The leader renews the row. Timeouts only decide when another node claims it; fences and
fencing tokens (``commits``) ensure that only one leader can write.
"""

from typing import NamedTuple

import msgspec

from . import lease_marks

__all__ = [
    "STORE_STALE_S",
    "ClaimLeadership",
    "LeaderRow",
    "Leadership",
    "ReadLeader",
    "RenewLeadership",
    "is_leader_silent",
    "known_token",
    "on_claim_result",
    "on_heartbeat",
    "on_leader_named",
    "on_leader_resigned",
    "on_renewal_result",
    "on_row_read",
    "reports_outage",
    "tick",
]

RENEW_INTERVAL_S = 0.4
# A node reads the leader's row after this time without a heartbeat, or after this many
# of their intervals, whichever is longer: one may be lost and the next one late.
HEARTBEAT_TIMEOUT_S = 0.8
HEARTBEAT_TIMEOUT_INTERVALS = 2.25
# A leader that has not reached the store for this long may be replaced at once by a
# node that does reach it. The leader renews about twice a second, and a slow store
# takes about 0.5 s to answer.
STORE_STALE_S = 1.4
# When the leader has not reached the store for this long, followers read the row to
# find out whether they reach the store themselves.
SUSPECT_AGE_S = 0.8
POLL_INTERVAL_S = 0.25
# The row may be claimed if it was not renewed for this long and no heartbeat arrived.
LEASE_S = 0.7
# Upper bound of the random delay before a claim, so that two candidates seldom claim at
# the same time.
JITTER_S = 0.2
# A node with little CPU or network bandwidth claims the row only after it was claimable
# for this long and no other node has claimed it.
WEAK_NODE_DELAY_S = 1.5
# After a store outage that this node saw too, the leader has this long to renew.
OUTAGE_GRACE_S = 0.7

FOLLOWER, CLAIMING, LEADER = "follower", "claiming", "leader"


class LeaderRow(NamedTuple):
    """Value of the leader's row.

    ``token`` is the fencing token, one higher with each new leader.
    """

    node: str
    incarnation: int
    address: str
    token: int
    renewals: int = 0


class ReadLeader(NamedTuple):
    """Effect: read the leader's row and pass the result to ``on_row_read``."""


class ClaimLeadership(NamedTuple):
    """Effect: write ``row`` if the row's version is ``expected``.

    It writes ``lease_marks.claim_mark``, too. The result goes to ``on_claim_result``.
    """

    row: LeaderRow
    expected: int


class RenewLeadership(NamedTuple):
    """Effect: write ``row`` if the row's version is ``expected``.

    It writes ``mark``, too, if that is not None. The result goes to
    ``on_renewal_result``.
    """

    row: LeaderRow
    expected: int
    mark: lease_marks.LeaseMark | None = None


class Leadership:
    """Leader election state of one node.

    ``weak`` says that the node has little CPU or network bandwidth.
    """

    def __init__(self, node, incarnation, address, now, rng, weak=False):
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.role = FOLLOWER
        self.jitter_s = rng.random() * JITTER_S
        self.weak = weak
        # Whether the leader knew another node that is not weak.
        self.strong_node_known = True
        # Since when the row has been claimable without interruption.
        self.claimable_since = None
        # Time of the last failed read of the row.
        self.read_failed_at = None
        # Time of the last successful read of the row.
        self.read_at = None
        # Time of the last sign of life: a heartbeat, or a row with a new token.
        self.leader_seen_at = now - HEARTBEAT_TIMEOUT_S
        self.heartbeat_timeout_s = HEARTBEAT_TIMEOUT_S
        # How long ago the leader last reached the store, by its own account.
        self.store_age_s = 0.0
        self.heartbeat_token = None
        # Row version named in the heartbeats, and when it was first received.
        self.heartbeat_version = None
        self.heartbeat_version_at = None
        self.leader_address = None
        self.row = None
        self.version = None
        self.changed_at = None
        # Whether a read or write of the row is outstanding.
        self.request_pending = False
        self.last_request_at = None
        self.renewed_at = None
        # A time at which this node certainly held the row: when the latest request was
        # sent that has renewed it.
        self.confirmed_at = now
        self.claim_sent_at = None
        # The claim of this process that has no answer and may have applied, or None.
        self.lost_claim = None
        # The FormerLeader whose row this node has replaced, or None; and that of a
        # claim without an answer yet.
        self.former = self.claimed_from = None
        # By when the leases of all former leaders expire, or None if that is not known,
        # and whether the LeaseMark says that they have.
        self.former_leases_end_at = None
        self.expiry_recorded = False
        # Worker id -> how long the lease of that silent worker holds, to be recorded in
        # the LeaseMark, and whether it may have such entries.
        self.silent_leases = {}
        self.silent_recorded = False
        # The highest token of which this node has promised to grant nothing below.
        self.outranked_by = 0
        self.leaving = False


def encode_row(row):
    """Return a LeaderRow as the bytes stored in the row."""
    return msgspec.msgpack.encode(row)


_decoder = msgspec.msgpack.Decoder(LeaderRow)


def decode_row(data):
    """Return the LeaderRow decoded from ``data``, or None if it is malformed."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def on_heartbeat(
    state,
    now,
    address,
    store_age_s,
    token,
    version=None,
    interval_s=0.0,
    strong_node_known=True,
):
    """Record a heartbeat of the leader; returns False if it is from an older leader.

    ``version`` is the version of the leader's row after its last renewal,
    ``interval_s`` the time until the next heartbeat. ``strong_node_known`` is whether
    the leader knows another node that is not weak.
    """
    if token < known_token(state):
        return False
    state.leader_seen_at = now
    state.strong_node_known = strong_node_known
    state.heartbeat_timeout_s = max(
        HEARTBEAT_TIMEOUT_S, HEARTBEAT_TIMEOUT_INTERVALS * interval_s
    )
    state.store_age_s = store_age_s
    state.heartbeat_token = token
    if version != state.heartbeat_version:
        state.heartbeat_version, state.heartbeat_version_at = version, now
    state.leader_address = address
    return True


def known_token(state):
    """Return the highest token of a leader that this node has heard of; 0 if none."""
    return max(state.row.token if state.row else 0, state.heartbeat_token or 0)


def on_leader_named(state, now, address, token):
    """Note that another node hears from this leader; False if it is a former one."""
    known = known_token(state)
    if state.role != FOLLOWER or token < known:
        return False
    if token > known:
        # Allow it time for its first heartbeat; what was known is of the former leader.
        state.leader_seen_at, state.store_age_s = now, 0.0
        state.heartbeat_timeout_s = HEARTBEAT_TIMEOUT_S
        state.heartbeat_token = token
    state.leader_address = address
    return True


def is_leader_silent(state, now):
    """Return whether the leader's heartbeats are overdue."""
    return now - state.leader_seen_at >= state.heartbeat_timeout_s


def reports_outage(state, now):
    """Return whether the leader is there and says that it cannot reach the store."""
    return not is_leader_silent(state, now) and state.store_age_s >= STORE_STALE_S


def on_leader_resigned(state, now, token):
    """Make the row claimable at once: the leader resigned and chose this node.

    ``token`` is the token of the resigned leader; a former one is ignored.
    """
    if token < known_token(state):
        return
    state.heartbeat_token = token
    state.store_age_s = STORE_STALE_S
    state.leader_seen_at = now
    state.last_request_at = None


def tick(state, now):
    """Return the effects that are due: a renewal on the leader, a read elsewhere."""
    if state.request_pending:
        return []
    if state.role == LEADER:
        if state.leaving:
            # A renewal would change the row's version, so that the successor's claim
            # would fail.
            return []
        if (
            state.last_request_at is None
            or now - state.last_request_at >= RENEW_INTERVAL_S
        ):
            state.request_pending = True
            state.last_request_at = now
            row = state.row._replace(renewals=state.row.renewals + 1)
            return [
                RenewLeadership(
                    row, state.version, lease_marks.renewed_mark(state, now)
                )
            ]
        return []
    silent = is_leader_silent(state, now) or state.store_age_s >= SUSPECT_AGE_S
    due = (
        state.last_request_at is None or now - state.last_request_at >= POLL_INTERVAL_S
    )
    if state.leaving or state.role != FOLLOWER or not silent or not due:
        return []
    state.request_pending = True
    state.last_request_at = now
    return [ReadLeader()]


def on_row_read(state, now, found, mark_data=None):
    """Process a read of the row and return the effects.

    ``found`` is (value, version), (None, 0) if the row is absent, or None if the read
    failed. ``mark_data`` is the value of the row with the LeaseMark, if it exists.
    """
    state.request_pending = False
    if found is None:
        state.read_failed_at = now
    else:
        state.read_at = now
    if found is None or state.role != FOLLOWER:
        return []
    value, version = found
    row = decode_row(value) if value is not None else None
    if version != state.version:
        if row is not None and row.token != state.heartbeat_token:
            # Allow a leader that is new to this node time for its first heartbeat.
            state.leader_seen_at, state.store_age_s = now, 0.0
            state.heartbeat_timeout_s = HEARTBEAT_TIMEOUT_S
            state.leader_address = row.address
        state.row, state.version, state.changed_at = row, version, now
        if version == state.heartbeat_version:
            # The row was not renewed since a heartbeat that named this version.
            state.changed_at = state.heartbeat_version_at
    if state.leaving or not _may_claim(state, now, row):
        state.claimable_since = None
        return []
    if state.claimable_since is None:
        state.claimable_since = now
    waits = state.weak and state.strong_node_known
    if waits and now - state.claimable_since < WEAK_NODE_DELAY_S:
        return []
    token = row.token + 1 if row is not None else 1
    state.role = CLAIMING
    state.request_pending = True
    state.claim_sent_at = now
    if row is None or row != state.lost_claim:
        state.claimed_from = lease_marks.former_leader(
            row, version, mark_data, state.changed_at
        )
    claim = LeaderRow(state.node, state.incarnation, state.address, token)
    return [ClaimLeadership(claim, version)]


def _may_claim(state, now, row):
    if row is None:
        return True
    if row.node == state.node:
        # Written by an earlier process of this node, or by a claim of this process
        # whose answer was lost.
        return True
    if row.token == state.heartbeat_token and state.store_age_s >= STORE_STALE_S:
        # The leader itself reports that it cannot renew. If this node could not reach
        # the store either, the outage may just have ended: let the leader renew first.
        read_failed_at = state.read_failed_at
        return read_failed_at is None or now - read_failed_at >= OUTAGE_GRACE_S
    return now - state.changed_at >= LEASE_S + state.jitter_s


def on_claim_result(state, now, claim, version):
    """Process the result of a claim; returns whether this node leads now.

    ``version`` is the new version of the row, or None if the claim was not applied.
    """
    state.request_pending = False
    state.lost_claim = claim if version is None else None
    if version is None or claim.token < state.outranked_by:
        state.role = FOLLOWER
        return False
    state.role = LEADER
    state.confirmed_at = state.claim_sent_at
    state.former = state.claimed_from
    state.former_leases_end_at = None
    state.expiry_recorded = state.former is None
    state.silent_leases, state.silent_recorded = {}, False
    state.row, state.version, state.changed_at = claim, version, now
    state.renewed_at = state.last_request_at = now
    state.leader_address = state.address
    return True


def on_renewal_result(state, now, renewal, outcome, version):
    """Process the result of a renewal; returns whether this node still leads.

    ``outcome`` is ``ok``, ``held`` if the row has an earlier renewal of this node,
    ``lost`` if another node holds the row, or ``failed`` if the store gave no usable
    answer.
    """
    state.request_pending = False
    if state.role != LEADER:
        return False
    if outcome in ("ok", "held"):
        state.row, state.version, state.renewed_at = renewal.row, version, now
        # A successor counts from when it saw the row's last version, which may have
        # been before a request that did not renew it.
        if outcome == "ok" and state.last_request_at is not None:
            state.confirmed_at = state.last_request_at
        if renewal.mark is not None:
            lease_marks.on_mark_written(state, renewal.mark)
    elif outcome == "lost":
        step_down(state, now)
        return False
    return True


def step_down(state, now):
    """Become a follower again because another node leads."""
    state.role = FOLLOWER
    state.version = None
    state.row = None
    state.leader_address = None
    state.heartbeat_timeout_s = HEARTBEAT_TIMEOUT_S
    state.leader_seen_at = now - HEARTBEAT_TIMEOUT_S
    state.last_request_at = None
