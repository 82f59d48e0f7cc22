"""Prometheus instruments of a process, in a separate registry."""

from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, exposition

__all__ = [
    "CONTENT_TYPE",
    "DURATION_BUCKETS_S",
    "LAG_BUCKETS_S",
    "Metrics",
    "new_metrics",
    "render",
]

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST

# From 1 ms for a quote request to several minutes for a reconciliation.
DURATION_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 300)
LAG_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 2, 10)


class Metrics(NamedTuple):
    """Instruments of a process.

    ``observe_request(service, verdict, status, duration_s)`` and
    ``observe_platform(operation, outcome)`` update the instruments not listed here.
    """

    registry: CollectorRegistry
    config_version: Gauge
    open_requests: Gauge
    observe_request: object
    observe_platform: object


def new_metrics():
    """Create the instruments in a new registry."""
    registry = CollectorRegistry()
    requests = Counter(
        "cornelward_requests",
        "Requests answered, by service, verdict and status.",
        ["service", "verdict", "status"],
        registry=registry,
    )
    durations = Histogram(
        "cornelward_request_seconds",
        "Time from the arrival of a request to its answer.",
        ["service"],
        buckets=DURATION_BUCKETS_S,
        registry=registry,
    )
    platform = Counter(
        "cornelward_platform_calls",
        "Calls to the platform, by operation and outcome.",
        ["operation", "outcome"],
        registry=registry,
    )
    # labels() takes a lock and builds a key on each call, so its results are cached.
    children = {}

    def observe_request(service, verdict, status, duration_s):
        key = service, verdict, status
        pair = children.get(key)
        if pair is None:
            counter = requests.labels(service, str(verdict), str(status))
            pair = children[key] = counter, durations.labels(service)
        pair[0].inc()
        pair[1].observe(duration_s)

    def observe_platform(operation, outcome):
        platform.labels(operation, outcome).inc()

    return Metrics(
        registry,
        Gauge(
            "cornelward_config_version",
            "Version of the configuration in force.",
            registry=registry,
        ),
        Gauge(
            "cornelward_open_requests",
            "Requests accepted and not yet answered.",
            registry=registry,
        ),
        observe_request,
        observe_platform,
    )


def render(metrics):
    """Return the metrics in the Prometheus text format, as bytes."""
    return exposition.generate_latest(metrics.registry)
