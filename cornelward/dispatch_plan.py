"""Core: one pass of the planner over the jobs that wait; asks for advice on them."""

from typing import NamedTuple

from . import advising, planning, queue_index
from . import staged_jobs as jobs
from . import workers as table
from .dispatch_runs import mark_dirty
from .staged_jobs import PLACED

__all__ = ["MAX_UNPLACED_JOBS", "plan"]

# The first steps of the queue keep fresh tickets while they wait for room.
STEPS_WITH_TICKETS = 8
# Jobs of a queue that a pass may look at in vain: they wait for room or advice.
MAX_UNPLACED_JOBS = 100


def record_time_s(state):
    """Return how long a record may take: one commit under way, then its own."""
    return 2 * state.commit_time_s


class Pass(NamedTuple):
    """One pass of the planner; ``askable`` is {service: ids of workers to ask about}"""

    now: float
    capacity: planning.FreeCapacity
    askable: dict


def _begin_pass(state, now):
    usable = [w for w in state.workers.values() if table.is_usable(w, now)]
    askable = {}
    for worker in state.workers.values():
        if worker.registered and not worker.info.draining:
            askable.setdefault(worker.info.service, []).append(worker.info.id)
    return Pass(now, planning.FreeCapacity(usable), askable)


def plan(state, now):
    """Place what fits, in the order of the queues; returns the Room that is left.

    Answers queues longer than the room: each queue is closed for the pass once
    PASSED_OVER of its jobs were not placed.
    """
    queue_index.refresh(state.queue_index)
    this_pass = _begin_pass(state, now)
    passed_over, closed = {}, set()
    rank = 0
    for job in queue_index.in_planning_order(state.queue_index, now, closed):
        this_pass.capacity.jobs += 1
        placed = 0
        for key in job.ready_steps:
            placed += _plan_step(state, this_pass, job, key, rank)
            rank += 1
        if not placed:
            name = queue_index.queue_key(job)
            passed_over[name] = passed_over.get(name, 0) + 1
            if passed_over[name] >= MAX_UNPLACED_JOBS:
                closed.add(name)
    return this_pass.capacity


def _plan_step(state, this_pass, job, key, rank):
    """Place tasks of a step; returns how many were."""
    now, capacity = this_pass.now, this_pass.capacity
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    allowed = None
    if queue.advice is not None:
        allowed = advising.valid_tickets(job, key, now, record_time_s(state))
    tasks = queue_index.placeable_tasks(job, key)
    candidate = planning.Candidate(job, key, tasks, allowed)
    gang = job.spec.steps[key[1]].gang
    placed = []
    if not planning.fits_nowhere(capacity, candidate, queue.service):
        fit = planning.fit_gang if gang else planning.fit_tasks
        placed = fit(capacity, candidate, queue.service) or []
    for placement in placed:
        _place(state, now, job, placement)
    if placed:
        job.started = True
        mark_dirty(state, job)
    if gang and not placed:
        tickets = job.tickets.get(key)
        known = queue.advice is None or (tickets is not None and tickets.approved)
        if known:
            approved = None if queue.advice is None else tickets.approved
            planning.reserve_for_gang(capacity, candidate, queue.service, approved)
    if queue.advice is not None and len(placed) < len(tasks):
        _ask(state, this_pass, candidate, queue, rank)
    return len(placed)


def _place(state, now, job, placement):
    task, worker = placement.task, placement.worker
    step_tasks = job.tasks[task.key[:2]]
    gang = job.spec.steps[task.key[1]].gang
    if gang:
        # All members of one start carry the same number.
        attempt = max(t.attempt for t in step_tasks if t.state != PLACED) + 1
        placed = [t.attempt for t in step_tasks if t.state == PLACED]
        attempt = max([attempt, *placed]) if placed else attempt
    else:
        attempt = task.attempt + 1
    task.attempt, task.state = attempt, PLACED
    name = jobs.task_name(job, task)
    run = table.Run(job, task, name, attempt, worker.info.id, table.RECORDING)
    run.checkpoint = task.checkpoint
    task.run = run
    table.add_run(worker, run)
    state.poll_due.add(worker.info.id)
    mark_dirty(state, job, ("start", run, placement.ticket))


def _ask(state, this_pass, candidate, queue, rank):
    """Ask about workers that are not known yet, or whose tickets have run out."""
    now, capacity = this_pass.now, this_pass.capacity
    job, key = candidate.job, candidate.key
    tickets = advising.tickets_of(job, key)
    if tickets.call_id is not None or not advising.has_free_node(state.advising, now):
        return
    askable = this_pass.askable.get(queue.service, ())
    unknown = [i for i in askable if i not in tickets.asked]
    expired = [
        i
        for i in tickets.approved
        if i in capacity.workers and i not in candidate.allowed
    ]
    wanted = unknown + expired
    if not wanted or (not unknown and rank >= STEPS_WITH_TICKETS):
        return
    effect = advising.request_advice(state.advising, now, job, key, wanted)
    if effect is not None:
        state.effects.append(effect)
