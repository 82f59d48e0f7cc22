"""Queues of requests, per service and class, and the policy of a service.

Entries leave a queue lazily: a cancelled or expired one stays in the deque until it is
reached, so no operation scans a queue. Times are seconds.
"""

import heapq
from collections import deque
from typing import NamedTuple

from .request_classes import LONG, SHORT

__all__ = [
    "FORWARDED",
    "QUEUED",
    "RUNNING",
    "ActiveRequest",
    "Policy",
    "Request",
    "Service",
    "cancel_queued",
    "dequeue",
    "discard_expired",
    "enqueue",
    "expected_wait",
    "parse_policy",
    "record_start",
    "run_margin",
    "waited_share",
]

QUEUED = "queued"
RUNNING = "running"
FORWARDED = "forwarded"
ENDED = "ended"

# From this share of its time spent waiting, the oldest entry is a sign of overload.
OVERLOAD_SHARE = 0.9
# Time left at the start, in mean run times, below which a queued request is dropped.
RUN_MARGIN = 2.0
# Weight of one observation in the time between starts.
INTERVAL_WEIGHT = 0.03
# The expiry heap is rebuilt when it is this much longer than the queue.
HEAP_SLACK = 256


class Request(NamedTuple):
    """A caller's request; ``deadline`` is monotonic seconds."""

    request_id: str
    service: str
    operation: str
    deadline: float
    idempotent: bool = False
    forwarded: bool = False


class Policy(NamedTuple):
    """Request policy; the defaults hold for keys that an object leaves out."""

    deadline_s: float = 30.0
    queue_limit: int = 1_000
    retry_budget: float = 0.1
    reserved_short_slots: int = 2
    long_threshold_s: float = 0.5
    max_run_s: float = 60.0
    spill: str = "none"
    spill_wait_s: float = 0.1


def parse_policy(fields):
    """Return the Policy of an operators' object."""
    values = {}
    for name, default in Policy._field_defaults.items():
        if name.endswith("_s"):
            key, scale = name.removesuffix("_s") + "_ms", 1e-3
        else:
            key, scale = name, 1
        if key in fields:
            value = fields[key]
            values[name] = value * scale if scale != 1 else type(default)(value)
    return Policy(**values)


class ActiveRequest:
    """State of one request in this entry."""

    __slots__ = (
        "attempts",
        "cls",
        "executor",
        "held_credit",
        "queued_at",
        "request",
        "service",
        "started_at",
        "state",
        "target",
    )

    def __init__(self, request, service, cls, now):
        self.request = request
        self.service = service
        self.cls = cls
        self.queued_at = now
        self.started_at = None
        self.state = QUEUED
        self.executor = None
        self.held_credit = None
        self.target = None
        self.attempts = 0


class ClassQueue:
    """Requests of one class; ``count`` excludes entries that were cancelled."""

    def __init__(self):
        self.pending = deque()
        self.expiry = []
        self.order = 0
        self.count = 0
        self.running = 0
        self.mean_run_s = None
        # Time between starts while requests were waiting.
        self.interval_s = None
        self.last_start = 0.0
        self.backlogged = False


class Service:
    """State of one service in this entry."""

    def __init__(self, name, policy, spill_domains):
        self.name = name
        self.policy = policy
        # Failure domains that may run it, own one excluded: (same region, others).
        self.spill_domains = spill_domains
        self.queues = {SHORT: ClassQueue(), LONG: ClassQueue()}
        self.credits = {SHORT: deque(), LONG: deque()}
        # Live executors of the failure domain, and their slots.
        self.live_executors = 0
        self.slots = 0
        self.recent_starts = deque()
        # Requests and retries in the present and the previous window.
        self.window_start_at = 0.0
        self.window = [0, 0]
        self.previous_window = [0, 0]
        self.spill = {}


def enqueue(queue, active, front=False):
    """Add a request to its queue."""
    active.state = QUEUED
    if front:
        queue.pending.appendleft(active)
    else:
        queue.pending.append(active)
    queue.count += 1
    queue.order += 1
    heapq.heappush(queue.expiry, (active.request.deadline, queue.order, active))
    if len(queue.expiry) > 2 * queue.count + HEAP_SLACK:
        queue.expiry = [item for item in queue.expiry if item[2].state is QUEUED]
        heapq.heapify(queue.expiry)


def cancel_queued(queue, active):
    """Take a queued request out, whatever its position."""
    active.state = ENDED
    queue.count -= 1
    if queue.count == 0:
        queue.pending.clear()


def _head(queue):
    while queue.pending and queue.pending[0].state is not QUEUED:
        queue.pending.popleft()
    return queue.pending[0] if queue.pending else None


def waited_share(queue, now):
    """Return which share of its time the oldest entry has waited, 0 if empty."""
    active = _head(queue)
    if active is None:
        return 0.0
    allowed = max(active.request.deadline - active.queued_at, 1e-6)
    return (now - active.queued_at) / allowed


def dequeue(queue, now):
    """Return the request to start next, or None; call ``discard_expired`` before.

    First in, first out; under overload the newest, which still has time.
    """
    newest = waited_share(queue, now) > OVERLOAD_SHARE
    while queue.pending:
        active = queue.pending.pop() if newest else queue.pending.popleft()
        if active.state is QUEUED:
            queue.count -= 1
            return active
    return None


def discard_expired(queue, now):
    """Take out and return the requests that can't be answered within their deadline."""
    expired = []
    limit = now + run_margin(queue)
    while queue.expiry and queue.expiry[0][0] <= limit:
        active = heapq.heappop(queue.expiry)[2]
        if active.state is QUEUED:
            cancel_queued(queue, active)
            expired.append(active)
    return expired


def run_margin(queue):
    """Return the time that a request of this queue must have left when it starts."""
    return (queue.mean_run_s or 0.0) * RUN_MARGIN


def record_start(queue, now):
    """Observe the pace at which a queue that is not empty is served."""
    if queue.backlogged:
        sample = now - queue.last_start
        if queue.interval_s is None:
            queue.interval_s = sample
        queue.interval_s += INTERVAL_WEIGHT * (sample - queue.interval_s)
    queue.last_start = now
    queue.backlogged = queue.count > 0


def expected_wait(queue, now):
    """Return how long a new request would wait behind the queue, in seconds.

    The smaller of two estimates: by the slots in use, which shrink and grow with the
    credits of an instant, and by the pace of the last starts, which may be old.
    """
    if queue.mean_run_s is None:
        return 0.0
    ahead = queue.count + 1
    wait = ahead * queue.mean_run_s / max(queue.running, 1)
    if queue.interval_s is None:
        return wait
    return min(wait, ahead * max(queue.interval_s, now - queue.last_start))
