"""Core: accounts of workspaces in the leader's tables, and changes of their terms."""

from . import workspaces
from .log import get_logger
from .workers import is_overcommitted

__all__ = [
    "assign_account",
    "check_accounts",
    "has_room",
    "rate_new_jobs",
    "set_config",
]

log = get_logger("dispatch_workspaces")

# Interval of the comparison of the counters with the runs.
CHECK_INTERVAL_S = 5.0


def set_config(state, queues, terms):
    """Replace the configuration: name -> Queue, and name -> WorkspaceTerms."""
    state.queues = queues
    state.is_configured = True
    if terms != state.workspaces:
        state.workspaces = terms
        workspaces.set_terms(state.accounts, terms)
        for job in state.jobs.values():
            _update_cap_problem(state, job)
    state.needs_plan = True


def assign_account(state, job):
    """Let the runs of a job count for its workspace."""
    name = job.spec.workspace
    if name:
        terms = state.workspaces
        job.account = workspaces.get_account(state.accounts, terms, name)
        state.unrated_jobs.append(job)
        _update_cap_problem(state, job)


def rate_new_jobs(state):
    """Decide which new jobs are beyond their rates, before they are indexed."""
    if state.unrated_jobs:
        workspaces.rate_jobs(state.unrated_jobs)
        state.unrated_jobs = []


def _update_cap_problem(state, job):
    """Log a job that cannot run under the workspace's present cap."""
    if job.account is None or job.outcome is not None:
        return
    overage = state.cfg.get("cap_overage", 0.0)
    why = workspaces.cap_problem(job.spec.steps, job.account.terms, overage) or ""
    if why == job.cap_problem:
        return
    job.cap_problem = why
    if why:
        log("warning", "job_exceeds_cap", job=job.spec.id, why=why)
    else:
        log("info", "job_within_cap", job=job.spec.id)


def has_room(state, worker, run):
    """Return whether a start that was recorded may be sent now.

    The worker may have shrunk, or the workspace's cap have fallen, since the run was
    placed.
    """
    if is_overcommitted(worker):
        return False
    overage = state.cfg.get("cap_overage", 0.0)
    account = run.job.account
    return account is None or not workspaces.is_over_cap(account, overage)


def check_accounts(state, now):
    """Compare the counters with the runs on all workers, from time to time."""
    if state.accounts and now >= state.accounts_checked_at + CHECK_INTERVAL_S:
        state.accounts_checked_at = now
        if workspaces.recount(state.accounts, state.workers.values()):
            state.needs_plan = True
