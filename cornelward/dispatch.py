"""Core of the leader: tables of jobs and workers, and the handlers of events.

A handler ``event(state, now, ...)`` changes the state and appends effects to
``state.effects``; the shell carries them out. ``step`` is called after each batch of
events: it places tasks and emits the commits and polls that are due.
"""

import random

from . import (
    advising,
    capacity_index,
    commits,
    objectives,
    pacing,
    queue_index,
    waits,
)
from . import staged_jobs as jobs
from .dispatch_effects import Reply
from .dispatch_jobs import (
    add_accepted_job,
    expect_job,
    forget_expected_jobs,
    restore_job,
)
from .dispatch_plan import ask_about_next_steps, plan
from .dispatch_polls import drop_lost_workers, send_polls
from .dispatch_starts import (
    discard_unrecorded_starts,
    recheck_starts,
    retry_late_start,
    send_start,
)
from .dispatch_tasks import mark_dirty, request_stop, retry_stops
from .dispatch_workers import (
    deregister_worker,
    stop_runs_on_leaving_workers,
    update_workers,
)
from .dispatch_workspaces import (
    check_accounts,
    rate_new_jobs,
    set_config,
)
from .job_records import ROW_BYTES
from .log import get_logger
from .staged_jobs import CANCELLED

__all__ = [
    "Dispatcher",
    "add_accepted_job",
    "bound_former_leases",
    "cancel",
    "confirm_lead",
    "deregister_worker",
    "expect_job",
    "note_finished",
    "on_advice_result",
    "on_commit_result",
    "pending_by_queue",
    "plan",
    "recheck_starts",
    "restore_job",
    "retry_late_start",
    "set_config",
    "state_of",
    "step",
    "update_workers",
]

log = get_logger("dispatch")

# Factor by which the longest commit time seen so far decays at each commit.
COMMIT_DECAY = 0.8
# Interval of the checks of all workers and runs; between sweeps only the workers
# affected by events are checked.
SWEEP_INTERVAL_S = 0.05
# Pause after a planning pass for each job that it examined: where many jobs wait,
# nearly every event calls for a pass, and one pass can answer several events.
PLAN_PAUSE_PER_JOB_S = 0.002
MAX_PLAN_PAUSE_S = 0.04
# While jobs wait, a pass is made at least so often: tickets run out, avoided workers
# become usable and nodes free for advice calls without any event.
MAX_PLAN_INTERVAL_S = 0.25


class Dispatcher:
    """State of a leader.

    ``cfg["unknown_lease_s"]`` is how long leases granted by former leaders may still
    hold.
    """

    def __init__(self, token, fences, cfg, now):
        self.token = token
        self.cfg = cfg
        self.started_at = now
        # Until when leases granted by former leaders may hold.
        self.former_leases_end_at = now + cfg["unknown_lease_s"]
        # The latest time at which this leader certainly held its row, and at which the
        # latest of its writes was sent that the store has applied.
        self.confirmed_at = self.written_at = now
        self.writers = {
            part: commits.PartitionWriter(
                part, version, cfg.get("row_bytes", ROW_BYTES)
            )
            for part, version in fences.items()
        }
        # Names of the partitions whose records are not written, see ``commits``.
        self.stuck_partitions = set()
        self.jobs = {}
        # Jobs that are being stored: id -> Job, for its tickets.
        self.expected_jobs = {}
        # Outcome of the finished jobs: id -> state.
        self.finished = {}
        # Workspace of those of them that have one: id -> name.
        self.finished_owners = {}
        self.workers = {}
        self.queues = {}
        self.workspaces = {}
        # Whether a configuration is known: a node may lead before it has read one.
        self.is_configured = False
        # Name of a workspace -> Account.
        self.accounts = {}
        self.accounts_checked_at = now
        # Jobs that are not indexed yet; see ``rate_new_jobs``.
        self.unrated_jobs = []
        self.advising = advising.AdviceCalls()
        # Heap of (time, job id, step key, calls left): advice to ask for ahead of time.
        self.early_advice = []
        self.run_times = objectives.RunTimes()
        self.pacing = pacing.Pacing() if cfg.get("overload_control") else None
        self.queue_index = queue_index.QueueIndex(self.pacing and self.run_times)
        self.capacity = capacity_index.FreeCapacity(())
        # Phase of a planning pass -> queue -> jobs that wait for another turn.
        self.queue_turns = {}
        # Jobs that run at scheduled times: id -> Job.
        self.recurring_jobs = {}
        # Ids of workers that may have to be polled before the next sweep.
        self.poll_due = {}
        # Estimate of the commit time: decaying maximum of the recent ones, in seconds.
        self.commit_time_s = 0.0
        self.sweep_at = now
        # Crashes of workers under runs, and jobs that failed by them, in this term.
        self.crashed_runs = self.jobs_failed_by_crashes = 0
        # Recent losses of workers: (id, time of the last answer) -> Loss.
        self.losses = {}
        self.effects = []
        self.needs_plan = True
        # The next planning pass is not made before this time.
        self.plan_at = now
        self.planned_at = now
        self.wait_log = waits.WaitLog(now)
        # Ids of the jobs at which planning has failed.
        self.unplanned_jobs = set()
        self.fenced_off = False
        self.rng = random.Random(token)


def confirm_lead(state, at):
    """Note that a request sent at ``at`` has renewed this leader's row."""
    state.confirmed_at = max(state.confirmed_at, at)
    state.written_at = max(state.written_at, at)


def bound_former_leases(state, ends_at):
    """Note that all leases granted by former leaders expire by ``ends_at``."""
    state.former_leases_end_at = min(state.former_leases_end_at, ends_at)


def note_finished(state, job_id, outcome, workspace):
    """Keep the outcome and the workspace of a job that has ended."""
    state.finished[job_id] = outcome
    if workspace:
        state.finished_owners[job_id] = workspace


def owner_of(state, job_id):
    """Return the workspace of a job; "" if it has none or is unknown."""
    job = state.jobs.get(job_id)
    if job is not None:
        return job.spec.workspace
    return state.finished_owners.get(job_id, "")


def state_of(state, job_id):
    """Return the job's recorded state, or None if the job is unknown."""
    job = state.jobs.get(job_id)
    return job.recorded_state if job is not None else state.finished.get(job_id)


def pending_by_queue(state):
    """Return {queue: number of accepted jobs of which no run was seen on a worker}."""
    rate_new_jobs(state)
    return queue_index.pending_counts(state.queue_index)


def cancel(state, now, job_id, reply):
    """Cancel a job.

    Calls ``reply(True)`` once the cancellation is recorded, ``reply(False)`` once it is
    recorded that the job has completed or failed, and ``reply(None)`` if it is unknown.
    """
    job = state.jobs.get(job_id)
    if job is None:
        outcome = state.finished.get(job_id)
        cancelled = outcome == CANCELLED if outcome is not None else None
        state.effects.append(Reply(reply, cancelled))
        return
    # An outcome that is only decided is unknown to a successor.
    mark_dirty(state, job, Reply(reply, job.outcome in (None, CANCELLED)))
    if job.outcome is None:
        end_job(state, now, job, CANCELLED)


def end_job(state, now, job, outcome):
    """Set the job's outcome and stop its runs."""
    log("info", "job_ended", job=job.spec.id, outcome=outcome)
    job.outcome = outcome
    mark_dirty(state, job)
    for tasks in job.tasks.values():
        for task in tasks:
            if task.run is not None:
                request_stop(state, now, task.run)
    state.needs_plan = True


def on_commit_result(state, now, part, result):
    """Handle the result of a Commit."""
    writer = state.writers[part]
    batch = commits.handle_result(writer, now, result)
    if batch is None:
        return
    if isinstance(result, commits.Applied):
        state.written_at = max(state.written_at, writer.sent_at)
    taken_s = now - writer.sent_at
    state.commit_time_s = max(taken_s, COMMIT_DECAY * state.commit_time_s)
    if batch is False:
        log("warning", "fenced_off", part=part, token=state.token)
        state.fenced_off = True
        return
    for job, recorded_state in zip(batch.jobs, batch.states, strict=True):
        job.recorded_state = recorded_state
    for job in batch.finished_jobs:
        note_finished(state, job.spec.id, job.outcome, job.spec.workspace)
        state.jobs.pop(job.spec.id, None)
        state.recurring_jobs.pop(job.spec.id, None)
        writer.dirty.pop(job.spec.id, None)
    # Effects that were added while the end of a job was being written (such as
    # replies) need no further commit.
    late_effects = [
        effect for job in batch.finished_jobs for effect in job.after_commit
    ]
    for effect in (*batch.effects, *late_effects):
        _apply_effect(state, now, effect)


def _apply_effect(state, now, effect):
    kind = effect[0] if type(effect) is tuple else None
    if kind == "start":
        send_start(state, now, *effect[1:])
    elif kind == "end":
        _end_recorded(state, *effect[1:])
    else:
        state.effects.append(effect)


def _end_recorded(state, worker_id, born, number):
    worker = state.workers.get(worker_id)
    if worker is None or worker.info.born != born:
        return
    worker.unrecorded_ends.pop(number, None)
    state.poll_due[worker_id] = True
    first_unrecorded = min(worker.unrecorded_ends, default=None)
    worker.last_end_recorded = (
        worker.last_end_seen if first_unrecorded is None else first_unrecorded - 1
    )


def on_advice_result(state, now, call_id, approved):
    """Handle a response of the policy service.

    ``approved`` is [(worker id, ticket)], or None if there was no response.
    """
    advising.complete_call(state.advising, now, call_id, approved)
    state.needs_plan = True


def step(state, now, wall_now):
    """Run the periodic checks that are due, the planner, and due commits and polls.

    ``wall_now`` is the wall-clock time, used for scheduled occurrences.
    """
    is_sweep = now >= state.sweep_at
    if is_sweep:
        _open_occurrences(state, wall_now)
        state.sweep_at = now + SWEEP_INTERVAL_S
        advising.expire_calls(state.advising, now)
        forget_expected_jobs(state, now)
        ask_about_next_steps(state, now)
        _check_partitions(state, now)
        drop_lost_workers(state, now)
        stop_runs_on_leaving_workers(state, now)
        retry_stops(state, now)
        check_accounts(state, now)
    waits = is_sweep and state.queue_index.queues
    if waits and now - state.planned_at >= MAX_PLAN_INTERVAL_S:
        state.needs_plan = True
    if state.needs_plan and now >= state.plan_at:
        state.needs_plan = False
        state.planned_at = now
        examined = plan(state, now).jobs
        state.plan_at = now + min(MAX_PLAN_PAUSE_S, PLAN_PAUSE_PER_JOB_S * examined)
    for writer in state.writers.values():
        commit = commits.flush(writer, now)
        if commit is not None:
            state.effects.append(commit)
    due = state.workers if is_sweep else state.poll_due
    send_polls(state, now, [state.workers[i] for i in due if i in state.workers])
    state.poll_due.clear()


def _check_partitions(state, now):
    """Release the room of starts that cannot be recorded while others can.

    Their tasks are placed again once the partition is written.
    """
    stuck = commits.stuck_partitions(state.writers, now, state.written_at)
    if stuck != state.stuck_partitions:
        log("warning", "partitions_stuck", parts=sorted(stuck))
        state.stuck_partitions, state.needs_plan = stuck, True
    if stuck:
        discard_unrecorded_starts(state, now, stuck)


def _open_occurrences(state, wall_now):
    for job in state.recurring_jobs.values():
        if job.outcome is not None:
            continue
        for number in range(jobs.occurrences_due(job, wall_now)):
            if (number, 0) not in job.tasks:
                if not jobs.may_open_occurrence(job):
                    break
                jobs.open_occurrence(job, number)
                queue_index.mark_changed(state.queue_index, job)
                state.needs_plan = True
