"""Leases of workers: renewals, reports and expiry.

``lease_until_ms`` is the worker's own clock in its last report plus the lease time. The
worker read its clock before the report arrived here, so that its lease ends at most
``worker_lease_s`` after the arrival.
"""

from .capacity import (
    Worker,
    add_allocation,
    release_allocations,
    set_usage,
    to_resources,
    update_indexes,
)
from .task_effects import LEASE_MARGIN_S, RenewWorker

__all__ = [
    "is_usable",
    "lapse_at",
    "lease_until_ms",
    "renew_due",
    "reset_workers",
    "set_members",
    "update_worker",
]


def set_members(table, now, rng, renew_s, instances):
    """Update the worker table from the platform's list of instances."""
    seen = set()
    for item in instances:
        if item["kind"] != "worker":
            continue
        seen.add(item["id"])
        capacity = to_resources(item)
        worker = table.by_id.get(item["id"])
        if worker is None:
            worker = Worker(item["id"], item["address"], item.get("rack"), capacity)
            # Spreads the renewals of the workers over time.
            worker.renew_at = now + rng.random() * min(renew_s, 0.25)
            table.by_id[worker.id] = worker
        worker.address = item["address"]
        worker.member = True
        accepts = item["state"] == "live" and worker.epoch > 0
        table.largest = type(capacity)(*map(max, table.largest, capacity))
        if worker.accepts != accepts and item["state"] != "live":
            worker.accepts = False
            update_indexes(table, worker)
    for worker in table.by_id.values():
        if worker.id not in seen:
            worker.member = False


def reset_workers(table, now):
    """Discard what workers reported before, at the start of a new epoch."""
    for worker in table.by_id.values():
        suspend_worker(table, worker)
        worker.contacted_at = None
        worker.in_flight = None
        worker.renew_at = now
        worker.acks = set()
        worker.reserved = None
        release_allocations(table, worker, list(worker.allocations))


def suspend_worker(table, worker):
    """Exclude the worker from placement until it reports again."""
    worker.epoch = 0
    worker.reported_at = None
    worker.accepts = False
    update_indexes(table, worker)


def is_usable(worker, epoch):
    """Return whether the worker reported in ``epoch`` and its lease has not expired."""
    return worker.epoch == epoch and worker.epoch > 0


def lapse_at(worker, owner_lease, cfg):
    """Return the time from which the worker's lease has certainly expired.

    A worker that has not reported in this epoch may hold a lease from the former owner.
    The former owner stops renewing when any worker answers it with the higher epoch.
    """
    wait = cfg["worker_lease_s"] + LEASE_MARGIN_S
    if worker.reported_at is not None:
        return worker.reported_at + wait
    return owner_lease.owner_since + 2 * cfg["worker_renew_s"] + wait


def lease_until_ms(worker, cfg):
    """Return the end of the next lease on the worker's clock; 0 before a report."""
    if worker.epoch == 0:
        return 0
    return worker.clock_ms + int(cfg["worker_lease_s"] * 1000)


def renew_due(table, now, owner_lease, cfg):
    """Return the lease renewals that are due."""
    effects = []
    for worker in table.by_id.values():
        waiting = worker.in_flight is not None and now < worker.in_flight + 5.0
        if now < worker.renew_at or waiting:
            continue
        worker.in_flight = now
        worker.renew_at = now + cfg["worker_renew_s"]
        if worker.contacted_at is None:
            worker.contacted_at = now
        body = {
            "epoch": owner_lease.epoch,
            "owner": owner_lease.id,
            "lease_until_ms": lease_until_ms(worker, cfg),
            "ack": [list(key) for key in sorted(worker.acks)],
        }
        effects.append(RenewWorker(worker.id, worker.address, body))
    return effects


def update_worker(table, worker, now, sent_at, body, keep, healthy):
    """Update the worker's clock, capacity and allocations from a report.

    ``keep`` are the keys of allocations that the worker need not have reported yet. A
    worker that is not ``healthy`` gets no new tasks.
    """
    first = worker.epoch == 0
    worker.epoch = body["epoch"]
    worker.clock_ms = body["clock_ms"]
    worker.reported_at = now
    worker.report_sent_at = sent_at
    reported = set()
    for item in body["running"]:
        key = (item["task"], item["attempt"])
        reported.add(key)
        add_allocation(table, worker, key, to_resources(item))
        used = (item.get("used_cpu") or 0, item.get("used_memory_mb") or 0, 0)
        set_usage(table, worker, key, used)
    gone = [
        key for key in worker.allocations if key not in reported and key not in keep
    ]
    _set_capacity(worker, to_resources(body["capacity"]))
    release_allocations(table, worker, gone)
    accepts = worker.member and healthy and body["state"] == "live"
    if accepts != worker.accepts:
        worker.accepts = accepts
        update_indexes(table, worker)
    if first:
        # The first call of an epoch only reads the worker's clock; the call that renews
        # its lease is due at once.
        worker.renew_at = now


def _set_capacity(worker, capacity):
    if capacity != worker.capacity:
        change = [new - old for new, old in zip(capacity, worker.capacity, strict=True)]
        worker.capacity = capacity
        worker.free = type(capacity)(*map(sum, zip(worker.free, change, strict=True)))
        worker.evictable = type(capacity)(
            *map(sum, zip(worker.evictable, change, strict=True))
        )
