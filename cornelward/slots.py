"""Slot table: owned executors, credits granted to other entries, orphaned slots.

A slot of an owned executor is used by a request of this entry, by a credit granted to
another entry, or by an orphan: a request that may still run although no entry reports
it.
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

# Probe interval while an executor is not ready, not live or has orphaned slots.
HEALTH_RETRY_S = 0.25


class Probe(NamedTuple):
    """Effect: request ``/health`` of the executor."""

    executor: str
    address: str


class Executor:
    """State of one executor.

    ``listed_state`` is its state in the membership list, ``observed_state`` the one
    seen in its last answer or ``/health`` report. A new owner may probe it from
    ``claim_at`` on.
    """

    __slots__ = (
        "address",
        "claim_at",
        "credits",
        "hold_until",
        "id",
        "indexed_free",
        "listed_state",
        "long_use_ids",
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
        # While on hold, the executor gets no new requests; see the module ``orphans``.
        self.on_hold = False
        self.hold_until = self.next_hold_at = float("-inf")
        self.sample = None
        self.reserved = 0
        # Request id to start time, and credit id to CreditState.
        self.runs = {}
        self.credits = {}
        self.long_use_ids = set()
        self.indexed_free = {SHORT: 0, LONG: 0}


class CreditState:
    """A credit granted to another entry, ``borrower`` (id, incarnation).

    ``in_use_at`` is when a heartbeat first reported it in use.
    """

    __slots__ = ("borrower", "executor", "in_use_at", "usable_until")

    def __init__(self, borrower, executor, usable_until):
        self.borrower = borrower
        self.executor = executor
        self.usable_until = usable_until
        self.in_use_at = None


class SlotTable:
    """All executors of a failure domain and an index of free slots.

    ``index`` maps (service, class) to a list of dicts: position n holds the
    executors with n free slots. ``examined`` counts the executors examined by
    ``best_executor``.
    """

    def __init__(self, first_credit_id):
        self.executors = {}
        self.owned = {}
        self.index = {}
        self.free = {}
        self.credits = {}
        self.next_credit_id = first_credit_id
        self.examined = 0


def free_slots(executor, cls):
    """Return how many requests of a class may start on the executor now."""
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
        free = min(free, limit - len(executor.long_use_ids) - len(executor.orphans))
    return max(free, 0)


def update_index(table, executor):
    """Update the index and the totals of free slots after a change of an executor."""
    for cls in (SHORT, LONG):
        old, new = executor.indexed_free[cls], free_slots(executor, cls)
        if old == new:
            continue
        key = executor.service, cls
        buckets = table.index.setdefault(key, [])
        while len(buckets) <= new:
            buckets.append({})
        if old:
            buckets[old].pop(executor.id, None)
        if new:
            buckets[new][executor.id] = executor
        executor.indexed_free[cls] = new
        table.free[key] = table.free.get(key, 0) + new - old


def best_executor(table, service, cls):
    """Return an executor with the most free slots, or None if no slot is free.

    The cost grows with the slots of one executor, not with the number of executors.
    """
    if not table.free.get((service, cls)):
        return None
    buckets = table.index[service, cls]
    for bucket in reversed(buckets):
        if bucket:
            table.examined += 1
            return next(iter(bucket.values()))
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
    """Remove an executor, and the credits for its slots, from the table."""
    executor = table.executors.pop(executor_id, None)
    if executor is None:
        return
    executor.owned = False
    table.owned.pop(executor_id, None)
    update_index(table, executor)
    for credit_id in executor.credits:
        table.credits.pop(credit_id, None)


def set_ownership(table, executor, owned, claim_at):
    """Set whether this entry owns the executor.

    A new owner treats all slots as used until it receives the answer to a ``/health``
    request that was sent at ``claim_at`` or later. ``claim_at`` is monotonic seconds,
    or None while it is not known.
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
        # The new owner learns from /health which of these slots are used.
        executor.orphans = []
        for credit_id in list(executor.credits):
            return_credit(table, credit_id)
    update_index(table, executor)


def start_run(table, executor, request_id, cls, now):
    """Reserve a slot for a request of this entry."""
    executor.runs[request_id] = now
    if cls == LONG:
        executor.long_use_ids.add(request_id)
    update_index(table, executor)


def end_run(table, executor, request_id, orphan=None):
    """Free a request's slot, or keep it as the orphan (since, until)."""
    if executor.runs.pop(request_id, None) is None:
        return
    executor.long_use_ids.discard(request_id)
    _release_slot(table, executor, orphan)


def _release_slot(table, executor, orphan):
    if orphan is not None:
        executor.orphans.append(orphan)
    update_index(table, executor)


def mark_long(table, executor, use_id):
    """Count a running request (by request id) or a credit (by credit id) as long."""
    if use_id in executor.runs or use_id in executor.credits:
        executor.long_use_ids.add(use_id)
        update_index(table, executor)


def review_orphans(table, executor, now):
    """Free orphaned slots that have expired or that a report shows to be free."""
    if executor.ready and (executor.orphans or executor.on_hold):
        orphans.expire(executor, now)
        orphans.review(executor, now)
        update_index(table, executor)


def forget_samples(table):
    """Discard sampled health reports, which a pause of this process invalidates."""
    for executor in table.owned.values():
        executor.sample = None


def grant(table, service, cls, count, borrower, usable_until):
    """Reserve up to ``count`` free slots for a borrower; returns their credits."""
    credits = []
    while len(credits) < count:
        executor = best_executor(table, service, cls)
        if executor is None:
            break
        credit_id = table.next_credit_id
        table.next_credit_id += 1
        state = CreditState(borrower, executor, usable_until)
        executor.credits[credit_id] = table.credits[credit_id] = state
        if cls == LONG:
            executor.long_use_ids.add(credit_id)
        update_index(table, executor)
        credits.append(Credit(credit_id, executor.id, executor.address))
    return credits


def return_credit(table, credit_id, orphan=None):
    """Free a credit's slot, or keep it as the orphan (since, until).

    Returns the executor, or None if the credit is unknown.
    """
    state = table.credits.pop(credit_id, None)
    if state is None:
        return None
    executor = state.executor
    executor.credits.pop(credit_id, None)
    executor.long_use_ids.discard(credit_id)
    _release_slot(table, executor, orphan)
    return executor


def record_observed_state(table, executor, observed_state, at):
    """Record a state observed at a time; older observations are ignored."""
    if at >= executor.observed_at:
        executor.observed_state = observed_state
        executor.observed_at = at
        update_index(table, executor)


def apply_health(table, executor, now, sent_at, report, orphaned_until):
    """Apply a ``/health`` report to an executor; None means that there was no answer.

    On the first report after a change of owner, all requests that the executor runs
    count as orphaned, until ``orphaned_until`` at the latest.
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
    """Return Probe effects for the owned executors whose next probe is due."""
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
