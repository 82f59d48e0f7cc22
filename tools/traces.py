"""Synthetic request traces; the same seed gives the same trace.

Times are seconds from the start of the trace. Sizes are kilobytes of request and
response together.
"""

import random
from typing import NamedTuple

__all__ = [
    "Arrival",
    "Trace",
    "laurentides_morning",
    "one_domain",
    "shahidi_month_end",
]

EXECUTORS = 24
SLOTS_PER_EXECUTOR = 8


class Arrival(NamedTuple):
    """One request of a caller; ``run_s`` is its run time once started."""

    at: float
    failure_domain: str
    operation: str
    run_s: float
    deadline_s: float
    size_kb: float


class Trace(NamedTuple):
    """Requests in order of arrival, and the cluster that serves them.

    ``regions`` maps each region to its failure domains. ``load_peak`` is the (start,
    end) of the load peak. ``short`` holds the operations whose wait behind
    long-running requests is measured.
    """

    name: str
    service: str
    regions: dict
    executors: int
    slots: int
    entries: int
    policy: dict
    load_peak: tuple
    short: tuple
    arrivals: list


def _poisson(rng, start, end, rate):
    """Yield the arrival times of a Poisson process of ``rate`` arrivals a second."""
    at = start
    while True:
        at += rng.expovariate(rate)
        if at >= end:
            return
        yield at


def _run_time(rng, mean_s, stragglers):
    """Sample a lognormal run time with a mean of ``mean_s``.

    A share ``stragglers`` of the requests runs ten times longer.
    """
    run_s = mean_s * rng.lognormvariate(-0.125, 0.5)
    return run_s * 10 if rng.random() < stragglers else run_s


def laurentides_morning(seed=1):
    """Generate quote requests at 0.5, then 1.5, then 0.5 times the capacity.

    The home region, laurentides, has the largest share of the callers. Manifests are
    submitted at a constant rate during the whole trace.
    """
    rng = random.Random(seed)
    mean_s, stragglers, manifest_s = 0.4, 0.01, 1.5
    quote_s = mean_s * (1 + 9 * stragglers)
    manifests = 10.0
    capacity = (EXECUTORS * SLOTS_PER_EXECUTOR - manifests * manifest_s) / quote_s
    domains = ("laurentides", "monteregie", "capitale")
    arrivals = []
    for start, end, load in ((0, 8, 0.5), (8, 28, 1.5), (28, 34, 0.5)):
        for at in _poisson(rng, start, end, load * capacity):
            domain = rng.choices(domains, (0.45, 0.30, 0.25))[0]
            run_s = _run_time(rng, mean_s, stragglers)
            arrivals.append(Arrival(at, domain, "quote", run_s, 2.0, 6.0))
    for at in _poisson(rng, 0, 34, manifests):
        run_s = _run_time(rng, manifest_s, 0)
        arrivals.append(
            Arrival(at, rng.choice(domains), "manifest", run_s, 20.0, 120.0)
        )
    return Trace(
        "laurentides morning",
        "quotes",
        {name: [name] for name in domains},
        EXECUTORS,
        SLOTS_PER_EXECUTOR,
        6,
        {"reserved_short_slots": 2, "long_threshold_ms": 1_500, "spill": "all"},
        (8, 28),
        ("quote",),
        sorted(arrivals),
    )


def shahidi_month_end(seed=2):
    """Generate a month-end reconciliation with short requests beside it.

    Slot confirmations and short bundles arrive while the reconciliation runs.
    """
    rng = random.Random(seed)
    domains = ("nairobi", "coast", "lakes")
    arrivals = []
    work = (
        ("confirmation", 0, 12, 150, 0.02, 1.0, 2.0),
        ("confirmation", 12, 20, 900, 0.02, 1.0, 2.0),
        ("confirmation", 20, 30, 150, 0.02, 1.0, 2.0),
        ("bundle", 0, 30, 150, 0.08, 5.0, 60.0),
        ("reconciliation", 0, 4, 2, 4.0, 120.0, 400.0),
        ("reconciliation", 4, 14, 60, 4.0, 120.0, 400.0),
    )
    for operation, start, end, rate, mean_s, deadline_s, size_kb in work:
        for at in _poisson(rng, start, end, rate):
            run_s = _run_time(rng, mean_s, 0.005)
            arrivals.append(
                Arrival(at, rng.choice(domains), operation, run_s, deadline_s, size_kb)
            )
    return Trace(
        "shahidi month end",
        "visits",
        {name: [name] for name in domains},
        EXECUTORS,
        SLOTS_PER_EXECUTOR,
        6,
        {"reserved_short_slots": 2, "long_threshold_ms": 500, "spill": "all"},
        (12, 20),
        ("confirmation", "bundle"),
        sorted(arrivals),
    )


def one_domain(seed=3, load=0.8):
    """Generate short requests at a constant rate in one failure domain.

    The eight entries own different numbers of executors, so the trace shows the cost
    and the fairness of lending slots between entries. ``load`` is the offered
    load as a multiple of the capacity.
    """
    rng = random.Random(seed)
    mean_s = 0.1
    arrivals = [
        Arrival(at, "laurentides", "quote", _run_time(rng, mean_s, 0), 2.0, 6.0)
        for at in _poisson(rng, 0, 8, load * EXECUTORS * SLOTS_PER_EXECUTOR / mean_s)
    ]
    return Trace(
        f"one domain at {load:g} of capacity",
        "quotes",
        {"laurentides": ["laurentides"]},
        EXECUTORS,
        SLOTS_PER_EXECUTOR,
        8,
        {"spill": "none"},
        (2, 8),
        ("quote",),
        arrivals,
    )
