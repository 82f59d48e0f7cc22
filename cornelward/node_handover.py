"""Hands leadership over to another node: of a node that stops, or that is weak."""

from .log import get_logger
from .messages import LeaderResigned

__all__ = ["YIELD_AFTER_S", "resign", "tick"]

log = get_logger("node_leader")

# If a successor has not taken over within this time, the next one is chosen. On a slow
# store its claim and fences take about 1.5 s.
HANDOVER_TIMEOUT_S = 2.0
# A weak node that leads asks a strong one to take over after this time, and another one
# each YIELD_INTERVAL_S if that does not.
YIELD_AFTER_S = 3.0
YIELD_INTERVAL_S = 6.0


def tick(node, term, now):
    """Ask the next node if one that was asked has not taken over, or a strong one."""
    asked_at = term.handover_sent_at
    if asked_at is not None:
        if now - asked_at >= HANDOVER_TIMEOUT_S:
            resign(node)
    elif node.is_weak and now >= term.yield_at and term.dispatcher is not None:
        _yield_to_strong_node(node, term, now)


def resign(node):
    """Ask another node to take over; this one leads until it is fenced off.

    Only one successor at a time is asked, because several would claim at once. Nodes
    that are reached come first, then those that are not weak, then those whose last
    hello is most recent.
    """
    term = node.leader
    now = node.deps.now()
    term.handover_sent_at = now
    others = sorted(
        (
            not node.peers.is_silent(address),
            name not in term.weak,
            last_hello_at,
            address,
        )
        for name, (address, last_hello_at) in term.nodes.items()
        if name != node.settings.node
        and name not in term.leaving
        and address not in term.handover_targets
    )
    if not others:
        log("warning", "resigned", successor=None)
        node.deps.lose_leadership(node, "no other node can take over")
        return
    address = others[-1][-1]
    term.handover_targets.add(address)
    term.successor = address
    log("info", "resigning", successor=address)
    node.peers.send(address, LeaderResigned(term.token))


def _yield_to_strong_node(node, term, now):
    """Ask a strong node to take over; this one leads on until it is fenced off.

    A weak node leads where no strong one was there to claim the row, and would be short
    of processor time for as long as it does.
    """
    strong = [
        address
        for name, (address, _) in term.nodes.items()
        if name not in term.weak
        and name not in term.leaving
        and not node.peers.is_silent(address)
        and address != node.address
    ]
    if strong:
        term.yield_at = now + YIELD_INTERVAL_S
        term.successor = node.rng.choice(strong)
        log("info", "yielding", successor=term.successor)
        node.peers.send(term.successor, LeaderResigned(term.token))
