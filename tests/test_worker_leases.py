"""Tests of worker leases and reports, one step at a time."""

import random
from types import SimpleNamespace

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from cornelward.capacity import WorkerTable
from cornelward.settings import SCHEDULER_DEFAULTS
from cornelward.worker_leases import (
    lapse_at,
    lease_until_ms,
    renew_due,
    set_members,
    suspend_worker,
    update_worker,
)
from tools.task_model import ModelWorker

OWN = SimpleNamespace(epoch=3, id="s", owner_since=100.0)
CAPACITY = {"cpu": 4, "memory_mb": 1_000, "accelerators": 0}


def make_worker():
    table = WorkerTable()
    model = ModelWorker("w", "r", CAPACITY)
    set_members(table, 100.0, random.Random(1), 2.0, [model.member("fd")])
    return table, table.by_id["w"]


def report(table, worker, now, clock_ms, running=()):
    body = {
        "epoch": 3,
        "clock_ms": clock_ms,
        "capacity": CAPACITY,
        "state": "live",
        "running": list(running),
        "finished": [],
    }
    update_worker(table, worker, now, now - 0.1, body, set(), True)


def test_first_call_only_reads_and_the_lease_follows_the_workers_clock():
    """Guards against lease ends computed from the owner's clock."""
    table, worker = make_worker()
    (first,) = renew_due(table, 101.0, OWN, SCHEDULER_DEFAULTS)
    assert_that(first.body["lease_until_ms"], Equals(0))
    worker.in_flight = None
    report(table, worker, 101.0, 5_000)
    (second,) = renew_due(table, 101.0, OWN, SCHEDULER_DEFAULTS)
    assert_that(second.body["lease_until_ms"], Equals(15_000))
    assert_that(lapse_at(worker, OWN, SCHEDULER_DEFAULTS), Equals(101.0 + 10.5))


def test_worker_that_never_answered_may_hold_the_former_owners_lease():
    """Guards against restarting tasks before the former owner's lease has expired."""
    _, worker = make_worker()
    assert_that(lapse_at(worker, OWN, SCHEDULER_DEFAULTS), GreaterThan(100.0 + 10.5))


def test_suspended_worker_is_removed_from_the_index():
    """Guards against placement on a worker that has not reported in this epoch."""
    table, worker = make_worker()
    report(table, worker, 101.0, 5_000)
    assert_that(list(table.free.places), Equals(["w"]))
    suspend_worker(table, worker)
    assert_that(list(table.free.places), Equals([]))
    assert_that(lease_until_ms(worker, SCHEDULER_DEFAULTS), Equals(0))


def test_capacity_of_unknown_running_task_is_allocated():
    """Guards against allocating capacity that an unknown task still uses."""
    table, worker = make_worker()
    running = {"task": "x", "attempt": 1, **CAPACITY, "cpu": 3}
    report(table, worker, 101.0, 5_000, [running])
    assert_that(worker.free.cpu, Equals(1.0))
    report(table, worker, 102.0, 6_000)
    assert_that(worker.free.cpu, Equals(4.0))
