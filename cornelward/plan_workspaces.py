"""Core: what a planning pass leaves each workspace, by its cap and by its share.

It answers the load of a workspace that submits many times its usual, the largest jobs
first, or more than its cap lets run: the others must not wait behind it. A pass goes
over the jobs of workspaces within their share, then of those over it, then over jobs
beyond the rate of their workspace. What one phase leaves free goes to the next.
"""

from . import workspaces
from .capacity import count_within, largest_fraction
from .workers import demand_of

__all__ = [
    "WorkspacePass",
    "begin_pass",
    "close_queues",
    "end_pass",
    "end_step",
    "phases",
    "startable_tasks",
]

# Steps of a workspace without room that a pass examines, if none of them holds room.
# The next pass examines as many more, as the first may never have room.
MAX_CAPPED_STEPS = 20
# A workspace is over its share above this multiple of its fair share, and not below
# this fraction of all capacity: one gang of a small workspace is no burst.
SHARE_MARGIN = 1.25
MIN_SHARE = 0.05
# Urgent jobs are deferred only above this multiple of the above.
URGENT_FACTOR = 1.5


class WorkspacePass:
    """State of one planning pass.

    ``held`` are the names of the workspaces of which nothing more starts in the pass.
    ``capped`` counts the examined steps of each that its cap left no room for.
    ``shares`` are the fractions of ``total`` up to which workspaces go first, while the
    pass ``is_bounded`` by them; ``deferred`` are the queue keys that wait for a later
    phase.
    """

    __slots__ = (
        "accounts",
        "capped",
        "deferred",
        "granted",
        "held",
        "is_bounded",
        "is_configured",
        "overage",
        "shares",
        "total",
    )

    def __init__(self, accounts, overage, is_configured=True):
        self.accounts = accounts
        self.overage = overage
        self.held = set()
        # Workspace held by the present step -> room for that step.
        self.granted = {}
        self.capped = {}
        self.shares = {}
        self.total = (0, 0, 0)
        self.deferred = set()
        self.is_bounded = True
        # Without a configuration no cap is known, and nothing of a workspace starts.
        self.is_configured = is_configured


def begin_pass(accounts, index, workers, overage, is_configured):
    """Return the WorkspacePass of a planning pass over the usable ``workers``."""
    this_pass = WorkspacePass(accounts, overage, is_configured)
    if not accounts:
        return this_pass
    infos = [worker.info for worker in workers]
    this_pass.total = (
        sum(info.cpu for info in infos),
        sum(info.memory_mb for info in infos),
        sum(info.accelerators for info in infos),
    )
    active = {key.workspace for key in index.queues}
    active.update(name for name, account in accounts.items() if account.runs)
    active.discard("")
    weights = sum(accounts[name].terms.weight for name in active)
    for name in active:
        fair_share = accounts[name].terms.weight / weights if weights else 0.0
        this_pass.shares[name] = max(SHARE_MARGIN * fair_share, MIN_SHARE)
    return this_pass


def phases(this_pass, index):
    """Yield, for each phase, the set of queue keys to skip; the caller may add some."""
    keys = set(index.queues)
    this_pass.deferred = {key for key in keys if _is_deferred(this_pass, key)}
    yield set(this_pass.deferred)
    this_pass.is_bounded = False
    for beyond_rate in (False, True):
        chosen = {
            key
            for key in this_pass.deferred
            if key.beyond_rate == beyond_rate and key.workspace not in this_pass.held
        }
        if chosen:
            yield keys - chosen


def _is_deferred(this_pass, key):
    account = this_pass.accounts.get(key.workspace)
    if account is None:
        return False
    share = largest_fraction(account.used, this_pass.total)
    return key.beyond_rate or share > _bound(this_pass, key.workspace, key.priority)


def _bound(this_pass, name, priority):
    """Return the share up to which the workspace's jobs of a priority go first."""
    return this_pass.shares[name] * (1.0 if priority else URGENT_FACTOR)


def startable_tasks(this_pass, job, key, tasks):
    """Return which of the tasks of a step may start in this phase.

    The first step in planning order without room in its cap holds what becomes free:
    otherwise a flow of small tasks would keep a gang waiting.
    """
    account, name = job.account, job.spec.workspace
    if account is None:
        return tasks
    if name in this_pass.held or not this_pass.is_configured:
        return []
    step = job.spec.steps[key[1]]
    room = workspaces.task_room(account, step, len(tasks), this_pass.overage)
    if room < len(tasks):
        capped = this_pass.capped[name] = this_pass.capped.get(name, 0) + 1
        waits = room > 0 or workspaces.may_hold_room(account, step, len(tasks))
        if waits or capped >= account.capped_steps + MAX_CAPPED_STEPS:
            this_pass.held.add(name)
    if this_pass.is_bounded and not step.gang:
        bound = _bound(this_pass, name, job.spec.queue.priority)
        limits = [bound * amount for amount in this_pass.total]
        within = count_within(limits, account.used, demand_of(step), room)
        room = min(room, max(1, within))
    if name in this_pass.held:
        this_pass.granted[name] = room
    return tasks[:room]


def end_step(this_pass, job, placed):
    """Let other steps of the workspace start if this one waits for more than its cap.

    ``placed`` is how many of its startable tasks were placed.
    """
    if placed < this_pass.granted.pop(job.spec.workspace, 0):
        this_pass.held.discard(job.spec.workspace)


def end_pass(this_pass):
    """Note how many steps without room the next pass may examine beyond the limit."""
    for name, account in this_pass.accounts.items():
        is_held = name in this_pass.held
        account.capped_steps = this_pass.capped.get(name, 0) if is_held else 0


def close_queues(this_pass, index, closed, name):
    """Add to ``closed`` the queue keys of a workspace that nothing more starts of now.

    Those of a workspace that has come over its share wait for a later phase.
    """
    own = [key for key in index.queues if key.workspace == name and key not in closed]
    if name in this_pass.held:
        closed.update(own)
    elif this_pass.is_bounded:
        over = [key for key in own if _is_deferred(this_pass, key)]
        closed.update(over)
        this_pass.deferred.update(over)
