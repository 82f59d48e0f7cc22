"""Core: bounds on what the clocks of other processes show.

An order names a time on its sender's clock after which it must not be carried out. How
long it was under way cannot be told from the order alone: the receiver asks for the
sender's clock now and then, and counts from when it asked.
"""

import math
from typing import NamedTuple

__all__ = ["PeerClocks", "forget_unused", "is_query_due", "latest", "note_reply"]

# A bound is renewed after this time, as clocks drift and processes may pause.
RENEWED_AFTER_S = 10.0
# An unanswered query is repeated after this time.
RETRY_S = 0.8
# Bounds that were not renewed for so long are dropped.
KEPT_S = 60.0


class _Bound(NamedTuple):
    """``ahead_s`` is how far the peer's clock is ahead of the own one at most."""

    incarnation: int
    ahead_s: float
    asked_at: float


class PeerClocks:
    """Bounds by the peer's name, and when each was last asked; times on own clock."""

    def __init__(self):
        self.bounds = {}
        self.asked_at = {}


def is_query_due(state, now, name, incarnation):
    """Return whether to ask the peer for its clock, and note that it is asked."""
    bound = state.bounds.get(name)
    is_known = bound is not None and bound.incarnation == incarnation
    if is_known and now - bound.asked_at < RENEWED_AFTER_S:
        return False
    if now - state.asked_at.get(name, -math.inf) < RETRY_S:
        return False
    state.asked_at[name] = now
    return True


def note_reply(state, name, incarnation, asked_at, clock):
    """Note that the peer's clock showed ``clock`` after ``asked_at``."""
    state.bounds[name] = _Bound(incarnation, clock - asked_at, asked_at)


def latest(state, now, name, incarnation):
    """Return the latest that the peer's clock may show now, or None if unknown."""
    bound = state.bounds.get(name)
    if bound is None or bound.incarnation != incarnation:
        return None
    return now + bound.ahead_s


def forget_unused(state, now):
    """Drop what is known of peers that were not asked for long."""
    for name, asked_at in list(state.asked_at.items()):
        if now - asked_at > KEPT_S:
            state.asked_at.pop(name)
            state.bounds.pop(name, None)
