"""Placement: chooses the order and the workers in which waiting tasks start."""

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

# Limits one pass, so that leases are renewed in time while many tasks are placed.
MAX_DECISIONS_PER_PASS = 64
# Minimum time between passes over the queues, so that jobs that arrive together are
# placed in one pass.
PLACEMENT_INTERVAL_S = 0.05
# Jobs tried from the front of a team's queue in one pass when the first does not fit.
LOOKAHEAD_JOBS = 8
# Minimum time between tries to place a gang that did not fit.
GANG_RETRY_S = 0.1
# A job at the head of its team's queue may reserve a worker after this time. Large
# tasks would otherwise never find a worker with enough free capacity while smaller
# tasks arrive.
RESERVATION_MIN_WAIT_S = 30.0
# How often a reservation is recomputed from newer run times: before its expected start
# time, and after that time has passed.
RESERVATION_REFRESH_S = 2.0
OVERDUE_RESERVATION_REFRESH_S = 30.0


class _PlacementPass:
    """One pass over the queues; ``blocked`` are demands that fit on no worker now."""

    def __init__(self):
        self.decisions = 0
        self.blocked = set()


def place_jobs(state, now):
    """Assign waiting tasks to workers; they start once their rows are written.

    Returns the signals to the tasks that urgent jobs preempt.
    """
    ready = state.loaded and state.config_version and not state.leaving
    ready = ready and state.placement_needed and now >= state.next_placement_at
    if not (ready and has_authority(state.owner_lease, now)):
        return []
    state.next_placement_at = now + PLACEMENT_INTERVAL_S
    placement_pass = _PlacementPass()
    state.placement_needed = False
    expire_holds(state, now)
    effects = _place_urgent(state, now, placement_pass)
    _update_reservation(state, now, placement_pass)
    place_in_bulk(state, now, placement_pass)
    order = list(state.teams.waiting)
    while order:
        if placement_pass.decisions >= MAX_DECISIONS_PER_PASS:
            state.placement_needed = True
            break
        team = state.teams.by_name[heapq.heappop(order)[1]]
        if (
            _place_team(state, now, placement_pass, team)
            and team.waiting_entry is not None
        ):
            heapq.heappush(order, team.waiting_entry)
    return effects


def _place_urgent(state, now, placement_pass):
    effects = []
    for entry in list(state.teams.urgent):
        job = _job_with_waiting_tasks(state, entry)
        if job is None:
            state.teams.urgent.discard(entry)
        elif not _refuse_if_never_runnable(state, job):
            _place_job(state, now, placement_pass, job)
            headroom = quota_headroom(
                state.teams, job.team, job.demand, len(job.waiting)
            )
            if headroom:
                effects += preempt_for(state, now, job, headroom)
    return effects


def _job_with_waiting_tasks(state, entry):
    """Return the job of a queue entry, or None when none of its tasks wait."""
    job = state.jobs.by_id.get(entry[-1])
    if job is None or job.final is not None or not job.waiting:
        return None
    return job


def _refuse_if_never_runnable(state, job):
    reason = never_runnable(state, job)
    if reason:
        refuse_job(job, reason)
        mark_dirty(state, job)
    return reason is not None


def _update_reservation(state, now, placement_pass):
    """Try the first gang or aged job, and reserve workers for it while it waits."""
    head = _first_waiting(state, now)
    current_reservation = state.reservation
    if head is not None:
        _place_job(state, now, placement_pass, head)
        if not head.waiting:
            head = None
    if current_reservation is not None and (
        head is None or head.id != current_reservation.job_id
    ):
        clear_reservation(state.workers, current_reservation)
        state.reservation = current_reservation = None
        state.placement_needed = True
    if head is None:
        return
    refresh_s = (
        RESERVATION_REFRESH_S
        if current_reservation is None or now < current_reservation.start_at
        else OVERDUE_RESERVATION_REFRESH_S
    )
    if current_reservation is None or now >= current_reservation.made_at + refresh_s:
        _renew_reservation(state, now, head, current_reservation)


def _first_waiting(state, now):
    """Return the first job that may reserve workers: a gang, or an aged job."""
    found = [job for job in (_first_gang(state), _first_aged(state, now)) if job]
    return min(found, key=lambda job: (-job.priority, job.order, job.seq), default=None)


def _first_aged(state, now):
    """Return the first job that waited long enough at its team's head to reserve."""
    found = None
    for _, name in state.teams.waiting:
        team = state.teams.by_name[name]
        job = _job_with_waiting_tasks(state, team.queue[0])
        if job is None or job.type == "gang":
            continue
        if job.queued_at is None:
            job.queued_at = now
        elif now - job.queued_at >= RESERVATION_MIN_WAIT_S and (
            found is None or job.seq < found.seq
        ):
            headroom = quota_headroom(state.teams, name, job.demand, 1)
            found = job if headroom and not never_runnable(state, job) else found
    return found


def _first_gang(state):
    for entry in list(state.teams.gangs):
        job = _job_with_waiting_tasks(state, entry)
        if job is None:
            state.teams.gangs.discard(entry)
        elif len(job.tasks) - job.ended_tasks == len(
            job.waiting
        ) and not _refuse_if_never_runnable(state, job):
            count = len(job.waiting)
            if quota_headroom(state.teams, job.team, job.demand, count) == count:
                return job
    return None


def _renew_reservation(state, now, job, current_reservation):
    new = make_reservation(
        state.workers, state.assigned, state.run_times, now, job, current_reservation
    )
    if new is None:
        if current_reservation is not None:
            current_reservation.made_at = now
        return
    if current_reservation is not None and now < current_reservation.start_at:
        clear_reservation(state.workers, current_reservation)
    elif current_reservation is not None:
        # Workers that are already draining stay reserved: each of them brings the job
        # closer to its start.
        new.workers |= current_reservation.workers
    for worker_id in new.workers:
        worker = state.workers.by_id.get(worker_id)
        if worker is not None and worker.reserved is None:
            reserve_worker(state.workers, worker, job.id)
    state.reservation = new


def _place_team(state, now, placement_pass, team):
    """Place tasks of one job of the team; return whether any task was placed."""
    tried = 0
    for entry in list(team.queue.islice(0, LOOKAHEAD_JOBS * 2)):
        job = _job_with_waiting_tasks(state, entry)
        if job is None or _refuse_if_never_runnable(state, job):
            dequeue_entry(state.teams, team, entry)
            continue
        tried += 1
        if tried > LOOKAHEAD_JOBS:
            break
        placed = _place_job(state, now, placement_pass, job)
        if not job.waiting:
            dequeue_entry(state.teams, team, entry)
        if placed:
            return True
    return False


def never_runnable(state, job):
    """Return the reason why the job can never run, or None."""
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


def _place_job(state, now, placement_pass, job):
    headroom = quota_headroom(state.teams, job.team, job.demand, len(job.waiting))
    may_use_reserved = _reserved_worker_filter(state, now, job)
    # A demand that fitted on no worker in this pass does not fit for later jobs either,
    # unless they may use reserved workers.
    blocked_key = (job.demand, may_use_reserved is not None)
    if headroom == 0 or blocked_key in placement_pass.blocked:
        return False
    if job.type == "gang":
        return _place_gang(state, now, placement_pass, job, headroom, may_use_reserved)
    counts = _rack_counts(state, job) if job.spread else None
    placed = False
    while (
        headroom > 0
        and job.waiting
        and placement_pass.decisions < MAX_DECISIONS_PER_PASS
    ):
        task = job.waiting[-1]
        placement_pass.decisions += 1
        worker = _choose_worker(state, job, task, counts, may_use_reserved)
        if worker is None:
            placement_pass.blocked.add(blocked_key)
            break
        job.waiting.pop()
        assign(state, task, worker, now)
        if counts is not None:
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
        headroom -= 1
        placed = True
        job.queued_at = None
    return placed


def _reserved_worker_filter(state, now, job):
    """Return a predicate for reserved workers that the job may use, or None."""
    current_reservation = state.reservation
    owners = set()
    if current_reservation is not None and (
        job.urgent
        or current_reservation.job_id == job.id
        or may_backfill(state.run_times, current_reservation, now, job)
    ):
        owners.add(current_reservation.job_id)
    if job.urgent:
        owners.update(owner for owner, _ in state.holds.values())
    if not owners:
        return None
    return lambda worker: worker.reserved in owners


def _choose_worker(state, job, task, counts, may_use_reserved):
    state.stats["decisions"] += 1

    def avoids(worker):
        return worker.id not in task.avoided_workers

    if counts is not None:
        worker = spread_fit(state.workers, job.demand, avoids, counts)
    else:
        worker = best_fit(state.workers, job.demand, avoids, may_use_reserved)
    if worker is None and task.avoided_workers:
        # Rather run the task on a worker where it failed before than not at all.
        return best_fit(
            state.workers, job.demand, lambda worker: True, may_use_reserved
        )
    return worker


def _rack_counts(state, job):
    counts = {}
    for task in job.tasks:
        worker = state.workers.by_id.get(task.worker)
        if worker is not None:
            counts[worker.rack] = counts.get(worker.rack, 0) + 1
    return counts


def _place_gang(state, now, placement_pass, job, headroom, may_use_reserved):
    """Place all tasks of a gang, or none if some still run or do not all fit."""
    active = len(job.tasks) - job.ended_tasks - len(job.waiting)
    retry_at = state.gang_retry_at.get(job.id, 0.0)
    if headroom < len(job.waiting) or active or now < retry_at:
        return False
    placement_pass.decisions += 1
    state.stats["decisions"] += 1
    keys = [(task.name, -1) for task in job.waiting]
    workers = place_gang(
        state.workers, job.demand, keys, lambda worker: True, may_use_reserved
    )
    if workers is None:
        state.gang_retry_at[job.id] = now + GANG_RETRY_S
        return False
    state.gang_retry_at.pop(job.id, None)
    tasks, job.waiting = job.waiting, []
    for task, worker, key in zip(tasks, workers, keys, strict=True):
        release_allocations(state.workers, worker, [key])
        assign(state, task, worker, now)
    return True
