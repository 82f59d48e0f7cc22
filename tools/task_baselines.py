"""Task baseline: first fit in order of arrival, on the same traces as the core.

A task is placed on the first worker, in a fixed order, that has room for its declared
size. While the task at the head of the queue does not fit, all tasks behind it wait.
Decisions take effect at once and cost no table operations, which favours the baseline.
"""

import heapq
import itertools
import math
from collections import deque
from time import perf_counter

__all__ = ["replay_first_fit"]


class _Cell:
    """State of the replay: capacity, usage, queue and pending events.

    ``free`` holds the unallocated [cpu, memory_mb] of each worker, ``actual_cpu`` the
    cpu that its tasks actually use.
    """

    def __init__(self, trace):
        size = (trace.capacity["cpu"], trace.capacity["memory_mb"])
        self.free = [list(size) for _ in range(trace.workers)]
        self.size = size
        self.actual_cpu = [0.0] * trace.workers
        self.queue = deque()
        self.events = []
        self.seq = itertools.count()
        self.examined = 0
        self.decisions = 0


def replay_first_fit(trace, on_start, on_sample, on_decision, sample_s=5.0):
    """Replay ``trace`` and return the numbers of decisions and of workers examined.

    ``on_start(now, task, cls, submitted_at)`` is called for each start. Every
    ``sample_s`` seconds, ``on_sample(used, actual_cpu, waiting)`` gets the declared and
    the actual cpu in use by worker, and the cpu declared by the tasks in the queue.
    ``on_decision(seconds)`` gets the duration of each pass over the queue.
    """
    cell = _Cell(trace)
    for at, cls, record in trace.jobs:
        heapq.heappush(cell.events, (at, next(cell.seq), "job", (at, cls, record)))
    for step in range(int(trace.until_s / sample_s)):
        heapq.heappush(cell.events, (step * sample_s, next(cell.seq), "sample", None))
    while cell.events and cell.events[0][0] <= trace.until_s:
        now, _, kind, value = heapq.heappop(cell.events)
        if kind == "sample":
            used = [cell.size[0] - free[0] for free in cell.free]
            waiting = sum(_waiting_cpu(item) for item in cell.queue)
            on_sample(used, list(cell.actual_cpu), waiting)
            continue
        if kind == "end":
            worker, demand, actual_cpu = value
            cell.actual_cpu[worker] -= actual_cpu
            cell.free[worker][0] += demand["cpu"]
            cell.free[worker][1] += demand["memory_mb"]
        else:
            _enqueue(cell, *value)
        started_at = perf_counter()
        started = _place(cell)
        on_decision(perf_counter() - started_at)
        for names, workers, demand, cls, at in started:
            for name, worker in zip(names, workers, strict=True):
                on_start(now, name, cls, at)
                actual_cpu = trace.runs[name][1].get("cpu", demand["cpu"])
                cell.actual_cpu[worker] += actual_cpu
                end = now + trace.runs[name][0]
                if end < math.inf:
                    item = (end, next(cell.seq), "end", (worker, demand, actual_cpu))
                    heapq.heappush(cell.events, item)
    return cell.decisions, cell.examined


def _waiting_cpu(item):
    return len(item[0]) * item[1]["cpu"]


def _enqueue(cell, at, cls, record):
    """Queue a job: a gang as one item, other jobs as one item for each task."""
    names = [item["task"] for item in record["tasks"]]
    if record["type"] == "gang":
        cell.queue.append((names, record["demand"], cls, at))
    else:
        cell.queue.extend(([name], record["demand"], cls, at) for name in names)


def _place(cell):
    """Start tasks from the head of the queue until one does not fit."""
    started = []
    while cell.queue:
        names, demand, cls, at = cell.queue[0]
        workers = _first_fit(cell, demand, len(names))
        if workers is None:
            break
        cell.queue.popleft()
        started.append((names, workers, demand, cls, at))
    return started


def _first_fit(cell, demand, count):
    """Reserve room for ``count`` tasks on the first workers that have it.

    Returns one worker number for each task, or None, with nothing reserved, if there
    is no room for all of them.
    """
    cell.decisions += 1
    chosen = []
    for number, free in enumerate(cell.free):
        cell.examined += 1
        while (
            len(chosen) < count
            and free[0] >= demand["cpu"]
            and free[1] >= demand["memory_mb"]
        ):
            free[0] -= demand["cpu"]
            free[1] -= demand["memory_mb"]
            chosen.append(number)
        if len(chosen) == count:
            return chosen
    for number in chosen:
        cell.free[number][0] += demand["cpu"]
        cell.free[number][1] += demand["memory_mb"]
    return None
