"""Core: spreads questions to the policy service over the nodes.

The service answers one call at a time for each calling instance and takes long for some
queues, so the leader sends each question through the node that is free soonest. Long
calls get at most half of the nodes: a short question behind one would be late.
"""

from typing import NamedTuple

from .dispatch_effects import AskAdvice

__all__ = [
    "AdviceCalls",
    "complete_call",
    "expire_calls",
    "has_free_node",
    "request_advice",
    "ticket_for",
    "valid_tickets",
]

# A call that takes longer than this counts as long, in seconds.
LONG_CALL_S = 0.25
# A node gets the next short call this long before its present ones should end.
AHEAD_S = 0.08
# A call is given up after twice its expected time and this.
GRACE_S = 0.8
# Tickets are not used in the last part of their time: the start order needs its way.
TICKET_MARGIN_S = 0.25
# The service takes at most this many workers in one call.
MAX_WORKERS = 100


class AdviceClient:
    """A node that can ask; ``calls`` maps call ids to their expected end."""

    __slots__ = ("calls", "long_call")

    def __init__(self):
        self.calls = {}
        self.long_call = False


class AdviceCall(NamedTuple):
    """A question under way."""

    job: object
    key: tuple
    node: str
    workers: tuple
    sent_at: float
    cost_s: float


class Tickets:
    """What the policy service said of a step."""

    __slots__ = ("approved", "asked", "call_id", "ticket_by_worker")

    def __init__(self):
        self.asked = set()
        self.approved = set()
        # Worker id -> (ticket, time until which it may be used).
        self.ticket_by_worker = {}
        self.call_id = None


class AdviceCalls:
    """Nodes and questions under way."""

    def __init__(self):
        self.nodes = {}
        self.calls = {}
        self.next_id = 1


def set_nodes(advising, names):
    """Use these nodes for questions."""
    for name in names:
        advising.nodes.setdefault(name, AdviceClient())
    for name in set(advising.nodes) - set(names):
        del advising.nodes[name]


def tickets_of(job, key):
    """Return the Tickets of a step."""
    return job.tickets.setdefault(key, Tickets())


def valid_tickets(job, key, now, record_s=0.0):
    """Return {worker id: ticket} for the tickets that hold long enough.

    ``record_s`` is the time that the record of a start takes. Answers a slow store, on
    which tickets run out before the starts are sent; half of their time is used then.
    """
    tickets = tickets_of(job, key)
    policy = job.spec.queue.advice
    if policy is not None:
        record_s = min(record_s, policy.valid_s / 2)
    least = now + record_s
    return {w: t for w, (t, until) in tickets.ticket_by_worker.items() if until > least}


def ticket_for(job, key, worker_id, now):
    """Return the ticket for a worker, or None if it has run out by now."""
    ticket, until = tickets_of(job, key).ticket_by_worker.get(worker_id, (None, 0.0))
    return ticket if until > now else None


def call_cost_s(policy, workers):
    """Return how long the service takes for a call."""
    return policy.decision_s + policy.per_worker_s * len(workers)


def _free_node(advising, now, cost_s):
    is_long = cost_s > LONG_CALL_S
    nodes = advising.nodes
    if is_long:
        busy = sum(a.long_call for a in nodes.values())
        if busy >= max(1, len(nodes) // 2):
            return None
    best, best_end = None, None
    for name, adviser in nodes.items():
        if adviser.long_call:
            continue
        end = max(adviser.calls.values(), default=now)
        limit = now if is_long else now + AHEAD_S
        if end <= limit and (best is None or end < best_end):
            best, best_end = name, end
    return best


def has_free_node(advising, now):
    """Return whether any node could take a short question."""
    return any(
        not a.long_call and max(a.calls.values(), default=now) <= now + AHEAD_S
        for a in advising.nodes.values()
    )


def request_advice(advising, now, job, key, workers):
    """Return an AskAdvice for a step, or None if no node is free or it was asked."""
    tickets = tickets_of(job, key)
    if tickets.call_id is not None or not workers:
        return None
    workers = tuple(workers[:MAX_WORKERS])
    cost_s = call_cost_s(job.spec.queue.advice, workers)
    node = _free_node(advising, now, cost_s)
    if node is None:
        return None
    call_id = advising.next_id
    advising.next_id += 1
    adviser = advising.nodes[node]
    adviser.calls[call_id] = max(max(adviser.calls.values(), default=now), now) + cost_s
    adviser.long_call = adviser.long_call or cost_s > LONG_CALL_S
    tickets.call_id = call_id
    advising.calls[call_id] = AdviceCall(job, key, node, workers, now, cost_s)
    step_name = ".".join((job.spec.id, *map(str, key)))
    return AskAdvice(node, call_id, step_name, list(workers))


def _close(advising, call_id):
    call = advising.calls.pop(call_id, None)
    if call is None:
        return None
    adviser = advising.nodes.get(call.node)
    if adviser is not None:
        adviser.calls.pop(call_id, None)
        if not adviser.calls:
            adviser.long_call = False
    tickets_of(call.job, call.key).call_id = None
    return call


def complete_call(advising, now, call_id, approved):
    """Take in an answer: [(worker id, ticket)], or None if there was none.

    Returns the AdviceCall, or None if it was given up before.
    """
    call = _close(advising, call_id)
    if call is None or approved is None:
        return call
    tickets = tickets_of(call.job, call.key)
    tickets.asked.update(call.workers)
    # The service issued them before its answer travelled here.
    until = now + call.job.spec.queue.advice.valid_s - TICKET_MARGIN_S
    for worker, ticket in approved:
        tickets.approved.add(worker)
        tickets.ticket_by_worker[worker] = (ticket, until)
    return call


def expire_calls(advising, now):
    """Give up calls without an answer; their steps are asked about again."""
    for call_id, call in list(advising.calls.items()):
        if now > call.sent_at + 2 * call.cost_s + GRACE_S:
            _close(advising, call_id)
