"""Prometheus instruments of a scheduler.

Values that the core already keeps are read only when the metrics are collected, so that
they add no cost between collections.
"""

from collections import Counter as Tally
from typing import NamedTuple

from prometheus_client import Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from .metrics import LAG_BUCKETS_S
from .ownership import OWNER

__all__ = ["Instruments", "add_collector", "new_instruments"]


class Instruments(NamedTuple):
    """``observe_lag(seconds)`` and ``observe_worker(operation, outcome)``."""

    observe_lag: object
    observe_worker: object


def new_instruments(registry):
    """Return the instruments that are updated at each observation."""
    lag = Histogram(
        "cornelward_loop_lag_seconds",
        "Delay of the periodic tick after its due time.",
        buckets=LAG_BUCKETS_S,
        registry=registry,
    )
    calls = Counter(
        "cornelward_worker_calls",
        "Calls to workers, by operation and outcome.",
        ["operation", "outcome"],
        registry=registry,
    )
    # labels() takes a lock and builds a key on each call, so children are cached.
    children = {}

    def observe_worker(operation, outcome):
        key = operation, outcome
        child = children.get(key)
        if child is None:
            child = children[key] = calls.labels(operation, outcome)
        child.inc()

    return Instruments(lag.observe, observe_worker)


class _StateCollector(Collector):
    """Collects metrics from the core's state; ``clock()`` is in seconds."""

    def __init__(self, state, clock):
        self._state = state
        self._clock = clock

    def collect(self):
        owner_lease = self._state.owner_lease
        is_owner = owner_lease.role == OWNER
        yield _make_gauge(
            "owner", "1 while this scheduler owns the workers, else 0.", is_owner
        )
        yield _make_gauge("owner_epoch", "Epoch of the owner lease.", owner_lease.epoch)
        # A standby exports the metric without a sample, so that its name always exists.
        age = GaugeMetricFamily(
            "cornelward_owner_lease_age_seconds",
            "Time since the last successful owner renewal was sent.",
        )
        if is_owner:
            age.add_metric(
                [], self._clock() - (owner_lease.authority_until - owner_lease.lease_s)
            )
        yield age
        yield from _collect_task_metrics(self._state)


def _make_gauge(name, text, value):
    return GaugeMetricFamily(f"cornelward_{name}", text, value=float(value))


def _collect_task_metrics(state):
    tasks = GaugeMetricFamily(
        "cornelward_tasks", "Tasks of active jobs, by state.", labels=["state"]
    )
    for name, count in Tally(t.state for t in state.jobs.tasks.values()).items():
        tasks.add_metric([name], count)
    yield tasks
    for name, count in state.stats.items():
        text = f"Count of {name} since the start of the process."
        yield CounterMetricFamily(f"cornelward_scheduler_{name}", text, value=count)
    accepting = [w for w in state.workers.by_id.values() if w.accepts]
    text = "Workers that accept new tasks."
    yield _make_gauge("workers_accepting", text, len(accepting))
    packing = GaugeMetricFamily(
        "cornelward_packing_ratio",
        "Allocated share of the capacity of accepting workers.",
        labels=["resource"],
    )
    for name in ("cpu", "memory_mb", "accelerators"):
        total = sum(getattr(w.capacity, name) for w in accepting)
        free = sum(getattr(w.free, name) for w in accepting)
        if total:
            packing.add_metric([name], 1 - free / total)
    yield packing


def add_collector(registry, state, clock):
    """Register a collector of the core's state; ``clock()`` is in seconds."""
    registry.register(_StateCollector(state, clock))
