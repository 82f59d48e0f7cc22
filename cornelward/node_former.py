"""Until when leases granted by former leaders may hold, on a node that takes over.

Each leader bounds the end of the leases that it grants, see
``lease_grants.GRANT_HORIZON_S``. The process at the former leader's address is asked to
confirm that it grants none any more: the former leader itself, or a later process. Its
leases end soon after that.
"""

import math

from . import dispatch, dispatch_polls
from .lease_grants import FORMER_LEASE_S, FORMER_MARGIN_S
from .log import get_logger
from .messages import FormerLeaderQuery, FormerLeaderReply

__all__ = [
    "granted_lease_s",
    "on_query",
    "on_renewal_applied",
    "on_reply",
    "prepare_mark",
    "take_recorded_leases",
    "tick",
    "unknown_lease_s",
]

log = get_logger("node_former")

# Worker leases are renewed with every poll. They outlast a takeover and a crash of all
# nodes.
LEASE_S = 6.0
# Earlier releases extended leases for this long without the store.
EARLIER_OUTAGE_S = 12.0
QUERY_INTERVAL_S = 0.3


def granted_lease_s(settings):
    """Return how long after its sending a request to a worker extends the lease."""
    return min(LEASE_S, settings.longest_lease_s)


def unknown_lease_s(node, term, now):
    """Return how long leases of former leaders may hold for a leader that begins now.

    The rows are fenced off, so that no former leader can have led later. Leases that
    are bounded by the former leader's row count from when that was last seen renewed.
    """
    former = node.leadership.former
    if former is None:
        return 0.0
    if not former.is_bounded:
        longest_s = node.settings.longest_lease_s
        return EARLIER_OUTAGE_S + longest_s * 1.02 + FORMER_MARGIN_S
    ends_at = now + FORMER_LEASE_S
    if former.leases_end_at is not None:
        ends_at = former.leases_end_at
    return max(0.0, min(ends_at, _confirmed_end(node, term)) - now)


def _confirmed_end(node, term):
    """Return the end of all former leases that is known by a confirmation."""
    state = node.leadership
    earlier_s = state.former.earlier_leases_s
    if term.former_ended_at is None or earlier_s is None:
        return math.inf
    lease_s = granted_lease_s(node.settings)
    ends_at = term.former_ended_at + lease_s + FORMER_MARGIN_S
    # The row was read before the claim was sent.
    return max(ends_at, state.claim_sent_at + earlier_s)


def tick(node, term, now):
    """Ask the former leader to confirm its end; note when its leases have expired."""
    state, dispatcher = node.leadership, term.dispatcher
    if dispatcher is not None:
        state.former_leases_end_at = dispatcher.former_leases_end_at
        if now >= dispatcher.former_leases_end_at:
            _note_expiry(node, term, now)
            return
    if not _awaits_confirmation(node, term):
        return
    row = state.former.row
    if (row.node, row.address) == (node.settings.node, node.address):
        # An earlier process at this address ended before this one began.
        is_own = row.incarnation == node.incarnation
        _note_end(node, term, now if is_own else node.began_at)
    elif dispatcher is not None and now >= term.ask_former_at:
        term.ask_former_at = now + QUERY_INTERVAL_S
        node.peers.send(row.address, FormerLeaderQuery(node.address, term.token))


def prepare_mark(node):
    """Let the next renewal record the leases of the workers that are silent now."""
    term = node.leader
    if term is not None and term.dispatcher is not None:
        silent = dispatch_polls.record_silent_leases(term.dispatcher, node.deps.now())
        node.leadership.silent_leases = silent


def on_renewal_applied(node, renewal):
    """Let workers that are not in the record (any more) get leases again.

    A renewal without a mark was made when the record had none.
    """
    term = node.leader
    if term is None or term.dispatcher is None or term.token != renewal.row.token:
        return
    recorded = renewal.mark.silent if renewal.mark is not None else {}
    dispatch_polls.on_leases_recorded(term.dispatcher, recorded)


def take_recorded_leases(node, term):
    """Let the dispatcher use what the former leader recorded of silent workers."""
    state = node.leadership
    if state.former is not None:
        recorded = dict(state.former.silent)
        read_at = state.claim_sent_at
        dispatch_polls.take_recorded_leases(term.dispatcher, read_at, recorded)


def _note_expiry(node, term, now):
    if term.former_leases_expired:
        return
    term.former_leases_expired = True
    log("info", "former_leases_expired", after_s=round(now - term.started_at, 2))
    known = [address for address, _ in term.nodes.values()]
    if _awaits_confirmation(node, term):
        address = node.leadership.former.row.address
        if address not in known:
            node.peers.disconnect(address)


def _awaits_confirmation(node, term):
    former = node.leadership.former
    if former is None or term.former_ended_at is not None:
        return False
    return former.earlier_leases_s is not None


def _note_end(node, term, ended_at):
    term.former_ended_at = ended_at
    log("info", "former_leader_ended", after_s=round(ended_at - term.started_at, 2))
    if term.dispatcher is not None:
        dispatch.bound_former_leases(term.dispatcher, _confirmed_end(node, term))


def on_query(node, envelope, query):
    """Answer a leader that this process grants nothing under an earlier token."""
    if node.leader is not None and node.leader.token < query.token:
        node.deps.lose_leadership(node, "a later leader has asked")
    state = node.leadership
    state.outranked_by = max(state.outranked_by, query.token)
    reply = FormerLeaderReply(node.address, query.token)
    node.peers.send(query.address, reply)


def on_reply(node, envelope, reply):
    """Note that the process at the former leader's address has confirmed its end."""
    term = node.leader
    if term is None or term.token != reply.token:
        return
    if not _awaits_confirmation(node, term):
        return
    row = node.leadership.former.row
    if (envelope.sender, reply.address) == (row.node, row.address):
        _note_end(node, term, node.deps.now())
