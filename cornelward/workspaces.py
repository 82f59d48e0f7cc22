"""Core: workspaces, what each has running, and its cap.

The leader starts all tasks, so its counters are complete. A run counts from its
placement until its end is certain, as it does for the capacity of its worker.
"""

import math
from typing import NamedTuple

from .capacity import EPSILON, count_within
from .log import get_logger
from .staged_jobs import demand_of

__all__ = [
    "Account",
    "WorkspaceTerms",
    "cap_problem",
    "count_run",
    "get_account",
    "is_over_cap",
    "may_hold_room",
    "rate_jobs",
    "recount",
    "set_terms",
    "task_room",
]

log = get_logger("workspaces")

# A workspace may submit what its rate allows in this time at once, and at least so many
# jobs.
BURST_S = 2.0
MIN_BURST_JOBS = 5
RESOURCE_NAMES = ("processors", "memory", "accelerators")


class WorkspaceTerms(NamedTuple):
    """What the configuration grants a workspace.

    ``weight`` is its share when all is full, and how many jobs it may submit a second.
    ``cap`` is what its tasks may have running on all workers together: (thousandths of
    a core, megabytes, accelerators); 0 means no limit.
    """

    name: str
    weight: float = 1.0
    cap: tuple[int, int, int] = (0, 0, 0)


class Account:
    """What a workspace has running on all workers together, and its present terms.

    ``used`` has the units of a cap; ``lasting`` is the part of it that tasks use which
    run until they are cancelled.
    """

    __slots__ = (
        "beyond_rate",
        "capped_steps",
        "jobs_due_at",
        "lasting",
        "runs",
        "terms",
        "used",
    )

    def __init__(self, terms):
        self.terms = terms
        self.used = [0, 0, 0]
        self.lasting = [0, 0, 0]
        self.runs = 0
        # When the next job were due if all came at the workspace's rate.
        self.jobs_due_at = -math.inf
        # Jobs beyond the rate, in this term of the leader.
        self.beyond_rate = 0
        # Steps without room in the cap that the latest planning pass examined, if it
        # left out others.
        self.capped_steps = 0


def get_account(accounts, terms, name):
    """Return the Account of a workspace, creating it if necessary.

    ``accounts`` maps names to Accounts, ``terms`` to the configured WorkspaceTerms.
    """
    account = accounts.get(name)
    if account is None:
        account = accounts[name] = Account(terms.get(name) or WorkspaceTerms(name))
    return account


def set_terms(accounts, terms):
    """Set the terms of the accounts from a configuration.

    A workspace that the configuration no longer contains keeps its last terms.
    """
    for name, account in accounts.items():
        new = terms.get(name, account.terms)
        if new.cap != account.terms.cap:
            log(
                "info",
                "cap_changed",
                workspace=name,
                cap=new.cap,
                was=account.terms.cap,
                used=tuple(account.used),
            )
        account.terms = new


def count_run(account, step, sign):
    """Add (``sign`` 1) or subtract (-1) the demand of one run of ``step``."""
    account.runs += sign
    for i, amount in enumerate(demand_of(step)):
        account.used[i] += sign * amount
        if step.long_running:
            account.lasting[i] += sign * amount


def rate_jobs(jobs):
    """Set which of the new jobs are beyond the rate of their workspaces.

    A token bucket over their acceptance times, whatever the order of ``jobs``: those
    that a successor reads come in that of their ids.
    """
    for job in sorted(jobs, key=lambda job: job.accepted_at):
        account, at = job.account, job.accepted_at
        weight = account.terms.weight
        interval_s = 1 / weight if weight > 0 else math.inf
        burst_s = max(BURST_S, MIN_BURST_JOBS * interval_s)
        due_at = max(account.jobs_due_at, at) + interval_s
        job.beyond_rate = weight <= 0 or due_at - at > burst_s + EPSILON
        if job.beyond_rate:
            account.beyond_rate += 1
        else:
            account.jobs_due_at = due_at


def recount(accounts, workers):
    """Compare the counters with the runs on ``workers``; set and log differences.

    Returns the names of the workspaces whose counters were wrong.
    """
    found = {name: Account(account.terms) for name, account in accounts.items()}
    for worker in workers:
        for run in worker.runs.values():
            if run.job.account is not None:
                count_run(found[run.job.spec.workspace], run.step, 1)
    wrong = []
    for name, account in accounts.items():
        expected = found[name]
        if (account.runs, account.used) == (expected.runs, expected.used):
            continue
        log(
            "error",
            "workspace_miscounted",
            workspace=name,
            runs=expected.runs,
            counted_runs=account.runs,
            used=tuple(expected.used),
            counted=tuple(account.used),
        )
        account.runs, account.used = expected.runs, expected.used
        account.lasting = expected.lasting
        wrong.append(name)
    return wrong


def _limits(terms, overage=0.0):
    """Return the cap, or the cap with its tolerance, with no limit as infinity."""
    return tuple(limit * (1 + overage) or math.inf for limit in terms.cap)


def task_room(account, step, count, overage):
    """Return how many of ``count`` tasks of a step the cap leaves room for.

    A gang needs room for all its tasks. What exceeds the whole cap may use its
    tolerance ``overage`` (a fraction) while nothing else of the workspace runs.
    """
    demand = demand_of(step)
    room = count_within(_limits(account.terms), account.used, demand, count)
    least = count if step.gang else 1
    if room >= least:
        return room
    if account.runs == 0:
        limits = _limits(account.terms, overage)
        if count_within(limits, account.used, demand, least) >= least:
            return least
    return 0


def may_hold_room(account, step, count):
    """Return whether a step without room should keep later jobs from starting.

    It will have room once the workspace's other runs have ended, but a flow of small
    tasks could always take what becomes free. Tasks that last do not end.
    """
    least = count if step.gang else 1
    limits = _limits(account.terms)
    fits_alone = count_within(limits, (0, 0, 0), demand_of(step), least) >= least
    if not fits_alone:
        return not any(account.lasting)
    room = count_within(limits, account.lasting, demand_of(step), least)
    return room >= least


def is_over_cap(account, overage):
    """Return whether more runs than the cap and its tolerance allow.

    That happens when a new configuration lowers the cap.
    """
    limits = _limits(account.terms, overage)
    return any(used > limit for used, limit in zip(account.used, limits, strict=True))


def cap_problem(steps, terms, overage):
    """Return why a job with these steps can never run in the workspace, or None.

    A task, or a gang as a whole, must fit in the cap with its tolerance ``overage``.
    """
    limits = _limits(terms, overage)
    for number, step in enumerate(steps):
        count = step.count if step.gang else 1
        amounts = zip(RESOURCE_NAMES, demand_of(step), limits, strict=True)
        for name, amount, limit in amounts:
            if count * amount > limit:
                what = "gang" if step.gang else "task"
                return (
                    f"step {number}: a {what} demands {count * amount} of {name}; "
                    f"workspace {terms.name} may have {limit:.0f} running"
                )
    return None
