"""Core: proof that messages to other processes arrive, and when to connect anew.

A connection may go silent for good without being closed. After messages, a process asks
the peer over the same connection for a confirmation, at most every QUESTION_INTERVAL_S.
A confirmed question proves that the messages before it arrived, unless the connection
broke meanwhile. If the confirmation is missing, the way is silent: the connection is to
be replaced, and the way is used for nothing that has another one until a question over
a new connection is confirmed. Messages are never sent again.

A confirmation may also be missing because the way back is silent. The peer finds that
out with its own questions, and a question that is repeated makes it ask one.
"""

from .messages import DeliveryCheck

__all__ = [
    "CHECK_INTERVAL_S",
    "Deliveries",
    "check",
    "forget",
    "is_silent",
    "note_sent",
    "on_check",
    "take_message",
]

# ``check`` is to be called as often.
CHECK_INTERVAL_S = 0.1
QUESTION_INTERVAL_S = 0.5
# A peer that has never confirmed anything may be of a release that does not know
# questions. It is asked this often and never counts as silent.
UNKNOWN_INTERVAL_S = 10.0
# A confirmation is late after this time, or LIMIT_FACTOR times the longest that one
# took lately; twice that, up to LIMIT_MAX_S, after each connection without one.
LIMIT_MIN_S = 0.6
LIMIT_MAX_S = 2.4
LIMIT_FACTOR = 4
LONGEST_DECAY = 0.8
# A way over which nothing was sent for so long is closed, as it is unproved.
UNUSED_S = 5.0
# A process that did not check for this long was paused; the time does not count.
PAUSED_AFTER_S = 0.4


class _Way:
    """What is known of the way to one address.

    ``question`` is the number of the question without a confirmation, or 0.
    """

    __slots__ = (
        "asked_at",
        "confirmed",
        "confirms",
        "failures",
        "is_unproved",
        "longest_s",
        "owes_confirmation",
        "question",
        "sent_at",
    )

    def __init__(self, now):
        self.sent_at = now
        # Whether messages were sent since the last question.
        self.is_unproved = False
        self.question = 0
        self.asked_at = None
        # Connections in a row over which no question was confirmed.
        self.failures = 0
        self.longest_s = 0.0
        # Whether the peer is known to confirm questions.
        self.confirms = False
        # The peer's latest question, and whether it is still to be confirmed.
        self.confirmed = 0
        self.owes_confirmation = False


class Deliveries:
    """The ways of one process, by address.

    ``address`` is that of its own inbox, for confirmations. ``first_number`` differs
    for each process that had the address, so that a confirmation of a question of an
    earlier one is none of this one's.
    """

    def __init__(self, now, address, first_number=1):
        self.address = address
        self.ways = {}
        # Number of a question without a confirmation -> address.
        self.questions = {}
        self.next_number = first_number
        self.checked_at = now


def _way_to(state, now, address):
    way = state.ways.get(address)
    if way is None:
        way = state.ways[address] = _Way(now)
    return way


def note_sent(state, now, address):
    """Note a message to ``address``; return whether ``take_message`` has one now."""
    way = _way_to(state, now, address)
    way.sent_at = now
    way.is_unproved = True
    return _is_question_due(way, now)


def is_silent(state, address):
    """Return whether a confirmation is missing that the peer should have sent."""
    way = state.ways.get(address)
    return way is not None and way.failures > 0


def forget(state, address):
    """Forget a way whose connection was closed; another process may be there now."""
    way = state.ways.pop(address, None)
    if way is not None:
        state.questions.pop(way.question, None)


def _is_question_due(way, now):
    if way.question or not way.is_unproved:
        return False
    if way.asked_at is None:
        return True
    interval_s = QUESTION_INTERVAL_S if way.confirms else UNKNOWN_INTERVAL_S
    return now - way.asked_at >= interval_s


def take_message(state, now, address):
    """Return the DeliveryCheck that is to be sent to ``address`` now, or None."""
    way = state.ways.get(address)
    if way is None:
        return None
    question = 0
    if _is_question_due(way, now):
        question = way.question = state.next_number
        state.next_number += 1
        state.questions[question] = address
        way.is_unproved = False
        way.asked_at = now
    confirmed = way.confirmed if way.owes_confirmation else 0
    way.owes_confirmation = False
    if confirmed:
        way.sent_at = now
    if not question and not confirmed:
        return None
    is_repeated = bool(question) and way.failures > 0
    return DeliveryCheck(state.address, question, is_repeated, confirmed)


def on_check(state, now, message):
    """Handle a DeliveryCheck.

    Returns (address that ``take_message`` has a message for or None, address of a way
    that was silent and is proved now or None).
    """
    proved = _on_confirmation(state, now, message.confirmed)
    if not message.question:
        return None, proved
    way = _way_to(state, now, message.address)
    way.confirms = True
    way.confirmed = message.question
    way.owes_confirmation = True
    if message.is_repeated:
        # The confirmation that is missing there may have been lost on the way back.
        way.is_unproved = True
    return message.address, proved


def _on_confirmation(state, now, number):
    address = state.questions.pop(number, None)
    if address is None:
        return None
    way = state.ways[address]
    way.question = 0
    if way.confirms:
        way.longest_s = max(now - way.asked_at, LONGEST_DECAY * way.longest_s)
    # The first one may have waited until the peer had started.
    way.confirms = True
    was_silent, way.failures = way.failures > 0, 0
    return address if was_silent else None


def _limit_s(way):
    if not way.confirms:
        return UNKNOWN_INTERVAL_S
    limit_s = max(LIMIT_MIN_S, LIMIT_FACTOR * way.longest_s) * 2**way.failures
    return min(LIMIT_MAX_S, limit_s)


def check(state, now):
    """Return (ways to connect anew, addresses to send a message to, and to close).

    The first are (address, connections in a row without a confirmation). After that,
    ``take_message`` has a question for the new connection.
    """
    paused_s = now - state.checked_at
    state.checked_at = now
    late, due, unused = [], [], []
    for address, way in state.ways.items():
        if paused_s > PAUSED_AFTER_S and way.question:
            way.asked_at += paused_s
        if now - way.sent_at >= UNUSED_S:
            unused.append(address)
        elif way.question and now - way.asked_at >= _limit_s(way):
            state.questions.pop(way.question)
            way.question = 0
            way.is_unproved = True
            if way.confirms:
                way.failures += 1
                way.asked_at = None
                # What was confirmed over the old connection may be lost.
                way.owes_confirmation = bool(way.confirmed)
                late.append((address, way.failures))
        elif _is_question_due(way, now):
            due.append(address)
    for address in unused:
        forget(state, address)
    return late, due, unused
