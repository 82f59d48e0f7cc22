"""Slot table: owned executors, credits granted to other entries, orphaned slots.

A slot of an owned executor is used by a request of this entry, by a credit of another
entry, or by an orphan: something that may still run there although nobody reports it.
"""

from typing import NamedTuple

from . import orphans
from .leases import LEASE_MARGIN_S
from .messages import Credit
from .request_classes import LONG, SHORT

__all__ = [
    "Executor",
    "Probe",
    "SlotTable",
    "add_executor",
    "apply_health",
    "best_executor",
    "due_probes",
    "end_run",
    "forget_samples",
    "free_slots",
    "grant",
    "mark_long",
    "record_observed_state",
    "remove_executor",
    "return_credit",
    "review_orphans",
    "set_ownership",
    "start_run",
    "update_index",
]

# Interval of /health while an executor cannot be used in full.
HEALTH_RETRY_S = 0.25


class Probe(NamedTuple):
    """Effect: ask the executor's ``/health``."""

    executor: str
    address: str


class Executor:
    """State of one executor; ``claim_at`` is when an owner may ask its health."""

    __slots__ = (
        "address",
        "claim_at",
        "credits",
        "hold_until",
        "id",
        "levels",
        "listed_state",
        "long",
        "next_hold_at",
        "next_probe_at",
        "observed_at",
        "observed_state",
        "on_hold",
        "orphans",
        "owned",
        "ready",
        "reserved",
        "runs",
        "sample",
        "service",
        "slots",
    )

    def __init__(self, executor_id, service, address, slots):
        self.id = executor_id
        self.service = service
        self.address = address
        self.slots = slots
        self.listed_state = "live"
        self.observed_state = "live"
        self.observed_at = float("-inf")
        self.owned = False
        self.ready = False
        self.claim_at = None
        self.next_probe_at = float("-inf")
        # (since, until) of each orphaned slot, oldest first.
        self.orphans = []
        # No new work while orphans are being counted; see ``orphans``.
        self.on_hold = False
        self.hold_until = self.next_hold_at = float("-inf")
        self.sample = None
        self.reserved = 0
        # Request id to start time; credit id to CreditState.
        self.runs = {}
        self.credits = {}
        self.long = set()
        self.levels = {SHORT: 0, LONG: 0}


class CreditState:
    """A credit given to another entry; ``in_use_at`` is when it was reported in use."""

    __slots__ = ("borrower", "executor", "in_use_at", "usable_until")

    def __init__(self, borrower, executor, usable_until):
        self.borrower = borrower
        self.executor = executor
        self.usable_until = usable_until
        self.in_use_at = None


class SlotTable:
    """All executors of a failure domain and an index of free slots.

    ``index`` maps (service, class) to a list of dicts: position n holds the
    executors with n free slots. ``examined`` counts executors looked at by decisions.
    """

    def __init__(self, first_credit):
        self.executors = {}
        self.owned = {}
        self.index = {}
        self.free = {}
        self.credits = {}
        self.next_credit = first_credit
        self.examined = 0


def free_slots(executor, cls):
    """Return how many requests of a class may start now."""
    usable = (
        executor.owned
        and executor.ready
        and not executor.on_hold
        and executor.listed_state == "live"
        and executor.observed_state == "live"
    )
    if not usable:
        return 0
    used = len(executor.runs) + len(executor.credits) + len(executor.orphans)
    free = executor.slots - used
    if cls == LONG:
        limit = executor.slots - min(executor.reserved, executor.slots - 1)
        free = min(free, limit - len(executor.long) - len(executor.orphans))
    return max(free, 0)


def update_index(table, executor):
    """Move an executor to its place among the free slots."""
    for cls in (SHORT, LONG):
        old, new = executor.levels[cls], free_slots(executor, cls)
        if old == new:
            continue
        key = executor.service, cls
        levels = table.index.setdefault(key, [])
        while len(levels) <= new:
            levels.append({})
        if old:
            levels[old].pop(executor.id, None)
        if new:
            levels[new][executor.id] = executor
        executor.levels[cls] = new
        table.free[key] = table.free.get(key, 0) + new - old


def best_executor(table, service, cls):
    """Return an executor with the most free slots, or None.

    The cost depends on the slots of one executor, not on the number of executors.
    """
    if not table.free.get((service, cls)):
        return None
    levels = table.index[service, cls]
    for level in reversed(levels):
        if level:
            table.examined += 1
            return next(iter(level.values()))
    return None


def add_executor(table, executor_id, service, address, slots, reserved):
    """Add or update an executor from the membership list; returns it."""
    executor = table.executors.get(executor_id)
    if executor is None or executor.address != address or executor.service != service:
        remove_executor(table, executor_id)
        executor = Executor(executor_id, service, address, slots)
        table.executors[executor_id] = executor
    executor.slots = slots
    executor.reserved = reserved
    return executor


def remove_executor(table, executor_id):
    """Forget an executor that left the membership list."""
    executor = table.executors.pop(executor_id, None)
    if executor is None:
        return
    executor.owned = False
    table.owned.pop(executor_id, None)
    update_index(table, executor)
    for credit_id in executor.credits:
        table.credits.pop(credit_id, None)


def set_ownership(table, executor, owned, claim_at):
    """Set the ownership of an executor.

    A new owner treats all slots as used until a ``/health`` answer to a question
    asked at ``claim_at`` or later; ``claim_at`` None means that it is not known yet.
    """
    executor.owned = owned
    executor.ready = executor.on_hold = False
    executor.sample = None
    executor.claim_at = claim_at
    executor.next_probe_at = float("-inf")
    if owned:
        table.owned[executor.id] = executor
    else:
        table.owned.pop(executor.id, None)
        # Whoever is the owner now counts these slots by /health.
        executor.orphans = []
        for credit_id in list(executor.credits):
            return_credit(table, credit_id)
    update_index(table, executor)


def start_run(table, executor, request_id, cls, now):
    """Take a slot for a request of this entry."""
    executor.runs[request_id] = now
    if cls == LONG:
        executor.long.add(request_id)
    update_index(table, executor)


def end_run(table, executor, request_id, orphan=None):
    """Free a request's slot, or keep it as an orphan, given as (since, until)."""
    if executor.runs.pop(request_id, None) is None:
        return
    executor.long.discard(request_id)
    _free_or_orphan(table, executor, orphan)


def _free_or_orphan(table, executor, orphan):
    if orphan is not None:
        executor.orphans.append(orphan)
    update_index(table, executor)


def mark_long(table, executor, use_id):
    """Count a running request or credit as long."""
    if use_id in executor.runs or use_id in executor.credits:
        executor.long.add(use_id)
        update_index(table, executor)


def review_orphans(table, executor, now):
    """Free orphaned slots that are proved or sure to be free by now."""
    if executor.ready and (executor.orphans or executor.on_hold):
        orphans.expire(executor, now)
        orphans.review(executor, now)
        update_index(table, executor)


def forget_samples(table):
    """Forget health reports from before a pause of this process."""
    for executor in table.owned.values():
        executor.sample = None


def grant(table, service, cls, count, borrower, usable_until):
    """Return up to ``count`` credits for free slots."""
    credits = []
    while len(credits) < count:
        executor = best_executor(table, service, cls)
        if executor is None:
            break
        credit_id = table.next_credit
        table.next_credit += 1
        state = CreditState(borrower, executor, usable_until)
        executor.credits[credit_id] = table.credits[credit_id] = state
        if cls == LONG:
            executor.long.add(credit_id)
        update_index(table, executor)
        credits.append(Credit(credit_id, executor.id, executor.address))
    return credits


def return_credit(table, credit_id, orphan=None):
    """Free a credit's slot, or keep it as an orphan, given as (since, until)."""
    state = table.credits.pop(credit_id, None)
    if state is None:
        return None
    executor = state.executor
    executor.credits.pop(credit_id, None)
    executor.long.discard(credit_id)
    _free_or_orphan(table, executor, orphan)
    return executor


def record_observed_state(table, executor, observed_state, at):
    """Record what the executor showed of itself; an older sign changes nothing."""
    if at >= executor.observed_at:
        executor.observed_state = observed_state
        executor.observed_at = at
        update_index(table, executor)


def apply_health(table, executor, now, sent_at, report, orphaned_until):
    """Take in the answer of ``/health`` (None when there was none).

    All that a moved executor runs counts as orphaned at first.
    """
    observed_state = "down" if report is None else report.get("state", "down")
    record_observed_state(table, executor, observed_state, sent_at)
    if report is None:
        return
    if executor.ready:
        orphans.apply_report(executor, now, sent_at, report["in_flight"])
        orphans.review(executor, now)
    elif executor.claim_at is not None and sent_at >= executor.claim_at:
        executor.ready = executor.owned
        since = sent_at - LEASE_MARGIN_S
        executor.orphans = [(since, orphaned_until)] * report["in_flight"]
        if executor.orphans:
            orphans.begin_hold(executor, now)
    update_index(table, executor)


def due_probes(table, now, poll_s):
    """Return Probe effects for owned executors whose health is due."""
    probes = []
    for executor in table.owned.values():
        if executor.claim_at is None or now < max(
            executor.next_probe_at, executor.claim_at
        ):
            continue
        settled = (
            executor.ready
            and executor.observed_state == "live"
            and not executor.orphans
        )
        executor.next_probe_at = now + (
            poll_s if settled else min(HEALTH_RETRY_S, poll_s)
        )
        probes.append(Probe(executor.id, executor.address))
    return probes
