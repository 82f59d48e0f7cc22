"""Request queues per service and class, and the request policy of a service.

Requests are removed lazily: a cancelled or expired one stays in the deque until it
reaches an end, so that no operation scans a queue. Times are seconds.
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

# A queue counts as overloaded once its oldest request has waited this share of the time
# between its arrival and its deadline.
OVERLOAD_SHARE = 0.9
# A queued request is dropped when less than this many mean run times are left until its
# deadline.
RUN_MARGIN = 2.0
# Weight of a new observation in the moving average of the time between starts.
INTERVAL_WEIGHT = 0.03
# The expiry heap is rebuilt when it is this much longer than the queue.
HEAP_SLACK = 256


class Request(NamedTuple):
    """A caller's request; ``deadline`` is monotonic seconds.

    ``forwarded`` says that an entry of another failure domain sent it.
    """

    request_id: str
    service: str
    operation: str
    deadline: float
    idempotent: bool = False
    forwarded: bool = False


class Policy(NamedTuple):
    """Request policy; the defaults apply to keys missing from the policy object."""

    deadline_s: float = 30.0
    queue_limit: int = 1_000
    retry_budget: float = 0.1
    reserved_short_slots: int = 2
    long_threshold_s: float = 0.5
    max_run_s: float = 60.0
    spill: str = "none"
    spill_wait_s: float = 0.1


def parse_policy(fields):
    """Return the Policy of an operator's policy object, whose times are in ms."""
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
    """A queued, running or forwarded request of this entry."""

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
    """Requests of one class.

    ``count`` is the number of queued requests; ``pending`` may also contain requests
    that were cancelled or have expired.
    """

    def __init__(self):
        self.pending = deque()
        self.expiry_heap = []
        self.push_seq = 0
        self.count = 0
        self.running = 0
        self.mean_run_s = None
        # Moving average of the time between starts while requests were waiting.
        self.start_interval_s = None
        self.last_start_at = 0.0
        self.backlogged = False


class Service:
    """State of one service in this entry."""

    def __init__(self, name, policy, spill_domains):
        self.name = name
        self.policy = policy
        # Other failure domains that may run it: (same region, other regions).
        self.spill_domains = spill_domains
        self.queues = {SHORT: ClassQueue(), LONG: ClassQueue()}
        self.credits = {SHORT: deque(), LONG: deque()}
        # Live executors of this failure domain, and the sum of their slots.
        self.live_executors = 0
        self.slots = 0
        self.recent_starts = deque()
        # [requests, retries] in the current and the previous half of the retry window.
        self.window_start_at = 0.0
        self.window = [0, 0]
        self.previous_window = [0, 0]
        self.spill = {}


def enqueue(queue, active, front=False):
    """Add a request to the end of its queue, or to the front."""
    active.state = QUEUED
    if front:
        queue.pending.appendleft(active)
    else:
        queue.pending.append(active)
    queue.count += 1
    queue.push_seq += 1
    heapq.heappush(queue.expiry_heap, (active.request.deadline, queue.push_seq, active))
    if len(queue.expiry_heap) > 2 * queue.count + HEAP_SLACK:
        queue.expiry_heap = [
            item for item in queue.expiry_heap if item[2].state is QUEUED
        ]
        heapq.heapify(queue.expiry_heap)


def cancel_queued(queue, active):
    """Mark a queued request as removed, whatever its position in the queue."""
    active.state = ENDED
    queue.count -= 1
    if queue.count == 0:
        queue.pending.clear()


def _oldest(queue):
    while queue.pending and queue.pending[0].state is not QUEUED:
        queue.pending.popleft()
    return queue.pending[0] if queue.pending else None


def waited_share(queue, now):
    """Return how long the oldest request has waited, as a share of its allowed time.

    The allowed time is that between arrival and deadline. Returns 0 for an empty queue.
    """
    active = _oldest(queue)
    if active is None:
        return 0.0
    allowed = max(active.request.deadline - active.queued_at, 1e-6)
    return (now - active.queued_at) / allowed


def dequeue(queue, now):
    """Remove and return the request to start next, or None if the queue is empty.

    First in, first out; under overload the newest first, because it has the most time
    left. Call ``discard_expired`` before.
    """
    newest_first = waited_share(queue, now) > OVERLOAD_SHARE
    while queue.pending:
        active = queue.pending.pop() if newest_first else queue.pending.popleft()
        if active.state is QUEUED:
            queue.count -= 1
            return active
    return None


def discard_expired(queue, now):
    """Remove and return the requests that can no longer meet their deadline."""
    expired = []
    limit = now + run_margin(queue)
    while queue.expiry_heap and queue.expiry_heap[0][0] <= limit:
        active = heapq.heappop(queue.expiry_heap)[2]
        if active.state is QUEUED:
            cancel_queued(queue, active)
            expired.append(active)
    return expired


def run_margin(queue):
    """Return the time a request of this queue needs between start and deadline."""
    return (queue.mean_run_s or 0.0) * RUN_MARGIN


def record_start(queue, now):
    """Record a start and update the average time between starts.

    The time since the previous start counts only if requests were waiting meanwhile.
    """
    if queue.backlogged:
        sample = now - queue.last_start_at
        if queue.start_interval_s is None:
            queue.start_interval_s = sample
        queue.start_interval_s += INTERVAL_WEIGHT * (sample - queue.start_interval_s)
    queue.last_start_at = now
    queue.backlogged = queue.count > 0


def expected_wait(queue, now):
    """Return how long a new request would wait behind the queue, in seconds.

    This is the smaller of two estimates. The first uses the number of slots in use,
    which varies with the credits held at the moment; the second uses the time between
    the last starts, which may be out of date.
    """
    if queue.mean_run_s is None:
        return 0.0
    ahead = queue.count + 1
    wait = ahead * queue.mean_run_s / max(queue.running, 1)
    if queue.start_interval_s is None:
        return wait
    return min(wait, ahead * max(queue.start_interval_s, now - queue.last_start_at))
