"""Requests to other nodes, and what is known of the leader's jobs from its messages."""

from typing import Any, NamedTuple

from .inserts import ACCEPTED, REFUSED, TAKEN, UNKNOWN
from .leadership import is_leader_silent
from .log import get_logger
from .messages import (
    CancelReply,
    CancelRequest,
    InsertReply,
    InsertRequest,
    StateReply,
    StateRequest,
    WorkspaceCancelRequest,
    WorkspaceStateRequest,
)
from .node_inserts import LEADER_STORE_FRESH_S
from .peer_clocks import PeerClocks
from .staged_jobs import CANCELLED, COMPLETED, FAILED, QUEUED, RUNNING
from .start_relay import Payloads

__all__ = [
    "PeerState",
    "drop_reply",
    "give_up",
    "has_open_requests",
    "on_reply",
    "send_request",
    "tick",
]

log = get_logger("node_requests")

# A read of the leader's row is recent within this time: followers read it every 0.25 s
# while the leader cannot renew it.
RECENT_READ_S = 0.5
# Each process numbers its requests from a random start of this many bits, so that a
# reply to a former process at the same address has no number that this one uses.
# Numbers must stay below 2**63 on the wire.
START_BITS = 62
REPLY_KINDS = {
    CancelRequest: CancelReply,
    InsertRequest: InsertReply,
    StateRequest: StateReply,
    WorkspaceCancelRequest: CancelReply,
    WorkspaceStateRequest: StateReply,
}
# Kind of reply -> values that it may have.
REPLY_VALUES = {
    CancelReply: (True, False, None),
    InsertReply: (ACCEPTED, REFUSED, TAKEN, UNKNOWN),
    StateReply: (QUEUED, RUNNING, COMPLETED, FAILED, CANCELLED, "", None),
}


class OpenRequest(NamedTuple):
    """An outstanding request; ``on_reply`` is called once, with the reply or None.

    ``to_leader`` says that ``address`` was the leader's.
    """

    on_reply: Any
    deadline: float
    address: str
    to_leader: bool
    reply_kind: type


class PeerState:
    """Outstanding requests to other nodes, and the leader's latest information."""

    def __init__(self, rng):
        self.first_number = rng.getrandbits(START_BITS)
        self.last_number = self.first_number
        # Request number -> OpenRequest.
        self.outstanding_requests = {}
        # Queue name -> number of jobs that have not started.
        self.pending = {}
        self.pending_at = None
        # (job id, workspace of the caller) -> final state, cached.
        self.final_states = {}
        # Addresses of the other nodes.
        self.peers = []
        self.payloads = Payloads()
        self.clocks = PeerClocks()


def send_request(node, address, make, limit_s, on_reply):
    """Send the message ``make(number)``; ``on_reply(None)`` after ``limit_s``."""
    peer_state = node.peer_state
    peer_state.last_number += 1
    request_number = peer_state.last_number
    message = make(request_number)
    peer_state.outstanding_requests[request_number] = OpenRequest(
        on_reply,
        node.deps.now() + limit_s,
        address,
        address == node.leadership.leader_address,
        REPLY_KINDS[type(message)],
    )
    if not node.peers.send(address, message):
        _complete(node, request_number, None)


def on_reply(node, envelope, reply):
    """Pass a reply to the request that it answers, or drop it if there is none."""
    request_number, value = reply
    peer_state = node.peer_state
    request = peer_state.outstanding_requests.get(request_number)
    if request is None:
        own = peer_state.first_number < request_number <= peer_state.last_number
        drop_reply(envelope, "given_up" if own else "not_asked")
    elif type(reply) is not request.reply_kind:
        drop_reply(envelope, "wrong_kind")
    elif value not in REPLY_VALUES[request.reply_kind]:
        drop_reply(envelope, "unknown_value")
    else:
        _complete(node, request_number, value)


def drop_reply(envelope, reason):
    """Log that a reply was dropped: it answers no question of this process."""
    kind = type(envelope.message).__name__
    log("info", "reply_dropped", kind=kind, sender=envelope.sender, reason=reason)


def _complete(node, request_number, value):
    """Pass the reply to a request on; None stands for no reply."""
    request = node.peer_state.outstanding_requests.pop(request_number, None)
    if request is not None:
        request.on_reply(value)


def give_up(node, address):
    """End the requests to ``address``, whose messages do not arrive."""
    for request_number, request in list(node.peer_state.outstanding_requests.items()):
        if request.address == address:
            _complete(node, request_number, None)


def tick(node):
    """Give up requests that timed out, or whose leader is gone or lost the store.

    A request to a leader that another has replaced is given up, too.
    """
    now = node.deps.now()
    state = node.leadership
    silent = is_leader_silent(state, now)
    # ``stuck``: the leader cannot reach the store, but this node has just reached it.
    store_reached = state.read_at is not None and now - state.read_at <= RECENT_READ_S
    store_healthy = not (node.health.is_failing or node.health.is_slow)
    stuck = (
        state.store_age_s >= LEADER_STORE_FRESH_S and store_reached and store_healthy
    )
    for request_number, request in list(node.peer_state.outstanding_requests.items()):
        address, to_leader = request.address, request.to_leader
        # A former leader may be frozen or gone; the new one can be asked instead.
        replaced = to_leader and state.leader_address not in (None, address)
        overdue = now >= request.deadline
        if overdue or (to_leader and (silent or stuck)) or replaced:
            _complete(node, request_number, None)


def has_open_requests(node):
    """Return whether a request to another node is outstanding."""
    return bool(node.peer_state.outstanding_requests)
