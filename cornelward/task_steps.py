"""The placement step: which waiting tasks start where, in which order."""

import heapq

from .capacity import Vector, drop_charges, fits
from .job_writes import mark_dirty
from .jobs import refuse_job
from .ownership import has_authority
from .placement import best_fit, place_gang, spread_fit
from .quotas import (
    drop_entry,
    exceeds_quota,
    quota_room,
)
from .task_state import assign

__all__ = ["place_jobs"]

# Bounds one step, so that leases are renewed in time while a wave is placed.
MAX_DECISIONS = 64
# Jobs behind the first of a team's queue that are tried when the first does not fit.
LOOKAHEAD = 8


class _Round:
    """One pass over the queues; ``blocked`` are demands that fit nowhere now."""

    def __init__(self):
        self.decisions = 0
        self.blocked = set()


def place_jobs(state, now):
    """Place waiting tasks; the starts follow when their rows are written."""
    ready = state.loaded and state.config_version and not state.leaving
    if not (state.place_wanted and ready and has_authority(state.own, now)):
        return
    rnd = _Round()
    state.place_wanted = False
    order = list(state.teams.waiting)
    while order:
        if rnd.decisions >= MAX_DECISIONS:
            state.place_wanted = True
            return
        team = state.teams.by_name[heapq.heappop(order)[1]]
        if _place_team(state, now, rnd, team) and team.place is not None:
            heapq.heappush(order, team.place)


def _place_team(state, now, rnd, team):
    """Place one job's tasks of the team; return whether anything was placed."""
    tried = 0
    for entry in list(team.queue.islice(0, LOOKAHEAD * 2)):
        job = state.jobs.by_id.get(entry[2])
        if job is None or job.final is not None or not job.waiting:
            drop_entry(state.teams, team, entry)
            continue
        tried += 1
        if tried > LOOKAHEAD:
            break
        reason = never_runnable(state, job)
        if reason:
            refuse_job(job, reason)
            mark_dirty(state, job)
            drop_entry(state.teams, team, entry)
            continue
        placed = _place_job(state, now, rnd, job)
        if not job.waiting:
            drop_entry(state.teams, team, entry)
        if placed:
            return True
    return False


def never_runnable(state, job):
    """Return why the job can never run, or None."""
    largest = state.workers.largest
    if any(task.attempt for task in job.tasks):
        return None
    if any(largest) and not fits(job.demand, largest):
        return (
            f"a task needs {_text(job.demand)}, the largest worker has {_text(largest)}"
        )
    count = 1 if job.type == "batch" else len(job.tasks)
    need = Vector(*(count * size for size in job.demand))
    if exceeds_quota(state.teams, job.team, need):
        return f"the job needs {_text(need)}, more than the quota of team {job.team}"
    return None


def _text(vector):
    return f"{vector[0]:g} cpu, {vector[1]:g} MB memory and {vector[2]:g} accelerators"


def _place_job(state, now, rnd, job):
    room = quota_room(state.teams, job.team, job.demand, len(job.waiting))
    if room == 0 or job.demand in rnd.blocked:
        return False
    if job.type == "gang":
        return _place_gang(state, now, rnd, job, room)
    counts = _rack_counts(state, job) if job.spread else None
    placed = False
    while room > 0 and job.waiting and rnd.decisions < MAX_DECISIONS:
        task = job.waiting[-1]
        rnd.decisions += 1
        worker = _choose(state, job, task, counts)
        if worker is None:
            if not task.avoid:
                rnd.blocked.add(job.demand)
            break
        job.waiting.pop()
        assign(state, task, worker, now)
        if counts is not None:
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
        room -= 1
        placed = True
    return placed


def _choose(state, job, task, counts):
    state.stats["decisions"] += 1

    def allowed(worker):
        return worker.id not in task.avoid

    if counts is not None:
        return spread_fit(state.workers, job.demand, allowed, counts)
    return best_fit(state.workers, job.demand, allowed)


def _rack_counts(state, job):
    counts = {}
    for task in job.tasks:
        worker = state.workers.by_id.get(task.worker)
        if worker is not None:
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
    return counts


def _place_gang(state, now, rnd, job, room):
    """Place all tasks of a gang, or none while some still run or do not fit."""
    active = len(job.tasks) - job.ended - len(job.waiting)
    if room < len(job.waiting) or active:
        return False
    rnd.decisions += 1
    state.stats["decisions"] += 1
    keys = [(task.name, -1) for task in job.waiting]
    workers = place_gang(state.workers, job.demand, keys, lambda worker: True)
    if workers is None:
        return False
    tasks, job.waiting = job.waiting, []
    for task, worker, key in zip(tasks, workers, keys, strict=True):
        drop_charges(state.workers, worker, [key])
        assign(state, task, worker, now)
    return True
