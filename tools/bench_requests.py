"""Replays request traces through the request core and the baseline; prints tables.

Executors, the table and the network between entries are a heap of future events in
virtual time. Run as ``python -m tools.bench_requests``.
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

SAME_DOMAIN_S = 0.0005
BETWEEN_REGIONS_S = 0.008
TABLE_S = 0.005
# The shell waits at least this long between ticks.
SHELL_TICK_S = 0.01
# Entries agree on their views and claim executors before the first arrival.
WARM_UP_S = 8.0
DRAIN_S = 60.0


class Entry:
    """One router process of the replay."""

    def __init__(self, name, domain, state):
        self.name = name
        self.domain = domain
        self.state = state


class Simulation:
    """State of a replay; ``now`` is virtual seconds."""

    def __init__(self, trace, clock):
        self.trace = trace
        self.clock = clock
        self.now = -WARM_UP_S
        self.events = []
        self.order = itertools.count()
        self.rng = random.Random(0)
        self.entries = {}
        self.by_domain = {}
        self.rows = {}
        self.busy = {}
        self.region_of = {
            domain: region
            for region, names in trace.regions.items()
            for domain in names
        }
        self.started = [None] * len(trace.arrivals)
        self.ended = [None] * len(trace.arrivals)
        # Request id to the entry that forwarded it.
        self.origin = {}
        self.cross_region_kb = 0.0
        self.decisions = 0
        self.messages = 0
        self.control_s = 0.0


def _at(sim, delay_s, function, *args):
    heapq.heappush(sim.events, (sim.now + delay_s, next(sim.order), function, args))


def _objects(trace):
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


def _instances(trace, region_of):
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
    domains = list(sim.region_of)
    instances = _instances(sim.trace, sim.region_of)
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
        sim.by_domain.setdefault(domain, []).append(entry)
        _call(sim, entry, router.update_config, 1, _objects(sim.trace))
        _call(sim, entry, router.update_members, instances)
        _tick(sim, entry)


def _tick(sim, entry):
    _call(sim, entry, router.tick)
    due_s = max(SHELL_TICK_S, router.next_wakeup(entry.state) - sim.now)
    _at(sim, min(ENTRY_DEFAULTS["tick_s"], due_s), _tick, sim, entry)


def _call(sim, entry, event, *args):
    begin = sim.clock()
    result = event(entry.state, sim.now, *args)
    if _is_loaded(sim):
        sim.control_s += sim.clock() - begin
    if event is router.complete:
        retried, result = result
        if not retried:
            _settle(sim, entry, *args)
    for effect in result:
        _EFFECTS[type(effect)](sim, entry, effect)


def _is_loaded(sim):
    """Return whether the trace runs: idle time before and after has no requests."""
    return 0 <= sim.now <= sim.trace.arrivals[-1].at


def _settle(sim, entry, request_id, outcome):
    """Answer the caller, or the entry that forwarded the request."""
    origin = sim.origin.get(request_id)
    if origin is not None and origin is not entry:
        delay_s = BETWEEN_REGIONS_S
        args = sim, origin, router.complete, request_id, outcome
        _at(sim, delay_s, _call, *args)
    elif outcome.verdict is Verdict.RAN:
        sim.ended[int(request_id)] = sim.now


def _on_dispatch(sim, entry, effect):
    index = int(effect.request_id)
    sim.decisions += 1
    sim.busy[effect.executor] += 1
    if sim.busy[effect.executor] > sim.trace.slots:
        raise RuntimeError(f"{effect.executor} has more requests than slots")
    sim.started[index] = sim.now
    run_s = sim.trace.arrivals[index].run_s
    _at(sim, run_s, _finish, sim, entry, effect, run_s)


def _finish(sim, entry, effect, run_s):
    sim.busy[effect.executor] -= 1
    outcome = router.Outcome(Verdict.RAN, run_s=run_s)
    _call(sim, entry, router.complete, effect.request_id, outcome)


def _on_refuse(sim, entry, effect):
    sim.decisions += 1
    _settle(sim, entry, effect.request_id, router.Outcome(Verdict.NOT_RUN))


def _on_forward(sim, entry, effect):
    sim.decisions += 1
    index = int(effect.request_id)
    sim.origin[effect.request_id] = entry
    if sim.region_of[entry.domain] != sim.region_of[effect.failure_domain]:
        sim.cross_region_kb += sim.trace.arrivals[index].size_kb
    target = sim.rng.choice(sim.by_domain[effect.failure_domain])
    _at(sim, BETWEEN_REGIONS_S, _submit, sim, target, index, True)


def _on_send(sim, entry, effect):
    sim.messages += _is_loaded(sim)
    envelope = Envelope(entry.name, 1, effect.message)
    target = sim.entries[effect.address]
    _at(sim, SAME_DOMAIN_S, _call, sim, target, router.receive, envelope)


def _on_read(sim, entry, effect):
    row = sim.rows.get(entry.domain, Row(entry.domain, None, 0))
    _at(sim, TABLE_S, _call, sim, entry, router.handle_view_read, sim.now, row)


def _on_write(sim, entry, effect):
    row = sim.rows.get(entry.domain, Row(entry.domain, None, 0))
    result = Conflict({entry.domain: row.version})
    if effect.expected_version == row.version:
        result = row.version + 1
        sim.rows[entry.domain] = Row(entry.domain, effect.value, result)
    _at(sim, TABLE_S, _call, sim, entry, router.handle_view_written, sim.now, result)


def _on_probe(sim, entry, effect):
    report = {"state": "live", "in_flight": sim.busy[effect.executor]}
    args = effect.executor, sim.now, report
    _at(sim, SAME_DOMAIN_S, _call, sim, entry, router.handle_health_report, *args)


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
    arrival = sim.trace.arrivals[index]
    deadline = arrival.at + arrival.deadline_s
    request = router.Request(
        str(index), sim.trace.service, arrival.operation, deadline, False, forwarded
    )
    _call(sim, entry, router.submit, request)


def replay_router(trace, clock=time.perf_counter):
    """Replay a trace through the entries' request cores; returns a Replay."""
    sim = Simulation(trace, clock)
    _start_entries(sim)
    for index, arrival in enumerate(trace.arrivals):
        entry = sim.rng.choice(sim.by_domain[arrival.failure_domain])
        _at(sim, arrival.at - sim.now, _submit, sim, entry, index)
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


def _wait_ms(trace, replay, operations=None):
    """Return the p50 and p99 of the wait before start, in milliseconds."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for arrival, started in zip(trace.arrivals, replay.started, strict=True):
        if started is None or (operations and arrival.operation not in operations):
            continue
        histogram.record_value(max(1, round((started - arrival.at) * 1e6)))
    return [histogram.get_value_at_percentile(p) / 1e3 for p in (50, 99)]


def _within_deadline(trace, replay):
    """Return the share of the crest's arrivals answered within their deadline."""
    total = met = 0
    for arrival, ended in zip(trace.arrivals, replay.ended, strict=True):
        if trace.load_peak[0] <= arrival.at < trace.load_peak[1]:
            total += 1
            met += ended is not None and ended <= arrival.at + arrival.deadline_s
    return met / total


def figures(trace, replay):
    """Return the figures of one replay by name."""
    wait = _wait_ms(trace, replay)
    short = _wait_ms(trace, replay, trace.short)
    decisions = max(replay.decisions, 1)
    return {
        "wait p50 ms": wait[0],
        "wait p99 ms": wait[1],
        "short wait p50 ms": short[0],
        "short wait p99 ms": short[1],
        "in deadline at crest": _within_deadline(trace, replay),
        "answered": sum(ended is not None for ended in replay.ended),
        "between regions MB": replay.cross_region_kb / 1e3,
        "executors examined": replay.examined / decisions,
        "messages a request": replay.messages / len(trace.arrivals),
        "control us a request": replay.control_s / len(trace.arrivals) * 1e6,
    }


def decision_cost(executors, requests=2_000):
    """Return what a routing decision of one entry costs with that many executors.

    Three quarters of the slots are busy. ``calls`` counts function calls of a submit
    with its dispatch, ``examined`` executors looked at; both are means. ``p50 us`` and
    ``p99 us`` are of a second pass without the counting.
    """
    never = [Arrival(0.0, "r", "op", 0.0, 0.0, 0.0)]
    trace = Trace("cost", "s", {"r": ["r"]}, executors, 8, 1, {}, (0, 0), (), never)
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
    request = router.Request(str(index), "s", "op", now + 60)
    effects = router.submit(state, now, request)
    if type(effects[0]) is not router.Dispatch:
        raise RuntimeError(f"expected a Dispatch, got {effects[0]}")


def _print_costs():
    costs = {executors: decision_cost(executors) for executors in (24, 192, 820)}
    print("one routing decision, by executors of one entry")
    print(f"  {'':<24}" + "".join(f"{executors:>14}" for executors in costs))
    for name in next(iter(costs.values())):
        values = "".join(f"{cost[name]:>14.3f}" for cost in costs.values())
        print(f"  {name:<24}{values}")


def main():
    """Print one table for each trace, and the cost of a routing decision."""
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
    _print_costs()


if __name__ == "__main__":
    main()
