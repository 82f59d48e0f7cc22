"""Core: decides when a call to the store that has no answer is given up.

An answer that has begun to arrive may take long: its size has no limit, and the link of
this process may be slow. Such a call is only given up once nothing more arrives.

A store may be slow, lose single answers, or be silent: it answers nothing and closes no
connection. A call that was lost must be sent again soon, one that is only slow must
not. Load patterns: answers that are lost while leaders change, and the return of a
store after a silence, when every partition waits for a call that was lost in it.
"""

import collections
from typing import NamedTuple

__all__ = [
    "ANSWERED",
    "FAILED",
    "PROBE_TIMEOUT_S",
    "STALL_S",
    "TIMED_OUT",
    "StoreCalls",
    "finish",
    "is_probe_due",
    "is_silent",
    "note_received",
    "overtaken",
    "start",
    "true_as_of",
]

# A call times out after this many times the longest duration of the last ANSWERS_KEPT
# answered calls: soon enough that a lost response does not block the node for long,
# late enough that a slow store does not get the same call twice.
TIMEOUT_FACTOR = 4
TIMEOUT_MIN_S = 0.9
TIMEOUT_MAX_S = 3.0
ANSWERS_KEPT = 8
# A call is not given up as overtaken before this time; the store normally answers
# within 25 ms.
OVERDUE_MIN_S = 0.3
# Time limits of the calls of a feed, beyond their wait, and of probes.
FEED_TIMEOUT_S = 0.8
PROBE_TIMEOUT_S = 0.9

# Longest pause between two arrivals of bytes of one answer.
STALL_S = 0.9

COMMIT, READ, FOLLOW, PROBE = "commit", "read", "follow", "probe"
# Results of a call. FAILED: there was an answer without use, or no connection.
ANSWERED, TIMED_OUT, FAILED = "answered", "timed out", "failed"
# Kinds of calls whose answers show that a call of the kind should have been answered.
# Reads may be quick where commits wait.
OVERTAKING = {
    COMMIT: (COMMIT,),
    READ: (COMMIT, READ),
    FOLLOW: (COMMIT, READ, FOLLOW),
    PROBE: (),
}


class Call(NamedTuple):
    """A call under way; ``wait_s`` is for how long the store may delay its answer.

    ``answered_at`` is when the first bytes of the answer arrived, ``received_at`` when
    the last ones did; None before.
    """

    kind: str
    sent_at: float
    wait_s: float
    answered_at: float | None = None
    received_at: float | None = None


class _Kind:
    """What the last calls of one kind showed."""

    __slots__ = ("answered_sent_at", "limit_s", "raised_at", "taken_s")

    def __init__(self):
        self.taken_s = collections.deque(maxlen=ANSWERS_KEPT)
        self.limit_s = TIMEOUT_MIN_S
        # Calls sent before this time had a lower limit.
        self.raised_at = -1.0
        # When the latest of the answered calls was sent.
        self.answered_sent_at = -1.0


class StoreCalls:
    """Calls under way (number -> Call), by one process, and what the last ones showed.

    All times are seconds of one clock.
    """

    def __init__(self):
        self.kinds = {kind: _Kind() for kind in OVERTAKING}
        self.under_way = {}
        self.last_number = 0
        # Whether a call has timed out since the last answer.
        self.timed_out = False
        self.probed_at = -1.0


def start(state, now, kind, wait_s=0.0):
    """Add a call; returns (its number, its time limit in seconds)."""
    state.last_number += 1
    state.under_way[state.last_number] = Call(kind, now, wait_s)
    if kind == FOLLOW:
        limit_s = wait_s + FEED_TIMEOUT_S
    else:
        limit_s = PROBE_TIMEOUT_S if kind == PROBE else state.kinds[kind].limit_s
    return state.last_number, limit_s


def note_received(state, now, number):
    """Note that bytes of the call's answer have arrived."""
    call = state.under_way.get(number)
    if call is not None:
        first = now if call.answered_at is None else call.answered_at
        state.under_way[number] = call._replace(answered_at=first, received_at=now)


def finish(state, now, number, result):
    """Remove a call; returns the numbers of the calls that are to be given up now."""
    call = state.under_way.pop(number)
    kind = state.kinds[call.kind]
    if result == TIMED_OUT:
        state.timed_out = True
        # Of several calls that were lost together, one raises the limit.
        if call.sent_at >= kind.raised_at:
            kind.limit_s = min(TIMEOUT_MAX_S, 2 * kind.limit_s)
            kind.raised_at = now
        return []
    was_silent, state.timed_out = state.timed_out, False
    if result != ANSWERED:
        return []
    kind.answered_sent_at = max(kind.answered_sent_at, call.sent_at)
    if call.kind != FOLLOW:
        answered_at = now if call.answered_at is None else call.answered_at
        kind.taken_s.append(answered_at - call.sent_at)
        target_s = TIMEOUT_FACTOR * max(kind.taken_s)
        kind.limit_s = min(TIMEOUT_MAX_S, max(TIMEOUT_MIN_S, target_s))
    if not was_silent:
        return []
    return [
        other
        for other, earlier in state.under_way.items()
        if earlier.sent_at <= call.sent_at
        and now - earlier.sent_at >= OVERDUE_MIN_S
        and not _is_arriving(earlier, now)
    ]


def is_silent(state):
    """Return whether a call has timed out and none was answered since."""
    return state.timed_out


def is_probe_due(state, now, interval_s):
    """Return whether to ask a silent store whether it answers again."""
    if not state.timed_out or now - state.probed_at < interval_s:
        return False
    state.probed_at = now
    return True


def overtaken(state, now):
    """Return the numbers of the calls to be given up, as later ones were answered."""
    return [
        number
        for number, call in state.under_way.items()
        if now - call.sent_at >= _patience_s(state, call)
        and not _is_arriving(call, now)
        and any(
            state.kinds[kind].answered_sent_at > call.sent_at
            for kind in OVERTAKING[call.kind]
        )
    ]


def _is_arriving(call, now):
    """Return whether bytes of the call's answer have arrived lately."""
    return call.received_at is not None and now - call.received_at < STALL_S


def _patience_s(state, call):
    kind = READ if call.kind == FOLLOW else call.kind
    longest_s = max(state.kinds[kind].taken_s, default=0.0)
    return call.wait_s + max(OVERDUE_MIN_S, TIMEOUT_FACTOR * longest_s)


def true_as_of(now, sent_at, wait_s, is_empty):
    """Return a time as of which a feed's answer that arrived at ``now`` is true.

    The question was sent at ``sent_at``. The store holds an answer without changes,
    ``is_empty``, back for ``wait_s``.
    """
    return min(now, sent_at + wait_s) if is_empty else sent_at
