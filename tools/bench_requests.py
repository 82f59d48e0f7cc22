"""Replays request traces through the router and the baseline and compares them.

Run as ``python -m tools.bench_requests``; it prints one table for each trace. The
executors, the platform's table and the network between entries are simulated in virtual
time by a heap of future events.
"""

import heapq
import itertools
import random
import sys
import time

from hdrh.histogram import HdrHistogram

from cornelward import router
from cornelward.messages import Envelope
from cornelward.platform_client import Conflict, Row
from cornelward.settings import ENTRY_DEFAULTS
from cornelward.verdicts import Verdict

from .baselines import Replay, replay_fifo
from .traces import Arrival, Trace, laurentides_morning, one_domain, shahidi_month_end

__all__ = ["decision_cost", "figures", "main", "replay_router"]

# Simulated latencies: SAME_DOMAIN_LATENCY_S of messages between entries and of health
# probes, INTER_REGION_LATENCY_S of forwarded requests and their outcomes, and
# TABLE_LATENCY_S of reads and writes of the view in the platform's table.
SAME_DOMAIN_LATENCY_S = 0.0005
INTER_REGION_LATENCY_S = 0.008
TABLE_LATENCY_S = 0.005
# An entry process waits at least this long between ticks (entry_shell.tick).
MIN_TICK_INTERVAL_S = 0.01
# Virtual time before the first arrival, in which the entries agree on their views and
# claim executors.
WARM_UP_S = 8.0
# Virtual time after the last arrival, in which open requests can finish.
DRAIN_S = 60.0


class Entry:
    """One simulated entry with the state of its router."""

    def __init__(self, name, domain, state):
        self.name = name
        self.domain = domain
        self.state = state


class Simulation:
    """State of a replay; ``now`` is virtual time in seconds.

    The first arrival of the trace is at or after time 0. ``clock`` measures real time
    spent in the router. ``started`` and ``ended`` are virtual times by index of the
    arrival, or None.
    """

    def __init__(self, trace, clock):
        self.trace = trace
        self.clock = clock
        self.now = -WARM_UP_S
        self.events = []
        # Orders events that are due at the same time by when they were scheduled.
        self.tie_breakers = itertools.count()
        self.rng = random.Random(0)
        self.entries = {}
        self.entries_by_domain = {}
        self.rows = {}
        # Number of running requests by executor id.
        self.busy = {}
        self.region_of = {
            domain: region
            for region, names in trace.regions.items()
            for domain in names
        }
        self.started = [None] * len(trace.arrivals)
        self.ended = [None] * len(trace.arrivals)
        # The entry that forwarded each request, by request id.
        self.forwarded_by = {}
        self.cross_region_kb = 0.0
        self.decisions = 0
        self.messages = 0
        self.control_s = 0.0


def _schedule(sim, delay_s, function, *args):
    """Call ``function`` with ``args`` after ``delay_s`` of virtual time."""
    heapq.heappush(
        sim.events, (sim.now + delay_s, next(sim.tie_breakers), function, args)
    )


def _config_objects(trace):
    """Return the configuration objects that the trace needs."""
    regions = [
        {"kind": "region", "name": name, "failure_domains": domains}
        for name, domains in trace.regions.items()
    ]
    pool = {"kind": "pool", "name": "pool", "regions": list(trace.regions)}
    policy = {"kind": "policy", "name": "policy", "type": "request", **trace.policy}
    workload = {
        "kind": "workload",
        "name": trace.service,
        "type": "request",
        "policy": "policy",
        "pool": "pool",
    }
    return [*regions, pool, policy, workload]


def _executor_instances(trace, region_of):
    """Return registry entries of the executors, spread evenly over failure domains."""
    domains = list(region_of)
    return [
        {
            "id": f"x{index}",
            "kind": "executor",
            "service": trace.service,
            "failure_domain": domains[index % len(domains)],
            "region": region_of[domains[index % len(domains)]],
            "address": f"x{index}:1",
            "state": "live",
            "slots": trace.slots,
        }
        for index in range(trace.executors)
    ]


def _start_entries(sim):
    """Create the entries with configuration and members, and start their ticks."""
    domains = list(sim.region_of)
    instances = _executor_instances(sim.trace, sim.region_of)
    for instance in instances:
        sim.busy[instance["id"]] = 0
    for index in range(sim.trace.entries):
        domain = domains[index % len(domains)]
        name = f"e{index}"
        identity = router.Identity(
            name, 1, domain, sim.region_of[domain], name, f"{name}:80"
        )
        state = router.new_router(dict(ENTRY_DEFAULTS), identity, random.Random(index))
        entry = Entry(name, domain, state)
        sim.entries[name] = entry
        sim.entries_by_domain.setdefault(domain, []).append(entry)
        _call(sim, entry, router.update_config, 1, _config_objects(sim.trace))
        _call(sim, entry, router.update_members, instances)
        _tick(sim, entry)


def _tick(sim, entry):
    """Run the tick of an entry and schedule the next one."""
    _call(sim, entry, router.tick)
    wakeup_delay_s = max(MIN_TICK_INTERVAL_S, router.next_wakeup(entry.state) - sim.now)
    _schedule(sim, min(ENTRY_DEFAULTS["tick_s"], wakeup_delay_s), _tick, sim, entry)


def _call(sim, entry, event, *args):
    """Call an event function of the router and carry out the effects it returns.

    The run time of the event function is added to ``control_s`` if ``_is_measured``.
    """
    begin = sim.clock()
    result = event(entry.state, sim.now, *args)
    if _is_measured(sim):
        sim.control_s += sim.clock() - begin
    if event is router.complete:
        retried, result = result
        if not retried:
            _deliver_outcome(sim, entry, *args)
    for effect in result:
        _EFFECTS[type(effect)](sim, entry, effect)


def _is_measured(sim):
    """Return whether ``now`` is between time 0 and the last arrival.

    The warm-up and the drain are left out, because no requests arrive then.
    """
    return 0 <= sim.now <= sim.trace.arrivals[-1].at


def _deliver_outcome(sim, entry, request_id, outcome):
    """Deliver an outcome to the caller, or to the entry that forwarded the request."""
    forwarded_by = sim.forwarded_by.get(request_id)
    if forwarded_by is not None and forwarded_by is not entry:
        delay_s = INTER_REGION_LATENCY_S
        args = sim, forwarded_by, router.complete, request_id, outcome
        _schedule(sim, delay_s, _call, *args)
    elif outcome.verdict is Verdict.RAN:
        sim.ended[int(request_id)] = sim.now


def _on_dispatch(sim, entry, effect):
    """Start a request on its executor.

    Raises RuntimeError if the executor then has more requests than slots.
    """
    index = int(effect.request_id)
    sim.decisions += 1
    sim.busy[effect.executor] += 1
    if sim.busy[effect.executor] > sim.trace.slots:
        raise RuntimeError(f"{effect.executor} has more requests than slots")
    sim.started[index] = sim.now
    run_s = sim.trace.arrivals[index].run_s
    _schedule(sim, run_s, _finish, sim, entry, effect, run_s)


def _finish(sim, entry, effect, run_s):
    """End the run of a request and report its outcome to the router."""
    sim.busy[effect.executor] -= 1
    outcome = router.Outcome(Verdict.RAN, run_s=run_s)
    _call(sim, entry, router.complete, effect.request_id, outcome)


def _on_refuse(sim, entry, effect):
    sim.decisions += 1
    _deliver_outcome(sim, entry, effect.request_id, router.Outcome(Verdict.NOT_RUN))


def _on_forward(sim, entry, effect):
    """Send a request to a random entry of the failure domain that the router chose."""
    sim.decisions += 1
    index = int(effect.request_id)
    sim.forwarded_by[effect.request_id] = entry
    if sim.region_of[entry.domain] != sim.region_of[effect.failure_domain]:
        sim.cross_region_kb += sim.trace.arrivals[index].size_kb
    target = sim.rng.choice(sim.entries_by_domain[effect.failure_domain])
    _schedule(sim, INTER_REGION_LATENCY_S, _submit, sim, target, index, True)


def _on_send(sim, entry, effect):
    sim.messages += _is_measured(sim)
    envelope = Envelope(entry.name, 1, effect.message)
    target = sim.entries[effect.address]
    _schedule(sim, SAME_DOMAIN_LATENCY_S, _call, sim, target, router.receive, envelope)


def _on_read(sim, entry, effect):
    row = sim.rows.get(entry.domain, Row(entry.domain, None, 0))
    _schedule(
        sim, TABLE_LATENCY_S, _call, sim, entry, router.handle_view_read, sim.now, row
    )


def _on_write(sim, entry, effect):
    """Write the view if the stored version is as expected, else report Conflict."""
    row = sim.rows.get(entry.domain, Row(entry.domain, None, 0))
    result = Conflict({entry.domain: row.version})
    if effect.expected_version == row.version:
        result = row.version + 1
        sim.rows[entry.domain] = Row(entry.domain, effect.value, result)
    _schedule(
        sim,
        TABLE_LATENCY_S,
        _call,
        sim,
        entry,
        router.handle_view_written,
        sim.now,
        result,
    )


def _on_probe(sim, entry, effect):
    report = {"state": "live", "in_flight": sim.busy[effect.executor]}
    args = effect.executor, sim.now, report
    _schedule(
        sim,
        SAME_DOMAIN_LATENCY_S,
        _call,
        sim,
        entry,
        router.handle_health_report,
        *args,
    )


_EFFECTS = {
    router.Dispatch: _on_dispatch,
    router.Forward: _on_forward,
    router.Probe: _on_probe,
    router.ReadView: _on_read,
    router.Refuse: _on_refuse,
    router.SendMessage: _on_send,
    router.WriteView: _on_write,
}


def _submit(sim, entry, index, forwarded=False):
    """Submit the arrival with this index to the router of an entry."""
    arrival = sim.trace.arrivals[index]
    deadline = arrival.at + arrival.deadline_s
    request = router.Request(
        str(index), sim.trace.service, arrival.operation, deadline, False, forwarded
    )
    _call(sim, entry, router.submit, request)


def replay_router(trace, clock=time.perf_counter):
    """Replay a trace through the routers of all entries and return a Replay.

    ``clock`` returns seconds of real time, used only for ``control_s``.
    """
    sim = Simulation(trace, clock)
    _start_entries(sim)
    for index, arrival in enumerate(trace.arrivals):
        entry = sim.rng.choice(sim.entries_by_domain[arrival.failure_domain])
        _schedule(sim, arrival.at - sim.now, _submit, sim, entry, index)
    end = trace.arrivals[-1].at + DRAIN_S
    while sim.events and sim.events[0][0] <= end:
        sim.now, _, function, args = heapq.heappop(sim.events)
        function(*args)
    examined = sum(entry.state.slots.examined for entry in sim.entries.values())
    return Replay(
        sim.started,
        sim.ended,
        sim.cross_region_kb,
        sim.decisions,
        examined,
        sim.messages,
        sim.control_s,
    )


def _wait_percentiles_ms(trace, replay, operations=None):
    """Return the p50 and p99 of the wait before start, in milliseconds.

    Requests that never started are left out. With ``operations`` only requests of these
    operations count.
    """
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for arrival, started in zip(trace.arrivals, replay.started, strict=True):
        if started is None or (operations and arrival.operation not in operations):
            continue
        histogram.record_value(max(1, round((started - arrival.at) * 1e6)))
    return [histogram.get_value_at_percentile(p) / 1e3 for p in (50, 99)]


def _share_within_deadline(trace, replay):
    """Return the share of load peak arrivals that ended within their deadline."""
    total = met = 0
    for arrival, ended in zip(trace.arrivals, replay.ended, strict=True):
        if trace.load_peak[0] <= arrival.at < trace.load_peak[1]:
            total += 1
            met += ended is not None and ended <= arrival.at + arrival.deadline_s
    return met / total


def figures(trace, replay):
    """Return the figures of one replay by the name shown in the table."""
    wait = _wait_percentiles_ms(trace, replay)
    short = _wait_percentiles_ms(trace, replay, trace.short)
    decisions = max(replay.decisions, 1)
    return {
        "wait p50 ms": wait[0],
        "wait p99 ms": wait[1],
        "short wait p50 ms": short[0],
        "short wait p99 ms": short[1],
        "in deadline at load peak": _share_within_deadline(trace, replay),
        "answered": sum(ended is not None for ended in replay.ended),
        "inter-region traffic MB": replay.cross_region_kb / 1e3,
        "executors examined": replay.examined / decisions,
        "messages per request": replay.messages / len(trace.arrivals),
        "control us per request": replay.control_s / len(trace.arrivals) * 1e6,
    }


def decision_cost(executors, requests=2_000):
    """Return the cost of a routing decision of one entry that owns all executors.

    Three quarters of the slots are in use. In the result, ``calls`` is the mean number
    of function calls of a submit with its dispatch, and ``examined`` the mean number of
    executors examined. ``p50 us`` and ``p99 us`` are the times of a submit, taken in a
    second pass, because the profiler that counts the calls slows the first.
    """
    unused_arrivals = [Arrival(0.0, "r", "op", 0.0, 0.0, 0.0)]
    trace = Trace(
        "cost", "s", {"r": ["r"]}, executors, 8, 1, {}, (0, 0), (), unused_arrivals
    )
    sim = Simulation(trace, time.perf_counter)
    _start_entries(sim)
    while sim.events and sim.events[0][0] <= 0:
        sim.now, _, function, args = heapq.heappop(sim.events)
        function(*args)
    state = next(iter(sim.entries.values())).state
    running = executors * 6
    for index in range(running):
        _submit_one(state, sim.now, index)
    before = state.slots.examined
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    histogram = HdrHistogram(1, 1_000_000_000, 3)
    for index in range(running, running + requests):
        router.complete(
            state, sim.now, str(index - running), router.Outcome(Verdict.RAN, run_s=0.1)
        )
        sys.setprofile(count)
        _submit_one(state, sim.now, index)
        sys.setprofile(None)
    examined = (state.slots.examined - before) / requests
    for index in range(running + requests, running + 2 * requests):
        router.complete(
            state, sim.now, str(index - running), router.Outcome(Verdict.RAN, run_s=0.1)
        )
        begin = time.perf_counter_ns()
        _submit_one(state, sim.now, index)
        histogram.record_value(time.perf_counter_ns() - begin)
    p50, p99 = (histogram.get_value_at_percentile(p) / 1e3 for p in (50, 99))
    return {
        "examined": examined,
        "calls": calls / requests,
        "p50 us": p50,
        "p99 us": p99,
    }


def _submit_one(state, now, index):
    """Submit a request; raise RuntimeError unless it is dispatched immediately."""
    request = router.Request(str(index), "s", "op", now + 60)
    effects = router.submit(state, now, request)
    if type(effects[0]) is not router.Dispatch:
        raise RuntimeError(f"expected a Dispatch, got {effects[0]}")


def _print_decision_costs():
    costs = {executors: decision_cost(executors) for executors in (24, 192, 820)}
    print("cost of a routing decision, by number of executors of one entry")
    print(f"  {'':<24}" + "".join(f"{executors:>14}" for executors in costs))
    for name in next(iter(costs.values())):
        values = "".join(f"{cost[name]:>14.3f}" for cost in costs.values())
        print(f"  {name:<24}{values}")


def main():
    """Print a table for each trace and one with the cost of a routing decision."""
    for trace in (
        laurentides_morning(),
        shahidi_month_end(),
        one_domain(),
        one_domain(load=1.2),
    ):
        ours = figures(trace, replay_router(trace))
        baseline = figures(trace, replay_fifo(trace, time.perf_counter))
        print(f"{trace.name}: {len(trace.arrivals)} requests, seeded")
        print(f"  {'':<24}{'cornelward':>14}{'baseline':>14}")
        for name, value in ours.items():
            print(f"  {name:<24}{value:>14.3f}{baseline[name]:>14.3f}")
        print()
    _print_decision_costs()


if __name__ == "__main__":
    main()
