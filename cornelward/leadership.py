"""Core: which node leads.

The leader renews one row of the store. Time only decides when another node claims the
row; that only one leader can act is ensured by fences and tokens (``commits``).
"""

from typing import NamedTuple

import msgspec

__all__ = [
    "STORE_STALE_S",
    "ClaimLeadership",
    "LeaderRow",
    "Leadership",
    "ReadLeader",
    "RenewLeadership",
    "on_claim_result",
    "on_heartbeat",
    "on_leader_resigned",
    "on_renewal_result",
    "on_row_read",
    "tick",
]

RENEW_S = 0.4
# Beats come each 0.3 s; one may be lost and another late.
HEARTBEAT_TIMEOUT_S = 0.8
# A leader that has not reached the store for this long may be replaced at once by a
# node that reaches it: renewals come twice a second, and a slow store takes some 0.5 s.
STORE_STALE_S = 1.4
# Above this age followers read the row, to know whether they reach the store.
SUSPECT_AGE_S = 0.8
POLL_S = 0.25
# A row that was not renewed for this long, while no beat came, may be claimed.
LEASE_S = 0.7
# Candidates wait a random part of this, so that seldom two claim at once.
JITTER_S = 0.2
# A node with little processor time or a thin link claims only what others leave.
WEAK_DELAY_S = 1.5
# After an outage that this node saw too, the leader gets this long to renew.
OUTAGE_GRACE_S = 0.7

FOLLOWER, CLAIMING, LEADER = "follower", "claiming", "leader"


class LeaderRow(NamedTuple):
    """The leader's row."""

    node: str
    incarnation: int
    address: str
    token: int
    renewals: int = 0


class ReadLeader(NamedTuple):
    """Read the leader's row; the answer goes to ``row_read``."""


class ClaimLeadership(NamedTuple):
    """Write ``row`` over version ``expected``; goes to ``claim_answered``."""

    row: LeaderRow
    expected: int


class RenewLeadership(NamedTuple):
    """Write ``row`` over version ``expected``; goes to ``renewal_answered``."""

    row: LeaderRow
    expected: int


class Leadership:
    """State of one node's part in leadership."""

    def __init__(self, node, incarnation, address, now, rng, weak=False):
        self.node = node
        self.incarnation = incarnation
        self.address = address
        self.role = FOLLOWER
        self.jitter_s = rng.random() * JITTER_S
        self.weak = weak
        # When the row was first found free to be claimed.
        self.claimable_since = None
        # When a read of the row failed last.
        self.read_failed_at = None
        # When one succeeded last.
        self.read_at = None
        self.leader_seen_at = now - HEARTBEAT_TIMEOUT_S
        self.store_age_s = 0.0
        self.heartbeat_token = None
        # Version of the row that beats name, and when the first of them came.
        self.heartbeat_version = None
        self.heartbeat_version_at = None
        self.leader_address = None
        self.row = None
        self.version = None
        self.changed_at = None
        self.request_pending = False
        self.last_request_at = None
        self.renewed_at = None
        self.leaving = False


def encode_row(row):
    """Return the row's value."""
    return msgspec.msgpack.encode(row)


_decoder = msgspec.msgpack.Decoder(LeaderRow)


def decode_row(data):
    """Return the LeaderRow in a value, or None if it is not one."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def on_heartbeat(state, now, address, store_age_s, token, version=None):
    """Take in a leader's beat; one of an older leader is ignored.

    ``version`` is that of the leader's row after its last renewal.
    """
    if state.row is not None and token < state.row.token:
        return False
    state.leader_seen_at = now
    state.store_age_s = store_age_s
    state.heartbeat_token = token
    if version != state.heartbeat_version:
        state.heartbeat_version, state.heartbeat_version_at = version, now
    state.leader_address = address
    return True


def on_leader_resigned(state, now, token):
    """Take over at once: the leader with ``token`` has stopped and chose this node."""
    state.heartbeat_token = token
    state.store_age_s = STORE_STALE_S
    state.leader_seen_at = now
    state.last_request_at = None


def tick(state, now):
    """Return the effects that are due."""
    if state.request_pending:
        return []
    if state.role == LEADER:
        if state.leaving:
            # A renewal would make the successor's claim fail.
            return []
        if state.last_request_at is None or now - state.last_request_at >= RENEW_S:
            state.request_pending = True
            state.last_request_at = now
            row = state.row._replace(renewals=state.row.renewals + 1)
            return [RenewLeadership(row, state.version)]
        return []
    silent = (
        now - state.leader_seen_at >= HEARTBEAT_TIMEOUT_S
        or state.store_age_s >= SUSPECT_AGE_S
    )
    due = state.last_request_at is None or now - state.last_request_at >= POLL_S
    if state.leaving or state.role != FOLLOWER or not silent or not due:
        return []
    state.request_pending = True
    state.last_request_at = now
    return [ReadLeader()]


def on_row_read(state, now, found):
    """Take in (value, version) of the row, (None, 0) if absent, None on failure."""
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
            # A leader that was not heard yet gets time for its first beat.
            state.leader_seen_at, state.store_age_s = now, 0.0
            state.leader_address = row.address
        state.row, state.version, state.changed_at = row, version, now
        if version == state.heartbeat_version:
            # Not renewed since a beat that came before the silence.
            state.changed_at = state.heartbeat_version_at
    if state.leaving or not _may_claim(state, now, row):
        state.claimable_since = None
        return []
    if state.claimable_since is None:
        state.claimable_since = now
    if state.weak and now - state.claimable_since < WEAK_DELAY_S:
        return []
    token = row.token + 1 if row is not None else 1
    state.role = CLAIMING
    state.request_pending = True
    claim = LeaderRow(state.node, state.incarnation, state.address, token)
    return [ClaimLeadership(claim, version)]


def _may_claim(state, now, row):
    if row is None:
        return True
    if row.node == state.node:
        # Left by an earlier life of this node, or a claim whose answer was lost.
        return True
    if row.token == state.heartbeat_token and state.store_age_s >= STORE_STALE_S:
        # The leader says itself that it cannot renew; if nobody could, it may now.
        read_failed_at = state.read_failed_at
        return read_failed_at is None or now - read_failed_at >= OUTAGE_GRACE_S
    return now - state.changed_at >= LEASE_S + state.jitter_s


def on_claim_result(state, now, claim, version):
    """Take in the version of a claim that applied, or None; returns whether it did."""
    state.request_pending = False
    if version is None:
        state.role = FOLLOWER
        return False
    state.role = LEADER
    state.row, state.version, state.changed_at = claim, version, now
    state.renewed_at = state.last_request_at = now
    state.leader_address = state.address
    return True


def on_renewal_result(state, now, renewal, outcome, version):
    """Take in ``ok``, ``lost`` or ``failed``; returns whether this node still leads."""
    state.request_pending = False
    if state.role != LEADER:
        return False
    if outcome == "ok":
        state.row, state.version, state.renewed_at = renewal.row, version, now
    elif outcome == "lost":
        step_down(state, now)
        return False
    return True


def step_down(state, now):
    """Follow again, after a successor was seen."""
    state.role = FOLLOWER
    state.version = None
    state.row = None
    state.leader_address = None
    state.leader_seen_at = now - HEARTBEAT_TIMEOUT_S
    state.last_request_at = None
