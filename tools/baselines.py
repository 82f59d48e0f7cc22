"""Request baseline: first in, first out, to the least loaded upstream."""

import heapq
from collections import deque
from typing import NamedTuple

__all__ = ["Replay", "replay_fifo"]


class Replay(NamedTuple):
    """Results of a replay.

    ``started`` and ``ended`` hold the start and end time in seconds of each request,
    by index of its arrival; None means not started or refused. ``cross_region_kb`` is
    the traffic between regions in kilobytes. ``decisions`` counts the routing
    decisions, ``examined`` the executors examined by them, and ``messages`` the
    messages between entries. ``control_s`` is the time spent in the policy's code.
    """

    started: list
    ended: list
    cross_region_kb: float
    decisions: int
    examined: int
    messages: int
    control_s: float


def replay_fifo(trace, clock):
    """Replay a request trace with one queue for the executors of all regions.

    ``clock`` returns seconds; it measures the run time of the policy's code.
    """
    domains = [domain for names in trace.regions.values() for domain in names]
    region_of = {d: region for region, names in trace.regions.items() for d in names}
    load = [0] * trace.executors
    home = [domains[index % len(domains)] for index in range(trace.executors)]
    queue, completions = deque(), []
    started, ended = [None] * len(trace.arrivals), [None] * len(trace.arrivals)
    examined = decisions = 0
    cross_region_kb = 0.0
    free = trace.executors * trace.slots
    control = clock()

    def start_queued(now):
        nonlocal examined, decisions, cross_region_kb, free
        while queue and free:
            index = queue.popleft()
            arrival = trace.arrivals[index]
            chosen = min(range(trace.executors), key=load.__getitem__)
            examined += trace.executors
            decisions += 1
            load[chosen] += 1
            free -= 1
            if region_of[home[chosen]] != region_of[arrival.failure_domain]:
                cross_region_kb += arrival.size_kb
            started[index], ended[index] = now, now + arrival.run_s
            heapq.heappush(completions, (ended[index], chosen))

    def finish_until(limit):
        nonlocal free
        while completions and completions[0][0] <= limit:
            now, executor = heapq.heappop(completions)
            load[executor] -= 1
            free += 1
            start_queued(now)

    for index, arrival in enumerate(trace.arrivals):
        finish_until(arrival.at)
        queue.append(index)
        start_queued(arrival.at)
    finish_until(float("inf"))
    control_s = clock() - control
    return Replay(started, ended, cross_region_kb, decisions, examined, 0, control_s)
