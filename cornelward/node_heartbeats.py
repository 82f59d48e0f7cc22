"""Heartbeats of the leading node, and the nodes that it knows from their hellos."""

from . import advising, dispatch, heartbeats, leadership, node_config, node_starts
from .messages import LeaderBeat

__all__ = [
    "on_row_renewed",
    "on_silent_way",
    "send_first_heartbeat",
    "send_heartbeats",
    "update_advice_nodes",
]

# A node that sent no hello for this long gets no heartbeats and makes no advice calls.
# Nodes send one each 0.8 s, or with each heartbeat where those are rarer.
NODE_TIMEOUT_S = 2.0
# A node is also kept for this many intervals of its heartbeats.
KEPT_INTERVALS = 2.5


def update_advice_nodes(node, term):
    """Let the nodes make advice calls that are known, reached and not leaving."""
    if term.dispatcher is not None:
        names = [
            name
            for name, (address, _) in term.nodes.items()
            if name not in term.leaving and not node.peers.is_silent(address)
        ]
        advising.set_nodes(term.dispatcher.advising, names)


def on_silent_way(node, address):
    """Take what was sent to the node at ``address`` for lost, and go other ways."""
    term = node.leader
    if term.dispatcher is None:
        return
    for name, (known, _) in term.nodes.items():
        if known == address:
            advising.give_up_calls(term.dispatcher.advising, name)
    term.dispatcher.needs_plan = True
    update_advice_nodes(node, term)
    node_starts.give_up_relayed(node, term, address)
    node.deps.schedule_step(node)


def on_row_renewed(node):
    """Report the row's new version to the standbys at once.

    A follower that knows it can claim an unrenewed row at its first read of it.
    """
    term, state = node.leader, node.leadership
    term.renewals.append((state.confirmed_at, state.version))
    if term.dispatcher is not None and not term.closed:
        node_starts.confirm_term(node, term)
        term.beats.standbys_at = None
        send_heartbeats(node, term, node.deps.now())


def send_heartbeats(node, term, now, urgent=False):
    """Send the heartbeats that are due, and forget nodes that timed out."""
    peers = _known_peers(node, term, now)
    due = heartbeats.groups_due(term.beats, now, node.address, peers, urgent)
    if not due:
        return
    _forget_silent_nodes(node, term, now, len(peers))
    update_advice_nodes(node, term)
    beat = _beat(node, term, now, peers)
    node.deps.set_pending_counts(node, beat.pending)
    node.peer_state.peers = [peer.address for peer in peers]
    for group in due:
        message = beat._replace(nodes=group.nodes, interval_s=group.interval_s)
        others = [a for a in group.addresses if a != term.successor]
        node.peers.send_all(others, message)
        if len(others) < len(group.addresses):
            # A stale store age lets the successor claim the row, and claim again if a
            # claim fails.
            stale = message._replace(store_age_s=leadership.STORE_STALE_S)
            node.peers.send(term.successor, stale)
        node.peers.send_all(group.addresses, node_config.version_message(node))


def send_first_heartbeat(node, term, address):
    """Send a heartbeat at once to a node that this leader did not know."""
    if term.dispatcher is not None:
        now = node.deps.now()
        beat = _beat(node, term, now, _known_peers(node, term, now))
        node.peers.send(address, beat)
        node.peers.send(address, node_config.version_message(node))


def _beat(node, term, now, peers):
    """Return a LeaderBeat without addresses, with the interval of the followers."""
    store_age_s = now - node.leadership.renewed_at
    if term.store_refusing:
        store_age_s = max(store_age_s, leadership.STORE_STALE_S)
    return LeaderBeat(
        node.address,
        term.token,
        store_age_s,
        dispatch.pending_by_queue(term.dispatcher),
        (),
        node.leadership.version,
        heartbeats.follower_interval_s(len(peers)),
        any(not (peer.weak or peer.leaving) for peer in peers),
    )


def _known_peers(node, term, now):
    """Return the Peers that get heartbeats; a new term adds the inherited ones."""
    found = {
        address: heartbeats.Peer(address, name in term.weak, name in term.leaving)
        for name, (address, _) in term.nodes.items()
    }
    if now - term.started_at < NODE_TIMEOUT_S:
        for address in term.inherited_peers:
            found.setdefault(address, heartbeats.Peer(address))
    found.pop(node.address, None)
    return list(found.values())


def _forget_silent_nodes(node, term, now, count):
    interval_s = heartbeats.follower_interval_s(count)
    limit_s = max(NODE_TIMEOUT_S, KEPT_INTERVALS * interval_s)
    for name, (address, last_hello_at) in list(term.nodes.items()):
        if last_hello_at is not None and now - last_hello_at > limit_s:
            del term.nodes[name]
            node.peers.disconnect(address)
