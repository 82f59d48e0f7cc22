"""The placement step: which waiting tasks start where, in which order."""

import heapq

from .bulk_placement import place_in_bulk
from .capacity import Resources, fits, release_allocations
from .job_writes import mark_dirty
from .jobs import refuse_job
from .ownership import has_authority
from .placement import best_fit, place_gang, spread_fit
from .preemption import expire_holds, preempt_for
from .quotas import (
    dequeue_entry,
    exceeds_quota,
    quota_headroom,
)
from .reservations import (
    clear_reservation,
    make_reservation,
    may_backfill,
    reserve_worker,
)
from .task_state import assign

__all__ = ["place_jobs"]

# Bounds one step, so that leases are renewed in time while a wave is placed.
MAX_DECISIONS_PER_PASS = 64
# Passes over the queues are this far apart, so that a wave is placed as a whole.
PLACEMENT_INTERVAL_S = 0.05
# Jobs behind the first of a team's queue that are tried when the first does not fit.
LOOKAHEAD_JOBS = 8
# A gang that does not fit is not tried again at each event.
GANG_RETRY_S = 0.1
# A job at the head of its team's queue reserves a worker after this time: large tasks
# would otherwise never find one with enough room while smaller ones arrive.
RESERVATION_MIN_WAIT_S = 30.0
# How often the reservation follows newer expectations, before and after its time.
RESERVATION_REFRESH_S = 2.0
OVERDUE_RESERVATION_REFRESH_S = 30.0


class _PlacementPass:
    """One pass over the queues; ``blocked`` are demands that fit nowhere now."""

    def __init__(self):
        self.decisions = 0
        self.blocked = set()


def place_jobs(state, now):
    """Place waiting tasks; the starts follow when their rows are written.

    Returns the signals to tasks that urgent work preempts.
    """
    ready = state.loaded and state.config_version and not state.leaving
    ready = ready and state.placement_needed and now >= state.next_placement_at
    if not (ready and has_authority(state.owner_lease, now)):
        return []
    state.next_placement_at = now + PLACEMENT_INTERVAL_S
    rnd = _PlacementPass()
    state.placement_needed = False
    expire_holds(state, now)
    effects = _place_urgent(state, now, rnd)
    _update_reservation(state, now, rnd)
    place_in_bulk(state, now, rnd)
    order = list(state.teams.waiting)
    while order:
        if rnd.decisions >= MAX_DECISIONS_PER_PASS:
            state.placement_needed = True
            break
        team = state.teams.by_name[heapq.heappop(order)[1]]
        if _place_team(state, now, rnd, team) and team.waiting_entry is not None:
            heapq.heappush(order, team.waiting_entry)
    return effects


def _place_urgent(state, now, rnd):
    effects = []
    for entry in list(state.teams.urgent):
        job = _live_job(state, entry)
        if job is None:
            state.teams.urgent.discard(entry)
        elif not _refuse(state, job):
            _place_job(state, now, rnd, job)
            room = quota_headroom(state.teams, job.team, job.demand, len(job.waiting))
            if room:
                effects += preempt_for(state, now, job, room)
    return effects


def _live_job(state, entry):
    """Return the job of a queue entry, or None when nothing of it waits."""
    job = state.jobs.by_id.get(entry[-1])
    if job is None or job.final is not None or not job.waiting:
        return None
    return job


def _refuse(state, job):
    reason = never_runnable(state, job)
    if reason:
        refuse_job(job, reason)
        mark_dirty(state, job)
    return reason is not None


def _update_reservation(state, now, rnd):
    """Try the first gang or aged job, and reserve workers for it while it waits."""
    head = _first_waiting(state, now)
    held = state.reservation
    if head is not None:
        _place_job(state, now, rnd, head)
        if not head.waiting:
            head = None
    if held is not None and (head is None or head.id != held.job_id):
        clear_reservation(state.workers, held)
        state.reservation = held = None
        state.placement_needed = True
    if head is None:
        return
    every = (
        RESERVATION_REFRESH_S
        if held is None or now < held.start_at
        else OVERDUE_RESERVATION_REFRESH_S
    )
    if held is None or now >= held.made_at + every:
        _renew_reservation(state, now, head, held)


def _first_waiting(state, now):
    """Return the first job that may reserve workers: a gang, or an aged job."""
    found = [job for job in (_first_gang(state), _first_aged(state, now)) if job]
    return min(found, key=lambda job: (-job.priority, job.order, job.seq), default=None)


def _first_aged(state, now):
    """Return the first job that has been at the head of its team's queue for long."""
    found = None
    for _, name in state.teams.waiting:
        team = state.teams.by_name[name]
        job = _live_job(state, team.queue[0])
        if job is None or job.type == "gang":
            continue
        if job.queued_at is None:
            job.queued_at = now
        elif now - job.queued_at >= RESERVATION_MIN_WAIT_S and (
            found is None or job.seq < found.seq
        ):
            room = quota_headroom(state.teams, name, job.demand, 1)
            found = job if room and not never_runnable(state, job) else found
    return found


def _first_gang(state):
    for entry in list(state.teams.gangs):
        job = _live_job(state, entry)
        if job is None:
            state.teams.gangs.discard(entry)
        elif len(job.tasks) - job.ended_tasks == len(job.waiting) and not _refuse(
            state, job
        ):
            count = len(job.waiting)
            if quota_headroom(state.teams, job.team, job.demand, count) == count:
                return job
    return None


def _renew_reservation(state, now, job, held):
    new = make_reservation(
        state.workers, state.assigned, state.run_times, now, job, held
    )
    if new is None:
        if held is not None:
            held.made_at = now
        return
    if held is not None and now < held.start_at:
        clear_reservation(state.workers, held)
    elif held is not None:
        # Workers that already drain are kept: the gang comes nearer with each of them.
        new.workers |= held.workers
    for worker_id in new.workers:
        worker = state.workers.by_id.get(worker_id)
        if worker is not None and worker.reserved is None:
            reserve_worker(state.workers, worker, job.id)
    state.reservation = new


def _place_team(state, now, rnd, team):
    """Place one job's tasks of the team; return whether anything was placed."""
    tried = 0
    for entry in list(team.queue.islice(0, LOOKAHEAD_JOBS * 2)):
        job = _live_job(state, entry)
        if job is None or _refuse(state, job):
            dequeue_entry(state.teams, team, entry)
            continue
        tried += 1
        if tried > LOOKAHEAD_JOBS:
            break
        placed = _place_job(state, now, rnd, job)
        if not job.waiting:
            dequeue_entry(state.teams, team, entry)
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
    need = Resources(*(count * size for size in job.demand))
    if exceeds_quota(state.teams, job.team, need):
        return f"the job needs {_text(need)}, more than the quota of team {job.team}"
    return None


def _text(vector):
    return f"{vector[0]:g} cpu, {vector[1]:g} MB memory and {vector[2]:g} accelerators"


def _place_job(state, now, rnd, job):
    room = quota_headroom(state.teams, job.team, job.demand, len(job.waiting))
    reserved = _reserved_rule(state, now, job)
    # A demand that fitted nowhere in this round does not fit for the next job either,
    # unless that job may use reserved workers.
    shape = (job.demand, reserved is not None)
    if room == 0 or shape in rnd.blocked:
        return False
    if job.type == "gang":
        return _place_gang(state, now, rnd, job, room, reserved)
    counts = _rack_counts(state, job) if job.spread else None
    placed = False
    while room > 0 and job.waiting and rnd.decisions < MAX_DECISIONS_PER_PASS:
        task = job.waiting[-1]
        rnd.decisions += 1
        worker = _choose(state, job, task, counts, reserved)
        if worker is None:
            rnd.blocked.add(shape)
            break
        job.waiting.pop()
        assign(state, task, worker, now)
        if counts is not None:
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
        room -= 1
        placed = True
        job.queued_at = None
    return placed


def _reserved_rule(state, now, job):
    """Return which reserved workers the job may use, or None for none of them."""
    held = state.reservation
    owners = set()
    if held is not None and (
        job.urgent
        or held.job_id == job.id
        or may_backfill(state.run_times, held, now, job)
    ):
        owners.add(held.job_id)
    if job.urgent:
        owners.update(owner for owner, _ in state.holds.values())
    if not owners:
        return None
    return lambda worker: worker.reserved in owners


def _choose(state, job, task, counts, reserved):
    state.stats["decisions"] += 1

    def avoids(worker):
        return worker.id not in task.avoided_workers

    if counts is not None:
        worker = spread_fit(state.workers, job.demand, avoids, counts)
    else:
        worker = best_fit(state.workers, job.demand, avoids, reserved)
    if worker is None and task.avoided_workers:
        # Better a worker where it failed than none.
        return best_fit(state.workers, job.demand, lambda worker: True, reserved)
    return worker


def _rack_counts(state, job):
    counts = {}
    for task in job.tasks:
        worker = state.workers.by_id.get(task.worker)
        if worker is not None:
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
    return counts


def _place_gang(state, now, rnd, job, room, reserved):
    """Place all tasks of a gang, or none while some still run or do not fit."""
    active = len(job.tasks) - job.ended_tasks - len(job.waiting)
    retry_at = state.gang_retry_at.get(job.id, 0.0)
    if room < len(job.waiting) or active or now < retry_at:
        return False
    rnd.decisions += 1
    state.stats["decisions"] += 1
    keys = [(task.name, -1) for task in job.waiting]
    workers = place_gang(state.workers, job.demand, keys, lambda worker: True, reserved)
    if workers is None:
        state.gang_retry_at[job.id] = now + GANG_RETRY_S
        return False
    state.gang_retry_at.pop(job.id, None)
    tasks, job.waiting = job.waiting, []
    for task, worker, key in zip(tasks, workers, keys, strict=True):
        release_allocations(state.workers, worker, [key])
        assign(state, task, worker, now)
    return True
