"""Prometheus instruments of an entry.

Values that the router keeps anyway are read from its state on each scrape, so that they
cost nothing between scrapes.
"""

from typing import NamedTuple

from prometheus_client import Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from .metrics import DURATION_BUCKETS_S, LAG_BUCKETS_S

__all__ = ["EntryInstruments", "add_entry_collector", "new_entry_instruments"]


class EntryInstruments(NamedTuple):
    """Functions that update instruments; durations are in seconds.

    ``observe_wait(service, wait_s)`` records the time to a request's first dispatch,
    ``observe_lag(lag_s)`` the lateness of a tick, and ``count_retry()`` counts a retry.
    """

    observe_wait: object
    observe_lag: object
    count_retry: object


def new_entry_instruments(registry):
    """Register and return the instruments that are updated on each event."""
    waits = Histogram(
        "cornelward_wait_seconds",
        "Time from the arrival of a request to its first dispatch.",
        ["service"],
        buckets=DURATION_BUCKETS_S,
        registry=registry,
    )
    lag = Histogram(
        "cornelward_loop_lag_seconds",
        "Delay of the entry's tick after its due time.",
        buckets=LAG_BUCKETS_S,
        registry=registry,
    )
    retries = Counter("cornelward_retries", "Retries of requests.", registry=registry)
    # labels() takes a lock and builds a key on each call, so children are cached.
    children = {}

    def observe_wait(service, wait_s):
        child = children.get(service)
        if child is None:
            child = children[service] = waits.labels(service)
        child.observe(wait_s)

    return EntryInstruments(observe_wait, lag.observe, retries.inc)


class _RouterCollector(Collector):
    """Collects metrics from the router's state; ``dump()`` returns it JSON-ready."""

    def __init__(self, dump):
        self._dump = dump

    def collect(self):
        state = self._dump()
        view = state["view"]
        yield _gauge("view_epoch", "Epoch of the adopted view.", view["epoch"])
        text = "Remaining time for which this entry may start requests."
        yield _gauge("authority_seconds", text, view["authority_s"])
        yield from _collect_services(state["services"])
        yield _collect_slots(state["executors"])
        refusals = CounterMetricFamily(
            "cornelward_refusals", "Requests refused by the router.", labels=["code"]
        )
        for code, count in state["refusals"].items():
            refusals.add_metric([code], count)
        yield refusals


def _gauge(name, text, value):
    return GaugeMetricFamily(f"cornelward_{name}", text, value=float(value))


def _collect_services(services):
    queued = GaugeMetricFamily(
        "cornelward_queue_length", "Queued requests.", labels=["service", "class"]
    )
    running = GaugeMetricFamily(
        "cornelward_running", "Running requests.", labels=["service", "class"]
    )
    for name, service in services.items():
        for family, key in ((queued, "queued"), (running, "running")):
            for cls, count in service[key].items():
                family.add_metric([name, cls], count)
    return queued, running


def _collect_slots(executors):
    """Return the slots in use on owned executors, summed by kind of use."""
    slots = GaugeMetricFamily(
        "cornelward_slots_in_use",
        "Slots in use on executors that this entry owns.",
        labels=["use"],
    )
    for use in ("running", "credits", "orphans"):
        owned = (item[use] for item in executors.values() if item["owned"])
        slots.add_metric([use], sum(owned))
    return slots


def add_entry_collector(registry, dump):
    """Register the metrics that are read from the router's state on each scrape."""
    registry.register(_RouterCollector(dump))
