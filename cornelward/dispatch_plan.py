"""Core: the planning pass.

It places tasks of waiting jobs on workers and asks the policy service for tickets.
"""

import heapq
from collections import Counter
from typing import NamedTuple

from . import (
    advising,
    asked_workers,
    capacity_index,
    commits,
    crash_trials,
    objectives,
    pacing,
    plan_workspaces,
    planning,
    queue_index,
    waits,
    worker_speeds,
)
from . import staged_jobs as jobs
from . import workers as worker_table
from .dispatch_tasks import mark_dirty
from .dispatch_workspaces import rate_new_jobs
from .log import get_logger
from .staged_jobs import PLACED, WAITING, is_step_ready

__all__ = ["MAX_UNPLACED_JOBS", "ask_about_next_steps", "ask_early", "plan"]

log = get_logger("dispatch_plan")

# Of the steps that wait for capacity, only the first in planning order that can get it
# have expired tickets renewed meanwhile.
STEPS_WITH_TICKETS = 8
# They are not asked about for this long after a step that could be placed, and is
# overdue, has found no node to ask. Longer than the interval between passes.
OWED_ADVICE_S = 0.4
# A step's advice is asked this long before the call should be needed, and again as its
# tickets run out, in all so many times.
EARLY_ADVICE_S = 0.4
EARLY_ADVICE_CALLS = 4
# Jobs of a queue that a pass may examine without placing any of their tasks: these
# jobs wait for capacity or for advice.
MAX_UNPLACED_JOBS = 100
# Of these so many are the first of the queue in each pass, while much is free. The
# others come in turn, as the first may be jobs that can never be placed.
FIRST_JOBS = 50


def record_time_s(state):
    """Return how long it may take to record a start, in seconds.

    It may have to wait for a commit in progress before its own commit.
    """
    return 2 * state.commit_time_s


class PlanningPass(NamedTuple):
    """State of one planning pass."""

    now: float
    capacity: capacity_index.FreeCapacity
    workspaces: plan_workspaces.WorkspacePass
    # Keys of the steps that may be asked about while they wait for capacity.
    steps_ahead: list
    trials: crash_trials.TrialPass


def plan(state, now):
    """Place the tasks that fit, in planning order; returns the remaining FreeCapacity.

    To bound the cost of a pass over long queues, a queue is skipped for the rest of a
    phase once MAX_UNPLACED_JOBS of its jobs were examined without a placement; the next
    passes examine other jobs of it.
    """
    rate_new_jobs(state)
    queue_index.refresh(state.queue_index)
    capacity_index.refresh(state.capacity, state.workers, now)
    shares = plan_workspaces.begin_pass(
        state.accounts,
        state.queue_index,
        state.capacity.workers.values(),
        state.cfg.get("cap_overage", 0.0),
        state.is_configured,
    )
    trials = crash_trials.TrialPass(state.workers)
    this_pass = PlanningPass(now, state.capacity, shares, [], trials)
    pacing.begin_pass(state.pacing, now)
    phases = plan_workspaces.phases(shares, state.queue_index)
    for number, closed in enumerate(phases):
        turns = state.queue_turns.setdefault(number, {})
        _plan_phase(state, this_pass, closed, turns)
    plan_workspaces.end_pass(shares)
    return this_pass.capacity


def _plan_phase(state, this_pass, closed, turns):
    """Place tasks of the queues that are not ``closed``.

    ``turns`` says how many jobs after the first of each queue were examined in vain by
    the latest passes: these wait for another turn.
    """
    shares, unplaced_jobs, seen = this_pass.workspaces, {}, Counter()
    for job in queue_index.in_planning_order(state.queue_index, this_pass.now, closed):
        queue = queue_index.queue_key(job)[:3]
        seen[queue] += 1
        if 0 < seen[queue] - FIRST_JOBS <= turns.get(queue, 0):
            continue
        if commits.partition_of(job.spec.id) in state.stuck_partitions:
            _note_unrecorded(state, this_pass.now, job)
            continue
        this_pass.capacity.jobs += 1
        name, placed = job.spec.workspace, 0
        for key in job.ready_steps:
            placed += _plan_step_safely(state, this_pass, job, key)
        if job.account is not None:
            plan_workspaces.close_queues(shares, state.queue_index, closed, name)
        if placed or name in shares.held:
            continue
        unplaced_jobs[queue] = unplaced_jobs.get(queue, 0) + 1
        if unplaced_jobs[queue] >= MAX_UNPLACED_JOBS:
            _close_long_queue(state, this_pass, job, seen[queue], closed)
            turns[queue] = _next_turn(state, this_pass, job, seen[queue])
    for queue in seen:
        if unplaced_jobs.get(queue, 0) < MAX_UNPLACED_JOBS:
            turns.pop(queue, None)


def _note_unrecorded(state, now, job):
    """Note that nothing of a job is placed, as its record cannot be written."""
    for key in job.ready_steps:
        tasks = queue_index.placeable_tasks(job, key)
        waits.note(state, now, job, key, tasks, waits.RECORD)


def _next_turn(state, this_pass, job, seen):
    """Return how many jobs after the first the next pass leaves out.

    While the service is rather full, its jobs wait for room in their order.
    """
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    lasts = queue_index.queue_key(job).lasts
    if lasts or capacity_index.is_half_free(this_pass.capacity, queue.service):
        return seen - FIRST_JOBS
    return 0


def _close_long_queue(state, this_pass, job, examined, closed):
    """Skip the rest of a queue once enough of its jobs were examined in vain."""
    name, workspace = job.spec.queue.name, job.spec.workspace
    waits.note_closed_queue(state, this_pass.now, name, workspace, examined)
    prefix = queue_index.queue_key(job)[:3]
    closed.update(key for key in state.queue_index.queues if key[:3] == prefix)


def _plan_step_safely(state, this_pass, job, key):
    """Plan a step; an unexpected error must not end the pass for the other jobs."""
    try:
        return _plan_step(state, this_pass, job, key)
    except Exception as exc:
        if job.spec.id not in state.unplanned_jobs:
            state.unplanned_jobs.add(job.spec.id)
            log("error", "job_not_planned", job=job.spec.id, reason=repr(exc))
        return 0


def _plan_step(state, this_pass, job, key):
    """Place tasks of a step; returns the number of tasks placed."""
    waiting = queue_index.placeable_tasks(job, key)
    placed, why = _try_step(state, this_pass, job, key, waiting)
    plan_workspaces.end_step(this_pass.workspaces, job, len(placed))
    if len(placed) < len(waiting):
        missing = [task for task in waiting if task.state == WAITING]
        waits.note(state, this_pass.now, job, key, missing, why)
    else:
        waits.clear(job, key)
    return len(placed)


def _try_step(state, this_pass, job, key, tasks):
    """Place those of the tasks that may be placed now.

    Returns their Placements, and what the other tasks wait for.
    """
    now, capacity = this_pass.now, this_pass.capacity
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    allowed = None
    if queue.advice is not None:
        allowed = advising.valid_tickets(job, key, now, record_time_s(state))
    why = waits.NO_ROOM
    if job.has_crashes:
        allowed_tasks = crash_trials.tasks_to_place(job, tasks, state.workers)
        why, tasks = _reason(why, waits.TRIAL, tasks, allowed_tasks), allowed_tasks
    startable = plan_workspaces.startable_tasks(this_pass.workspaces, job, key, tasks)
    why, tasks = _reason(why, waits.WORKSPACE, tasks, startable), startable
    waiting = len(tasks)
    unpaced = pacing.tasks_to_place(state, this_pass, job, key, tasks)
    why, tasks = _reason(why, waits.PACED, tasks, unpaced), unpaced
    if not tasks:
        return [], why
    patience = 0.0
    if capacity.are_uneven:
        patience = worker_speeds.patience_of(now, job, key, state.run_times)
    candidate = planning.Candidate(job, key, tasks, allowed, patience)
    gang = job.spec.steps[key[1]].gang
    placed = _place_tasks(state, this_pass, candidate, queue.service)
    if placed and len(placed) == waiting and queue.advice is not None:
        _schedule_next_steps(state, now, job, key)
    pacing.note_placed(state, candidate, queue, len(placed))
    if gang and not placed:
        tickets = job.tickets.get(key)
        known = queue.advice is None or (tickets is not None and tickets.approved)
        if known:
            approved = None if queue.advice is None else tickets.approved
            planning.reserve_for_gang(capacity, candidate, queue.service, approved)
    if len(placed) < len(tasks):
        why = _wait_reason(job, candidate)
        if queue.advice is not None:
            why = _ask(state, this_pass, candidate, queue)
    return placed, why


def _reason(known, reason, before, after):
    """Return the first reason for which tasks were left out."""
    return reason if known == waits.NO_ROOM and len(after) < len(before) else known


def _wait_reason(job, candidate):
    if crash_trials.has_suspects(job, candidate.tasks):
        return waits.TRIAL_LIMIT
    gang = job.spec.steps[candidate.key[1]].gang
    return waits.GANG_ROOM if gang else waits.NO_ROOM


def _place_tasks(state, this_pass, candidate, service):
    """Place the tasks of a candidate that fit; returns their Placements."""
    now, capacity = this_pass.now, this_pass.capacity
    job, key, tasks = candidate[:3]
    are_suspects = crash_trials.has_suspects(job, tasks)
    if are_suspects:
        trials = this_pass.trials
        placed = crash_trials.fit_suspects(trials, capacity, candidate, service)
    elif planning.fits_nowhere(capacity, candidate, service):
        return []
    elif job.spec.steps[key[1]].gang:
        placed = planning.fit_gang(capacity, candidate, service)
    else:
        placed = planning.fit_tasks(capacity, candidate, service)
    for placement in placed or ():
        _place(state, now, job, placement)
    if placed:
        job.started = True
        mark_dirty(state, job)
    if are_suspects:
        crash_trials.begin(job, placed)
    return placed or []


def _schedule_next_steps(state, now, job, key):
    """Schedule advice about the steps that wait for a step whose tasks are placed."""
    occurrence, number = key
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    estimate_s = job.spec.steps[number].estimate_s
    run_s = objectives.expected_run_s(state.run_times, queue.name, estimate_s)
    ahead_s = EARLY_ADVICE_S + advising.expected_call_s(queue.advice)
    at = now + max(0.0, run_s - ahead_s)
    for following, step in enumerate(job.spec.steps):
        if number in step.after:
            item = (at, job.spec.id, (occurrence, following), EARLY_ADVICE_CALLS)
            heapq.heappush(state.early_advice, item)


def ask_about_next_steps(state, now):
    """Ask about the steps that should become ready before their tickets run out."""
    while state.early_advice and state.early_advice[0][0] <= now:
        _, job_id, key, calls = heapq.heappop(state.early_advice)
        job = state.jobs.get(job_id)
        if job is None or job.outcome is not None or is_step_ready(job, key):
            continue
        before = job.spec.steps[key[1]].after
        tasks = [t for number in before for t in job.tasks[key[0], number]]
        if any(task.state == WAITING for task in tasks):
            # The step before has to be placed again, which schedules this one anew.
            continue
        queue = state.queues.get(job.spec.queue.name, job.spec.queue)
        if queue.advice is None:
            continue
        allowed = advising.valid_tickets(job, key, now, record_time_s(state))
        candidate = planning.Candidate(job, key, job.tasks[key], allowed)
        _request_advice(state, now, candidate, queue)
        if calls > 1:
            again = now + queue.advice.valid_s - EARLY_ADVICE_S
            heapq.heappush(state.early_advice, (again, job_id, key, calls - 1))


def ask_early(state, now, job):
    """Ask the policy service about the first steps of a job that is being stored."""
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    if queue.advice is None:
        return
    for key, tasks in job.tasks.items():
        if not job.spec.steps[key[1]].after:
            candidate = planning.Candidate(job, key, tasks, {})
            _request_advice(state, now, candidate, queue)


def _place(state, now, job, placement):
    task, worker = placement.task, placement.worker
    step_tasks = job.tasks[task.key[:2]]
    gang = job.spec.steps[task.key[1]].gang
    if gang:
        # All members of a gang are started with the same attempt number.
        attempt = max(t.attempt for t in step_tasks if t.state != PLACED) + 1
        placed = [t.attempt for t in step_tasks if t.state == PLACED]
        attempt = max([attempt, *placed]) if placed else attempt
    else:
        attempt = task.attempt + 1
    task.attempt, task.state = attempt, PLACED
    name = jobs.task_name(job, task)
    info, state_of_run = worker.info, worker_table.RECORDING
    run = worker_table.Run(
        job, task, name, attempt, info.id, state_of_run, info.address, info.born
    )
    run.checkpoint = task.checkpoint
    if gang:
        # All members must resume from the same checkpoint, and any member's is valid.
        run.checkpoint = next((t.checkpoint for t in step_tasks if t.checkpoint), "")
    task.run = run
    worker_table.add_run(worker, run)
    state.poll_due[worker.info.id] = True
    mark_dirty(state, job, ("start", run, placement.ticket))


def _ask(state, this_pass, candidate, queue):
    """Ask the policy service about workers with no answer yet or an expired ticket.

    Steps that wait for capacity are asked about ahead of time, unless steps that could
    be placed lack tickets. Returns what the step waits for.
    """
    now, capacity = this_pass.now, this_pass.capacity
    job, key = candidate.job, candidate.key
    why = _why_not_asked(state, this_pass, candidate, queue)
    if why is not None:
        return why
    unknown, expired = _without_ticket(capacity, candidate, queue)
    ids = [*candidate.allowed, *expired, *unknown]
    is_early = _may_ask_ahead(this_pass, candidate, ids, bool(unknown))
    if advising.tickets_of(job, key).call_ids:
        return waits.ADVICE
    if not unknown and not expired:
        return waits.APPROVED_ROOM
    has_node = advising.has_free_node(state.advising, now)
    is_owed = waits.is_overdue(job, key, now)
    if not has_node and not is_owed:
        return waits.ADVICE_NODE
    has_room = asked_workers.has_room(capacity, candidate, queue.service, ids)
    if not has_node:
        if has_room:
            state.advising.owed_until = now + OWED_ADVICE_S
        return waits.ADVICE_NODE
    if not has_room:
        if not is_early:
            return _wait_reason(job, candidate)
        if now < state.advising.owed_until:
            return waits.ADVICE_NODE
    return _request_advice(state, now, candidate, queue)


def _may_ask_ahead(this_pass, candidate, ids, has_unknown):
    """Return whether a step may be asked about while it waits for capacity."""
    if not has_unknown and len(this_pass.steps_ahead) >= STEPS_WITH_TICKETS:
        return False
    if not asked_workers.can_fit(this_pass.capacity, candidate, ids):
        return False
    this_pass.steps_ahead.append(candidate.key)
    return True


def _why_not_asked(state, this_pass, candidate, queue):
    """Return why a step is certainly not asked about in this pass, or None.

    Examining the workers for it would change nothing: enough steps may be asked about
    ahead, and it is known that a step that could be placed has found no free node.
    """
    if len(this_pass.steps_ahead) < STEPS_WITH_TICKETS:
        return None
    job, key, advice = candidate.job, candidate.key, state.advising
    tickets = advising.tickets_of(job, key)
    if tickets.call_ids:
        return waits.ADVICE
    # Otherwise it may be approved room that the step waits for.
    has_unknown = len(tickets.asked) < len(
        this_pass.capacity.askable.get(queue.service, ())
    )
    if not has_unknown or advising.has_free_node(advice, this_pass.now):
        return None
    is_owed = waits.is_overdue(job, key, this_pass.now)
    if is_owed and advice.owed_until < this_pass.now + OWED_ADVICE_S:
        return None
    return waits.ADVICE_NODE


def _without_ticket(capacity, candidate, queue):
    """Return (ids of workers not asked about, ids of those whose tickets expired)."""
    tickets = advising.tickets_of(candidate.job, candidate.key)
    askable = capacity.askable.get(queue.service, ())
    unknown = [i for i in askable if i not in tickets.asked]
    expired = [
        i
        for i in tickets.approved
        if i in capacity.workers and i not in candidate.allowed
    ]
    return unknown, expired


def _request_advice(state, now, candidate, queue):
    """Ask about workers without a ticket; returns what the step waits for."""
    capacity, job, key = state.capacity, candidate.job, candidate.key
    unknown, expired = _without_ticket(capacity, candidate, queue)
    # Approval does not change: workers that were approved need a new ticket only.
    wanted, missing = asked_workers.workers_to_ask(capacity, candidate, expired, 1.0)
    if missing > 0 or not expired:
        rate = advising.approval_rate(state.advising, queue.name)
        wanted += asked_workers.workers_to_ask(capacity, candidate, unknown, rate)[0]
    calls = advising.request_advice(state.advising, now, job, key, wanted, queue.advice)
    state.effects += calls
    return waits.ADVICE if calls else waits.ADVICE_NODE
