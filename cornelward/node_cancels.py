"""Cancels that the leader has taken and not recorded yet; each is answered in time.

A cancel that the leader does not record, as its term ends or its store calls fail, is
given back: the node of the caller repeats it in the store.
"""

from typing import Any, NamedTuple

from . import access, dispatch, node_leader
from .log import get_logger

__all__ = ["cancel", "give_back_all", "tick"]

log = get_logger("node_cancels")

# A cancel that is not recorded after this time is given back. A store that is slow, but
# answers, records it earlier.
RECORD_LIMIT_S = 2.5


class OpenCancel(NamedTuple):
    """A cancel that waits for its record; ``reply`` as for ``dispatch.cancel``."""

    job_id: str
    reply: Any
    deadline: float


def cancel(node, job_id, reply, caller=None):
    """Cancel a job; ``reply`` as for ``dispatch.cancel``, or None if it is given back.

    A job that ``caller`` may not see (``access.may_see``) is left alone: False.
    """
    term = node.leader
    dispatcher = term.dispatcher
    if dispatcher is None:
        reply(None)
        return
    if not access.may_see(dispatch.owner_of(dispatcher, job_id), caller):
        reply(False)
        return

    def replied(value):
        if term.open_cancels.pop(replied, None) is not None:
            reply(value)

    now = node.deps.now()
    term.open_cancels[replied] = OpenCancel(job_id, reply, now + RECORD_LIMIT_S)
    dispatch.cancel(dispatcher, now, job_id, replied)
    node_leader.schedule_step(node)


def tick(term, now):
    """Give back the cancels that were not recorded in time."""
    overdue = [r for r, c in term.open_cancels.items() if now >= c.deadline]
    for replied in overdue:
        _give_back(term, replied, "not recorded in time")


def give_back_all(term):
    """Give back the cancels that were not recorded when the term ended."""
    for replied in list(term.open_cancels):
        _give_back(term, replied, "the term has ended")


def _give_back(term, replied, reason):
    log("info", "given_back", job=term.open_cancels[replied].job_id, reason=reason)
    replied(None)
