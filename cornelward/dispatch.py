"""Core of the leader: tables of jobs and workers, and the systems that run over them.

``event(state, now, ...)`` changes the state and appends effects to ``state.effects``;
the shell carries them out. ``step`` is called after each batch of events: it places
what can be placed, and sends commits and looks that are due.
"""

import random
from typing import NamedTuple

from . import advising, commits, planning
from . import staged_jobs as jobs
from . import waiting as queue_index
from . import workers as table
from .dispatch_effects import Start, Tell
from .dispatch_looks import drop_lost_workers, send_looks
from .dispatch_runs import request_stop, stop_retries, void
from .log import get_logger
from .staged_jobs import (
    CANCELLED,
    COMPLETED,
    FAILED,
    PLACED,
    QUEUED,
    RUNNING,
)

__all__ = [
    "Dispatcher",
    "advice_answered",
    "cancel",
    "commit_answered",
    "job_seen",
    "pending_by_queue",
    "plan",
    "set_queues",
    "state_of",
    "step",
    "workers_seen",
]

log = get_logger("dispatch")

# The first steps of the queue keep fresh tickets while they wait for room.
STEPS_WITH_TICKETS = 8
# Jobs of a queue that a pass may look at in vain: they wait for room or advice.
PASSED_OVER = 100
# Interval of the checks of all workers and runs; others follow events.
SWEEP_S = 0.05
# What a worker that leaves still runs is stopped this much ahead: the order has to
# reach it and the end to be listed.
LEAVE_MARGIN_S = 0.4


class Dispatcher:
    """State of a leader; ``unknown_lease_s`` is how long a former one's may hold."""

    def __init__(self, token, fences, cfg, now):
        self.token = token
        self.cfg = cfg
        self.started_at = now
        self.unknown_lease_s = cfg["unknown_lease_s"]
        self.writers = {
            part: commits.Writer(part, version) for part, version in fences.items()
        }
        self.jobs = {}
        # Final state of the jobs that are over: id -> state.
        self.finished = {}
        self.workers = {}
        self.queues = {}
        self.advising = advising.Advising()
        self.waiting = queue_index.Waiting()
        # Jobs with occurrences: id -> Job.
        self.timed = {}
        # Workers at which a look may be due before the next sweep.
        self.look_due = set()
        self.sweep_at = now
        self.effects = []
        self.needs_plan = True
        self.fenced_off = False
        # Cancels of jobs that are not known yet: id -> replies.
        self.rng = random.Random(token)


def writer_of(state, job):
    """Return the Writer of the job's partition."""
    return state.writers[commits.part_of(job.spec.id)]


def mark(state, job, effect=None):
    """Record the job's state; ``effect`` is carried out after that."""
    if effect is not None:
        job.after_commit.append(effect)
    commits.mark(writer_of(state, job), job)
    queue_index.touch(state.waiting, job)


def _add_job(state, job):
    state.jobs[job.spec.id] = job
    if job.spec.occurrences:
        state.timed[job.spec.id] = job
    queue_index.touch(state.waiting, job)
    state.needs_plan = True


def job_seen(state, now, spec, version, accepted_at):
    """Take in an accepted job; a known one is left alone."""
    if spec.id in state.jobs or spec.id in state.finished:
        return
    _add_job(state, jobs.new_job(spec, version, accepted_at))


def restore_job(state, spec, version, record, record_version, accepted_at, now):
    """Take in a job with the record of a former leader."""
    job = jobs.new_job(spec, version, accepted_at)
    _add_job(state, job)
    for task, worker_id in jobs.restore_record(job, record, record_version):
        worker = state.workers.get(worker_id)
        if worker is None:
            # Not registered any more; its lease may still hold.
            info = _lost_worker(worker_id, spec.queue.service)
            worker = table.new_worker(info, now, state.unknown_lease_s)
            worker.listed = False
            state.workers[worker_id] = worker
        name = jobs.task_name(job, task)
        run = table.Run(job, task, name, task.attempt, worker_id, table.ADOPTED)
        run.saved = task.saved
        task.run = run if task.state == PLACED else None
        table.add_run(worker, run)
    if job.outcome is not None:
        mark(state, job)


def _lost_worker(worker_id, service):
    return table.WorkerInfo(
        worker_id, service, "", "", "", (), 0, 0, 0, True, 0.0, 0, 0.0
    )


def set_queues(state, queues):
    """Use a newer configuration: name -> Queue."""
    state.queues = queues
    state.needs_plan = True


def workers_seen(state, now, infos, complete):
    """Take in registry entries; ``complete`` lists are all there are."""
    for info in infos:
        worker = state.workers.get(info.id)
        if worker is None:
            worker = table.new_worker(info, now, state.unknown_lease_s)
            state.workers[info.id] = worker
            _note_drain(worker, now, info)
            log("info", "worker_seen", worker=info.id, address=info.address)
            continue
        _note_drain(worker, now, info)
        if not worker.info.address:
            table.note_clock(worker, now, info.clock_s)
        worker.info, worker.listed = info, True
    if complete:
        present = {info.id for info in infos}
        for worker_id in set(state.workers) - present:
            worker_gone(state, worker_id)
    state.needs_plan = True


def _note_drain(worker, now, info):
    if info.draining and worker.leaves_at is None:
        log("info", "worker_draining", worker=info.id, leaves_in_s=info.leaves_in_s)
        worker.leaves_at = now + info.leaves_in_s
    elif not info.draining:
        worker.leaves_at = None


def _leave_draining_workers(state, now):
    """Stop what will not end before a worker leaves: a stop saves its progress."""
    ahead_s = state.cfg["stop_s"] + LEAVE_MARGIN_S
    for worker in state.workers.values():
        if worker.leaves_at is None or now < worker.leaves_at - ahead_s:
            continue
        for run in worker.runs.values():
            if run.state in (table.ACTIVE, table.SENT):
                request_stop(state, now, run)


def worker_gone(state, worker_id):
    """Take in that a worker is not registered any more."""
    worker = state.workers.get(worker_id)
    if worker is not None and worker.listed:
        worker.listed = False
        log("info", "worker_unlisted", worker=worker_id, runs=len(worker.runs))


def state_of(state, job_id):
    """Return the job's recorded state, or None if it is not known here."""
    job = state.jobs.get(job_id)
    return job.shown if job is not None else state.finished.get(job_id)


def pending_by_queue(state):
    """Return {queue: accepted jobs of which no task has started}."""
    return queue_index.pending_counts(state.waiting)


def cancel(state, now, job_id, reply):
    """Cancel a job; ``reply(True)`` once that is recorded, None if it is unknown.

    ``reply(False)`` if it is over.
    """
    job = state.jobs.get(job_id)
    if state.finished.get(job_id) == CANCELLED:
        state.effects.append(Tell(reply, True))
        return
    if job is None or job.outcome in (COMPLETED, FAILED):
        over = job is not None or job_id in state.finished
        state.effects.append(Tell(reply, False if over else None))
        return
    mark(state, job, Tell(reply, True))
    if job.outcome is None:
        end_job(state, now, job, CANCELLED)


def end_job(state, now, job, outcome):
    """Decide the job's outcome and stop what still runs of it."""
    log("info", "job_ended", job=job.spec.id, outcome=outcome)
    job.outcome = outcome
    mark(state, job)
    for tasks in job.tasks.values():
        for task in tasks:
            if task.run is not None:
                request_stop(state, now, task.run)
    state.needs_plan = True


def commit_answered(state, now, part, result):
    """Take in the answer to a Commit."""
    writer = state.writers[part]
    batch = commits.finish(writer, now, result)
    if batch is None:
        return
    if batch is False:
        log("warning", "fenced_off", part=part, token=state.token)
        state.fenced_off = True
        return
    for job in batch.jobs:
        job.shown = job.outcome or (RUNNING if job.started else QUEUED)
    for job in batch.finals:
        state.finished[job.spec.id] = job.outcome
        state.jobs.pop(job.spec.id, None)
        state.timed.pop(job.spec.id, None)
        writer.dirty.pop(job.spec.id, None)
    # What was asked of a job while its end was written needs no further write.
    late = [effect for job in batch.finals for effect in job.after_commit]
    for effect in (*batch.effects, *late):
        _carry_out(state, now, effect)


def _carry_out(state, now, effect):
    kind = effect[0] if type(effect) is tuple else None
    if kind == "start":
        _send_start(state, now, *effect[1:])
    elif kind == "end":
        _end_recorded(state, *effect[1:])
    else:
        state.effects.append(effect)


def _send_start(state, now, run, ticket):
    worker = state.workers.get(run.worker)
    if run.state == table.STOPPING or worker is None or run.job.outcome is not None:
        # Never sent, so nothing is left of it.
        void(state, now, run, "withdrawn")
        return
    run.state = table.SENT
    run.sent_at = now
    deadline = table.extend_lease(worker, now, state.cfg["lease_s"])
    state.effects.append(Start(run, worker.info.address, deadline, ticket))


def _end_recorded(state, worker_id, born, number):
    worker = state.workers.get(worker_id)
    if worker is None or worker.info.born != born:
        return
    worker.open_ends.pop(number, None)
    state.look_due.add(worker_id)
    open_below = min(worker.open_ends, default=None)
    worker.durable_end = worker.seen_end if open_below is None else open_below - 1


def advice_answered(state, now, call_id, approved):
    """Take in an answer of the policy service; None if there was none."""
    advising.settle(state.advising, now, call_id, approved)
    state.needs_plan = True


def step(state, now, wall_now):
    """Run the systems that are due; returns when to call again, in seconds."""
    _open_occurrences(state, wall_now)
    advising.drop_late(state.advising, now)
    is_sweep = now >= state.sweep_at
    if is_sweep:
        state.sweep_at = now + SWEEP_S
        drop_lost_workers(state, now)
        _leave_draining_workers(state, now)
        stop_retries(state, now)
    if state.needs_plan:
        state.needs_plan = False
        plan(state, now)
    for writer in state.writers.values():
        commit = commits.flush(writer, now)
        if commit is not None:
            state.effects.append(commit)
    due = state.workers if is_sweep else state.look_due
    send_looks(state, now, [state.workers[i] for i in due if i in state.workers])
    state.look_due.clear()


def _open_occurrences(state, wall_now):
    for job in state.timed.values():
        if job.outcome is not None:
            continue
        for number in range(jobs.occurrences_due(job, wall_now)):
            if (number, 0) not in job.tasks:
                jobs.open_occurrence(job, number)
                queue_index.touch(state.waiting, job)
                state.needs_plan = True


class Pass(NamedTuple):
    """One pass of the planner; ``askable`` is {service: ids of workers to ask about}"""

    now: float
    room: planning.Room
    askable: dict


def _begin_pass(state, now):
    usable = [w for w in state.workers.values() if table.is_usable(w, now)]
    askable = {}
    for worker in state.workers.values():
        if worker.listed and not worker.info.draining:
            askable.setdefault(worker.info.service, []).append(worker.info.id)
    return Pass(now, planning.Room(usable), askable)


def plan(state, now):
    """Place what fits, in the order of the queues; returns the Room that is left.

    Answers queues longer than the room: each queue is closed for the pass once
    PASSED_OVER of its jobs were not placed.
    """
    queue_index.refresh(state.waiting)
    this_pass = _begin_pass(state, now)
    passed_over, closed = {}, set()
    rank = 0
    for job in queue_index.in_order(state.waiting, now, closed):
        this_pass.room.jobs += 1
        placed = 0
        for key in job.ready_steps:
            placed += _plan_step(state, this_pass, job, key, rank)
            rank += 1
        if not placed:
            name = queue_index.queue_key(job)
            passed_over[name] = passed_over.get(name, 0) + 1
            if passed_over[name] >= PASSED_OVER:
                closed.add(name)
    return this_pass.room


def _plan_step(state, this_pass, job, key, rank):
    """Place tasks of a step; returns how many were."""
    now, room = this_pass.now, this_pass.room
    queue = state.queues.get(job.spec.queue.name, job.spec.queue)
    allowed = None
    if queue.advice is not None:
        allowed = advising.valid_tickets(job, key, now)
    tasks = queue_index.waiting_tasks(job, key)
    candidate = planning.Candidate(job, key, tasks, allowed)
    gang = job.spec.steps[key[1]].gang
    placed = []
    if not planning.is_hopeless(room, candidate, queue.service):
        fit = planning.fit_gang if gang else planning.fit_tasks
        placed = fit(room, candidate, queue.service) or []
    for placement in placed:
        _place(state, now, job, placement)
    if placed:
        job.started = True
        mark(state, job)
    if gang and not placed:
        tickets = job.tickets.get(key)
        known = queue.advice is None or (tickets is not None and tickets.approved)
        if known:
            approved = None if queue.advice is None else tickets.approved
            planning.hold_for_gang(room, candidate, queue.service, approved)
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
    run.saved = task.saved
    task.run = run
    table.add_run(worker, run)
    state.look_due.add(worker.info.id)
    mark(state, job, ("start", run, placement.ticket))


def _ask(state, this_pass, candidate, queue, rank):
    """Ask about workers that are not known yet, or whose tickets have run out."""
    now, room = this_pass.now, this_pass.room
    job, key = candidate.job, candidate.key
    tickets = advising.tickets_of(job, key)
    if tickets.call is not None or not advising.has_free_node(state.advising, now):
        return
    askable = this_pass.askable.get(queue.service, ())
    unknown = [i for i in askable if i not in tickets.asked]
    expired = [
        i for i in tickets.approved if i in room.workers and i not in candidate.allowed
    ]
    wanted = unknown + expired
    if not wanted or (not unknown and rank >= STEPS_WITH_TICKETS):
        return
    effect = advising.ask(state.advising, now, job, key, wanted)
    if effect is not None:
        state.effects.append(effect)
