"""Core: adds jobs to the leader's tables, new ones and those of a former leader."""

from . import objectives, queue_index
from . import staged_jobs as jobs
from . import workers as worker_table
from .crash_trials import is_suspect
from .dispatch_plan import ask_early
from .dispatch_tasks import mark_dirty, stop_incomplete_gangs
from .dispatch_workers import unregistered_worker
from .dispatch_workspaces import assign_account
from .job_records import limit_gang_failures, restore_record
from .lease_grants import assume_longest_lease
from .staged_jobs import PLACED

__all__ = [
    "add_accepted_job",
    "expect_job",
    "forget_expected_jobs",
    "restore_job",
]

# A job that was not stored within this time is no longer expected.
MAX_EXPECTED_S = 4.0


def _add_job(state, job):
    state.jobs[job.spec.id] = job
    assign_account(state, job)
    job.deadline = objectives.deadline_of(job.spec, job.accepted_at, state.run_times)
    if job.spec.occurrences:
        state.recurring_jobs[job.spec.id] = job
    queue_index.mark_changed(state.queue_index, job)
    state.needs_plan = True


def expect_job(state, now, spec):
    """Ask for advice about the first steps of a job while it is being stored."""
    if spec.id in state.jobs or spec.id in state.finished or spec.occurrences:
        return
    if spec.id not in state.expected_jobs:
        job = jobs.new_job(spec, 0, now)
        state.expected_jobs[spec.id] = job
        ask_early(state, now, job)


def forget_expected_jobs(state, now):
    """Forget jobs that were not stored."""
    for job_id, job in list(state.expected_jobs.items()):
        if now - job.accepted_at > MAX_EXPECTED_S:
            del state.expected_jobs[job_id]


def add_accepted_job(state, now, spec, version, accepted_at, entry=None):
    """Add an accepted job; does nothing if the job is known.

    ``entry`` is the address of the node that accepted it, if that has its payload.
    """
    if spec.id in state.jobs or spec.id in state.finished:
        return
    job = jobs.new_job(spec, version, accepted_at)
    job.entry = entry
    expected = state.expected_jobs.pop(spec.id, None)
    if expected is not None:
        job.tickets = expected.tickets
    _add_job(state, job)


def restore_job(state, spec, version, record, record_version, accepted_at, now):
    """Add a job from the record that a former leader kept of it."""
    job = jobs.new_job(spec, version, accepted_at)
    _add_job(state, job)
    lives = record.lives or {}
    placed = restore_record(job, record, record_version)
    limit_gang_failures(job)
    for task, worker_id in placed:
        worker = state.workers.get(worker_id)
        if worker is None:
            # The worker is no longer registered, but its lease may still hold.
            address, born = lives.get(worker_id, ("", 0))
            info = unregistered_worker(worker_id, spec.queue.service, address, born)
            worker = worker_table.new_worker(info, now)
            worker.registered = False
            state.workers[worker_id] = worker
        name = jobs.task_name(job, task)
        address, born = lives.get(worker_id, ("", worker.info.born))
        adopted = worker_table.ADOPTED
        run = worker_table.Run(
            job, task, name, task.attempt, worker_id, adopted, address, born
        )
        run.checkpoint = task.checkpoint
        # Once the worker has answered this leader, it refuses the former one's start.
        run.deadline_s = 0.0
        if born != worker.info.born:
            # If the start has reached the worker's present life, whose clock is behind
            # the one that the lease was counted on, the worker has cut the lease to the
            # longest one.
            longest_s = state.cfg["longest_lease_s"]
            assume_longest_lease(worker, now, longest_s)
        if is_suspect(task):
            worker.trial_runs.append(run)
            job.trial_workers.append(worker)
        task.run = run if task.state == PLACED else None
        worker_table.add_run(worker, run)
    if job.outcome is not None:
        mark_dirty(state, job)
    stop_incomplete_gangs(state, now, job)
