"""Core: spreads advice calls to the policy service over the nodes.

The service handles one call at a time for each calling instance and is slow for some
queues, so the leader makes each call through the node that is free soonest. Long calls
use at most half of the nodes, because a short call queued behind one would be late.
"""

from typing import NamedTuple

from .dispatch_effects import AskAdvice

__all__ = [
    "AdviceCalls",
    "approval_rate",
    "complete_call",
    "expected_call_s",
    "expire_calls",
    "give_up_calls",
    "has_free_node",
    "request_advice",
    "ticket_for",
    "valid_tickets",
]

# A call with a longer expected time than this counts as long.
LONG_CALL_S = 0.25
# A node gets the next short call this long before its outstanding calls should end.
LOOKAHEAD_S = 0.08
# A call is given up after twice its expected time plus this.
CALL_GRACE_S = 0.8
# Tickets are not used in the last part of their validity, because the start request
# takes time to reach the worker.
TICKET_MARGIN_S = 0.25
# Factor by which earlier calls count less in the approval rate, for each later one.
APPROVALS_DECAY = 0.95
# Workers in one call. The service accepts up to 100.
WORKERS_PER_CALL = 30


class AdviceClient:
    """A node that can make advice calls.

    ``calls`` maps the ids of its outstanding calls to their expected end times;
    ``long_call`` says that one of them is long, and ``unanswered`` that its last call
    was given up.
    """

    __slots__ = ("calls", "long_call", "unanswered")

    def __init__(self):
        self.calls = {}
        self.long_call = False
        self.unanswered = False


class AdviceCall(NamedTuple):
    """An outstanding advice call; ``key`` is the key of the step within ``job``."""

    job: object
    key: tuple
    policy: object
    node: str
    workers: tuple
    sent_at: float
    cost_s: float


class Tickets:
    """What the policy service answered about a step.

    ``asked`` is a set of worker ids and ``approved`` a dict of them in the order of the
    answers; ``call_ids`` is the set of the outstanding calls.
    """

    __slots__ = ("approved", "asked", "call_ids", "ticket_by_worker")

    def __init__(self):
        self.asked = set()
        self.approved = {}
        # Worker id -> (ticket, time until which the ticket may be used).
        self.ticket_by_worker = {}
        self.call_ids = set()


class AdviceCalls:
    """Nodes that make advice calls, by name, and outstanding calls, by id."""

    def __init__(self):
        self.nodes = {}
        self.calls = {}
        self.next_id = 1
        # Queue -> [workers asked about, workers approved], of the latest calls.
        self.approvals = {}
        # Until when only steps that could be placed are asked about.
        self.owed_until = 0.0


def approval_rate(advising, queue):
    """Return the share of workers that the service approves for steps of a queue."""
    asked, approved = advising.approvals.get(queue, (0.0, 0.0))
    return (approved + 1.0) / (asked + 3.0)


def _count_approvals(advising, queue, asked, approved):
    counts = advising.approvals.setdefault(queue, [0.0, 0.0])
    counts[0] = counts[0] * APPROVALS_DECAY + asked
    counts[1] = counts[1] * APPROVALS_DECAY + approved


def set_nodes(advising, names):
    """Make advice calls through exactly the nodes with these names."""
    for name in names:
        advising.nodes.setdefault(name, AdviceClient())
    for name in set(advising.nodes) - set(names):
        del advising.nodes[name]


def tickets_of(job, key):
    """Return the Tickets of a step; creates them if there are none."""
    return job.tickets.setdefault(key, Tickets())


def valid_tickets(job, key, now, record_s=0.0):
    """Return {worker id: ticket} for the tickets that stay valid long enough.

    ``record_s`` is the expected time for writing the record of a start: on a slow
    store, tickets would otherwise expire before the starts are sent. It is limited to
    half of the tickets' validity, so that the first half can be used on any store.
    """
    tickets = tickets_of(job, key)
    policy = job.spec.queue.advice
    if policy is not None:
        record_s = min(record_s, policy.valid_s / 2)
    needed_until = now + record_s
    return {
        w: t
        for w, (t, until) in tickets.ticket_by_worker.items()
        if until > needed_until
    }


def ticket_for(job, key, worker_id, now):
    """Return the ticket for a worker, or None if it is missing or has expired."""
    ticket, until = tickets_of(job, key).ticket_by_worker.get(worker_id, (None, 0.0))
    return ticket if until > now else None


def call_cost_s(policy, workers):
    """Return the expected duration of a call in seconds."""
    return policy.decision_s + policy.per_worker_s * len(workers)


def expected_call_s(policy):
    """Return the expected duration of a call about many workers."""
    return policy.decision_s + policy.per_worker_s * WORKERS_PER_CALL


def _free_node(advising, now, cost_s):
    is_long = cost_s > LONG_CALL_S
    nodes = advising.nodes
    if is_long:
        busy = sum(a.long_call for a in nodes.values())
        if busy >= max(1, len(nodes) // 2):
            return None
    best, best_key = None, None
    for name, client in nodes.items():
        if client.long_call:
            continue
        end = max(client.calls.values(), default=now)
        limit = now if is_long else now + LOOKAHEAD_S
        key = (client.unanswered, end)
        if end <= limit and (best is None or key < best_key):
            best, best_key = name, key
    return best


def has_free_node(advising, now):
    """Return whether any node could make a short call now."""
    return any(
        not a.long_call and max(a.calls.values(), default=now) <= now + LOOKAHEAD_S
        for a in advising.nodes.values()
    )


def request_advice(advising, now, job, key, workers, policy=None):
    """Return the AskAdvice effects for a step, and register the calls.

    ``policy`` is the AdvicePolicy of the queue as it is configured now; by default that
    of the job, which may have been accepted under another one, or under none.
    A call takes longer with each worker in it, and a node's calls run one after
    another: many workers are asked about in parallel, through different nodes. The list
    is empty if no node is free, if calls for the step are outstanding, or if
    ``workers`` is empty.
    """
    tickets = tickets_of(job, key)
    if tickets.call_ids:
        return []
    policy = policy or job.spec.queue.advice
    effects = []
    for first in range(0, len(workers), WORKERS_PER_CALL):
        part = tuple(workers[first : first + WORKERS_PER_CALL])
        cost_s = call_cost_s(policy, part)
        node = _free_node(advising, now, cost_s)
        if node is None:
            break
        call_id = advising.next_id
        advising.next_id += 1
        client = advising.nodes[node]
        begins_at = max(max(client.calls.values(), default=now), now)
        client.calls[call_id] = begins_at + cost_s
        client.long_call = client.long_call or cost_s > LONG_CALL_S
        tickets.call_ids.add(call_id)
        advising.calls[call_id] = AdviceCall(job, key, policy, node, part, now, cost_s)
        step_name = ".".join((job.spec.id, *map(str, key)))
        effects.append(AskAdvice(node, call_id, step_name, list(part)))
    return effects


def _remove_call(advising, call_id):
    call = advising.calls.pop(call_id, None)
    if call is None:
        return None
    client = advising.nodes.get(call.node)
    if client is not None:
        client.calls.pop(call_id, None)
        if not client.calls:
            client.long_call = False
    tickets_of(call.job, call.key).call_ids.discard(call_id)
    return call


def complete_call(advising, now, call_id, approved):
    """Record the answer to a call.

    ``approved`` is [(worker id, ticket)], or None if the service did not answer.
    Returns the AdviceCall, or None if it was given up before.
    """
    call = _remove_call(advising, call_id)
    if call is not None and call.node in advising.nodes:
        advising.nodes[call.node].unanswered = False
    if call is None or approved is None:
        return call
    tickets = tickets_of(call.job, call.key)
    tickets.asked.update(call.workers)
    queue = call.job.spec.queue.name
    _count_approvals(advising, queue, len(call.workers), len(approved))
    # The validity began when the service issued the tickets, before the answer
    # arrived here.
    until = now + call.policy.valid_s - TICKET_MARGIN_S
    for worker, ticket in approved:
        tickets.approved[worker] = True
        tickets.ticket_by_worker[worker] = (ticket, until)
    return call


def expire_calls(advising, now):
    """Give up calls that are overdue, so that their steps can be asked about again."""
    for call_id, call in list(advising.calls.items()):
        if now > call.sent_at + 2 * call.cost_s + CALL_GRACE_S:
            _remove_call(advising, call_id)
            if call.node in advising.nodes:
                advising.nodes[call.node].unanswered = True


def give_up_calls(advising, node):
    """Give up the calls of a node that is not reached."""
    for call_id, call in list(advising.calls.items()):
        if call.node == node:
            _remove_call(advising, call_id)
