"""Handlers for the messages that a node receives from other nodes."""

from . import (
    leadership,
    node_cancels,
    node_config,
    node_former,
    node_heartbeats,
    node_inserts,
    node_job_states,
    node_leader,
    node_leader_search,
    node_requests,
    node_starts,
    peer_clocks,
)
from . import node as node_shell
from .messages import (
    AdviceReply,
    AdviceRequest,
    CancelReply,
    CancelRequest,
    ClockQuery,
    ClockReply,
    FormerLeaderQuery,
    FormerLeaderReply,
    InsertReply,
    InsertRequest,
    JobAccepted,
    LeaderBeat,
    LeaderHello,
    LeaderNotice,
    LeaderResigned,
    NodeConfigReply,
    NodeConfigRequest,
    NodeConfigVersion,
    StartOrders,
    StartResults,
    StateReply,
    StateRequest,
    WorkspaceCancelRequest,
    WorkspaceStateRequest,
)

__all__ = ["on_message", "on_silent_way"]


def on_message(node, envelope):
    """Dispatch a message from another node to its handler."""
    node.last_message_at = node.deps.now()
    handler = HANDLERS.get(type(envelope.message))
    if handler is not None:
        handler(node, envelope, envelope.message)


def on_silent_way(node, address):
    """Go other ways with what was sent to ``address`` and gave no answer."""
    node_requests.give_up(node, address)
    if node.leader is not None:
        node_heartbeats.on_silent_way(node, address)


def _on_heartbeat(node, envelope, heartbeat):
    state = node.leadership
    if node.leader is not None and heartbeat.token > node.leader.token:
        node_shell.lose_leadership(node, "another node leads with a higher token")
    now = node.deps.now()
    if not leadership.on_heartbeat(
        state,
        now,
        heartbeat.address,
        heartbeat.store_age_s,
        heartbeat.token,
        heartbeat.row_version,
        heartbeat.interval_s,
        heartbeat.has_strong_node,
    ):
        return
    node_job_states.set_pending_counts(node, heartbeat.pending)
    if heartbeat.nodes:
        node.peer_state.peers = [a for a in heartbeat.nodes if a != node.address]
    _note_incarnation(node, envelope, heartbeat.address)
    node_shell.answer_heartbeat(node, heartbeat)
    _ask_clock(node, envelope, heartbeat.address)


def _ask_clock(node, envelope, address):
    """Ask the leader for its clock if that is due; its start orders need it."""
    now, clocks = node.deps.now(), node.peer_state.clocks
    peer_clocks.forget_unused(clocks, now)
    sender = envelope.sender, envelope.incarnation
    if peer_clocks.is_query_due(clocks, now, *sender):
        node.peers.send(address, ClockQuery(node.address, now))


def _on_clock_query(node, envelope, query):
    reply = ClockReply(query.sent_at, node.deps.now())
    node.peers.send(query.address, reply)


def _on_clock_reply(node, envelope, reply):
    clocks, (sender, incarnation, _) = node.peer_state.clocks, envelope
    if clocks.asked_at.get(sender) != reply.sent_at:
        # Asked by a former process, whose clock may have been another.
        node_requests.drop_reply(envelope, "not_asked")
        return
    peer_clocks.note_reply(clocks, sender, incarnation, reply.sent_at, reply.clock)


def _note_incarnation(node, envelope, address):
    """Reconnect to a node whose incarnation shows that it was restarted.

    The connection to its former process may wait seconds before its next attempt.
    """
    known = node.incarnations.get(envelope.sender)
    node.incarnations[envelope.sender] = envelope.incarnation
    if known is not None and known != envelope.incarnation:
        node.peers.disconnect(address)


def _on_hello(node, envelope, hello):
    _note_incarnation(node, envelope, hello.address)
    if node.leader is not None:
        node_leader.on_hello(node, envelope.sender, hello)
        return
    # The sender searches for the leader, or this node's former process was the leader.
    if hello.address not in node.peer_state.peers:
        node.peer_state.peers.append(hello.address)
    node_leader_search.name_leader(node, hello.address)


def _on_resigned(node, envelope, message):
    leadership.on_leader_resigned(node.leadership, node.deps.now(), message.token)
    node_shell.tick(node)


def _on_accepted(node, envelope, message):
    if node.leader is not None:
        entry, _ = node.leader.nodes.get(envelope.sender, (None, None))
        node_leader.on_job_accepted(node, message.spec, message.version, entry)


def _on_insert_request(node, envelope, message):
    def done(outcome):
        node.peers.send(message.address, InsertReply(message.request_number, outcome))

    node_inserts.insert_for_peer(
        node, message.spec, message.limit_s, message.address, done
    )


def _on_state_request(node, envelope, message):
    caller = getattr(message, "workspace", None)
    state = None
    if node.leader is not None:
        state = node_leader.state_of(node, message.job_id, caller)
    node.peers.send(message.address, StateReply(message.request_number, state))


def _on_cancel_request(node, envelope, message):
    def reply(value):
        node.peers.send(message.address, CancelReply(message.request_number, value))

    if node.leader is None:
        reply(None)
    else:
        caller = getattr(message, "workspace", None)
        node_cancels.cancel(node, message.job_id, reply, caller)


def _on_advice_request(node, envelope, message):
    def done(approved):
        reply = AdviceReply(message.token, message.call_id, approved)
        node.peers.send(message.address, reply)

    node.deps.ask_advice(message.step_name, message.workers, done)


def _on_advice_reply(node, envelope, message):
    if node.leader is not None and message.token == node.leader.token:
        node_leader.on_advice_reply(node, message.call_id, message.approved)
    else:
        node_requests.drop_reply(envelope, "not_asked")


def _on_start_orders(node, envelope, message):
    node_starts.on_start_orders(node, envelope, message)


def _on_start_results(node, envelope, message):
    if node.leader is not None and message.token == node.leader.token:
        node_starts.on_start_results(node, node.leader, message)
    else:
        node_requests.drop_reply(envelope, "not_asked")


HANDLERS = {
    LeaderBeat: _on_heartbeat,
    LeaderHello: _on_hello,
    LeaderNotice: node_leader_search.on_notice,
    LeaderResigned: _on_resigned,
    FormerLeaderQuery: node_former.on_query,
    FormerLeaderReply: node_former.on_reply,
    InsertRequest: _on_insert_request,
    InsertReply: node_requests.on_reply,
    JobAccepted: _on_accepted,
    StateRequest: _on_state_request,
    StateReply: node_requests.on_reply,
    CancelRequest: _on_cancel_request,
    CancelReply: node_requests.on_reply,
    WorkspaceCancelRequest: _on_cancel_request,
    WorkspaceStateRequest: _on_state_request,
    AdviceRequest: _on_advice_request,
    AdviceReply: _on_advice_reply,
    ClockQuery: _on_clock_query,
    ClockReply: _on_clock_reply,
    NodeConfigReply: node_config.on_reply,
    NodeConfigRequest: node_config.on_request,
    NodeConfigVersion: node_config.on_version,
    StartOrders: _on_start_orders,
    StartResults: _on_start_results,
}
