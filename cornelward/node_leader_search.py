"""Finds the leader through other nodes, where neither heartbeats nor the store tell it.

A leader knows the nodes that the former one named and those that sent it a hello. A
node that the store turns away cannot read who leads: it sends its hello to other nodes
until one of them names the leader.
"""

from . import leadership
from .messages import LeaderNotice

__all__ = ["name_leader", "on_notice", "tick"]

# Interval of the hellos of a node that searches.
SEARCH_INTERVAL_S = 0.4
# A node that read the leader's row within this time need not search.
RECENT_READ_S = 1.0


def tick(node):
    """Send a hello to a random node if the leader is silent and its row unreadable."""
    now, state = node.deps.now(), node.leadership
    if node.leader is not None or not leadership.is_leader_silent(state, now):
        return
    if state.read_at is not None and now - state.read_at <= RECENT_READ_S:
        return
    if now - node.searched_at >= SEARCH_INTERVAL_S and node.peer_state.peers:
        node.searched_at = now
        node.deps.send_hello(node, node.rng.choice(node.peer_state.peers))


def name_leader(node, address):
    """Tell the node at ``address`` who leads, if this node has heard of it lately."""
    state = node.leadership
    if leadership.is_leader_silent(state, node.deps.now()):
        return
    if state.leader_address not in (None, address, node.address):
        token = leadership.known_token(state)
        node.peers.send(address, LeaderNotice(state.leader_address, token))


def on_notice(node, envelope, notice):
    """Send a hello to the leader that another node named."""
    if node.leader is None and notice.address != node.address:
        now = node.deps.now()
        if leadership.on_leader_named(
            node.leadership, now, notice.address, notice.token
        ):
            node.deps.send_hello(node, notice.address)
