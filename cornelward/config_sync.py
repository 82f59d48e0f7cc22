"""Core: how certain a node is of its configuration version, and when it asks others.

A version is confirmed as the newest one only by answers to this process's own
questions, as of a time that does not depend on how long the answer was under way: the
answer may have waited on a link, or in a socket while the process was paused.
"""

__all__ = [
    "ConfigSync",
    "ask_due",
    "behind_s",
    "is_behind",
    "is_confirmed",
    "is_outdated",
    "note_adopted",
    "note_confirmed",
    "note_heard",
    "note_lacking",
    "note_progress",
]

# A node that is behind waits a random part of this for its own feed: pulls are spread.
PULL_SPREAD_S = 0.3
# An unanswered pull is repeated after this time, and after twice as long once several
# were: the answers may only be slow, and repeated ones delay all others on the link.
PULL_RETRY_S = 0.4
QUICK_PULLS = 3
# A node whose version was not confirmed for longer than its own feed takes asks another
# one, as often as ASK_INTERVAL_S.
UNSURE_AFTER_S = 1.2
ASK_INTERVAL_S = 0.6


class ConfigSync:
    """What a node knows about configuration versions; times are on the node's clock.

    ``version`` is that of the document in force, 0 if there is none. ``heard_version``
    is the highest that another node named, ``source`` the address of that node.
    """

    def __init__(self, now):
        self.version = 0
        # When this version was last known to be the newest in the store.
        self.confirmed_at = None
        self.heard_version = 0
        self.source = ""
        # Newer version -> when it was first heard of.
        self.heard_at = {}
        # When a node last named a newer version.
        self.named_at = None
        # When the next pull is due while this node is behind.
        self.pull_at = None
        self.unanswered_pulls = 0
        self.asked_at = now


def note_adopted(state, version):
    """Note the version of a document that is in force from now on."""
    state.version = version
    state.confirmed_at = None
    state.unanswered_pulls = 0
    state.heard_at = {v: at for v, at in state.heard_at.items() if v > version}
    if state.heard_version <= version:
        state.pull_at = None


def note_confirmed(state, version, at):
    """Note that ``version`` was the newest at ``at``."""
    if version < state.version or is_behind(state):
        return
    if state.confirmed_at is None or at > state.confirmed_at:
        state.confirmed_at = at


def note_heard(state, now, address, version, rng):
    """Note that the node at ``address`` has ``version`` in force."""
    if version <= state.version:
        return
    if version > state.heard_version:
        state.heard_version, state.source = version, address
    state.heard_at.setdefault(version, now)
    state.named_at = now
    if state.pull_at is None:
        state.pull_at = now + PULL_SPREAD_S * rng.random()


def note_progress(state, now, address):
    """Note that a part of a newer document came from a node; it is asked for the next.

    If its answer is missing, it is asked once more before others are.
    """
    state.source = address
    state.unanswered_pulls = 0
    state.pull_at = now + PULL_RETRY_S


def note_lacking(state, now):
    """Note that the node that was asked has no newer document: ask another one."""
    if is_behind(state):
        state.unanswered_pulls = 0
        state.pull_at = now


def is_behind(state):
    """Return whether another node has a newer version."""
    return state.heard_version > state.version


def behind_s(state, now):
    """Return for how long this node has known of a newer version; 0.0 if of none."""
    return now - min(state.heard_at.values(), default=now)


def is_outdated(state, now, limit_s):
    """Return whether this node has lacked a newer version for ``limit_s``.

    It has not if no node has named one for twice as long: the nodes that had it may be
    gone while the store is down, and then no node could serve.
    """
    if not state.heard_at or now - state.named_at > 2 * limit_s:
        return False
    return behind_s(state, now) >= limit_s


def is_confirmed(state, now, limit_s):
    """Return whether the version was known to be the newest within ``limit_s``."""
    if state.confirmed_at is None or is_behind(state):
        return False
    return now - state.confirmed_at <= limit_s


def ask_due(state, now, others, rng):
    """Return the address to ask for a newer document now, or None.

    A node that is behind asks the node that named the version first, then random
    ``others``; a node whose version is not confirmed asks random ones.
    """
    if is_behind(state):
        if state.pull_at is None or now < state.pull_at:
            return None
        state.unanswered_pulls += 1
        is_quick = state.unanswered_pulls <= QUICK_PULLS
        state.pull_at = now + (PULL_RETRY_S if is_quick else 2 * PULL_RETRY_S)
        source, state.source = state.source, ""
        if source:
            return source
    elif (
        is_confirmed(state, now, UNSURE_AFTER_S)
        or now - state.asked_at < ASK_INTERVAL_S
    ):
        return None
    state.asked_at = now
    return rng.choice(others) if others else None
