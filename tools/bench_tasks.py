"""Benchmark of the task core against first fit in order of arrival.

Run as ``python -m tools.bench_tasks``. Each trace is replayed in virtual time by both
policies, and their waits and costs are printed. Waits are virtual time; decision times
are measured on the machine that runs the benchmark.
"""

import argparse
import math
import random
from time import perf_counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from cornelward.capacity import (
    Resources,
    Worker,
    WorkerTable,
    add_allocation,
    release_allocations,
    to_resources,
    update_indexes,
)
from cornelward.formatting import format_table
from cornelward.placement import best_fit, spread_fit
from tools.task_baselines import replay_first_fit
from tools.task_model import ModelWorker
from tools.task_replay import Replay
from tools.task_traces import TRACES, burst_records

__all__ = [
    "Measurements",
    "decision_cost",
    "measure_baseline",
    "measure_core",
    "measure_packing",
]

SAMPLE_INTERVAL_S = 5.0
# Waits are recorded from 1 ms to a day.
MAX_WAIT_MS = 86_400_000


class Measurements(NamedTuple):
    """Measurements of one policy on one trace.

    ``waits`` maps classes to histograms of the wait in milliseconds, ``unstarted`` maps
    them to the number of tasks that never started; these count as waiting until the
    end of the trace. ``busy`` is the mean share of the processors in use by declared
    size while tasks waited. ``over_capacity`` is the mean actual use beyond the
    capacity of the workers, as a share of that capacity. ``event_times_us`` is a
    histogram of the time of one event in microseconds. ``operations`` counts decisions
    and examined workers and, for the core, table operations, calls and preemptions.
    """

    waits: dict
    unstarted: dict
    busy: float
    over_capacity: float
    event_times_us: HdrHistogram
    operations: dict


class _Recorder:
    """Collects the measurements of a replay."""

    def __init__(self, trace):
        self.trace = trace
        self.waits = {}
        self.started = {}
        self.busy = []
        self.over = []
        self.event_times_us = HdrHistogram(1, 60_000_000, 2)

    def start(self, now, task, cls, submitted_at):
        if task not in self.started:
            self.started[task] = now
            self.wait(cls, now - submitted_at)

    def wait(self, cls, wait_s):
        hist = self.waits.setdefault(cls, HdrHistogram(1, MAX_WAIT_MS, 3))
        hist.record_value(min(max(int(wait_s * 1000), 1), MAX_WAIT_MS))

    def sample(self, used, actual_cpu, waiting):
        """Record the declared and the actual processors in use by worker.

        ``waiting`` is 0 if no task waits.
        """
        limit = self.trace.capacity["cpu"]
        if waiting:
            self.busy.append(sum(used) / (limit * len(used)))
        self.over.append(
            sum(max(use - limit, 0) for use in actual_cpu) / (limit * len(actual_cpu))
        )

    def call(self, seconds):
        self.event_times_us.record_value(max(int(seconds * 1e6), 1))

    def figures(self, operations):
        """Return the Measurements; tasks that never started wait until the end."""
        unstarted = {}
        for at, cls, record in self.trace.jobs:
            for item in record["tasks"]:
                if item["task"] not in self.started:
                    unstarted[cls] = unstarted.get(cls, 0) + 1
                    self.wait(cls, self.trace.until_s - at)
        busy = sum(self.busy) / len(self.busy) if self.busy else math.nan
        over = sum(self.over) / len(self.over) if self.over else math.nan
        return Measurements(
            self.waits, unstarted, busy, over, self.event_times_us, operations
        )


def measure_baseline(trace):
    """Replay ``trace`` with first fit in order of arrival; returns Measurements."""
    rec = _Recorder(trace)
    decisions, examined = replay_first_fit(
        trace, rec.start, rec.sample, rec.call, SAMPLE_INTERVAL_S
    )
    return rec.figures({"decisions": decisions, "examined": examined})


def make_replay(trace, seed=0):
    """Return a Replay with the workers and objects of ``trace`` and one scheduler."""
    workers = [
        ModelWorker(f"w{n:03}", f"rack{n // 8}", trace.capacity)
        for n in range(trace.workers)
    ]

    def run_task(worker, task, attempt, body):
        run_s, used = trace.runs[task]
        return run_s, True, used

    replay = Replay(workers, run_task, seed=seed)
    replay.objects, replay.version = trace.objects, 1
    replay.add_scheduler("s1")
    return replay


def measure_core(trace, lead_s=5.0):
    """Replay ``trace`` with the task core; returns Measurements.

    The scheduler starts ``lead_s`` seconds before the trace.
    """
    rec = _Recorder(trace)
    replay = make_replay(trace)
    jobs = {}
    for at, cls, record in trace.jobs:
        for item in record["tasks"]:
            jobs[item["task"]] = (at + lead_s, cls)
        replay.at(at + lead_s, lambda record=record: replay.submit(record))
    replay.on_start = lambda now, worker, task, attempt, body: rec.start(
        now, task, jobs[task][1], jobs[task][0]
    )

    def timed(function, *args):
        started_at = perf_counter()
        effects = function(*args)
        rec.call(perf_counter() - started_at)
        return effects

    replay.timed = timed
    state = replay.cores["s1"]

    def sample():
        runs = [list(worker.running.values()) for worker in replay.workers.values()]
        used = [
            sum(run["demand"]["cpu"] for run in worker_runs) for worker_runs in runs
        ]
        actual_cpu = [
            sum(run["used"].get("cpu", run["demand"]["cpu"]) for run in worker_runs)
            for worker_runs in runs
        ]
        waiting = sum(len(job.waiting) for job in state.jobs.by_id.values())
        rec.sample(used, actual_cpu, waiting)
        replay.at(replay.now + SAMPLE_INTERVAL_S, sample)

    replay.at(lead_s, sample)
    replay.run(lead_s + trace.until_s)
    operations = {
        "decisions": state.stats["decisions"],
        "examined": state.workers.examined,
        "table": replay.table.operations,
        "calls": replay.calls,
        "preemptions": state.stats["preemptions"],
    }
    return rec.figures(operations)


def measure_packing(seed=4, jobs=700):
    """Submit a burst of batch jobs to idle workers.

    Returns (workers in use, lower bound). The lower bound is the total demand divided
    by the capacity of a worker, for the resource that needs the most workers. Raises
    RuntimeError if some tasks have not started after 55 s.
    """
    records = burst_records(seed, jobs)
    capacity = {"cpu": 32, "memory_mb": 64_000, "accelerators": 0}
    need = [0.0, 0.0]
    for record in records:
        need[0] += len(record["tasks"]) * record["demand"]["cpu"]
        need[1] += len(record["tasks"]) * record["demand"]["memory_mb"]
    bound = math.ceil(max(need[0] / 32, need[1] / 64_000))
    model_workers = [
        ModelWorker(f"w{n:03}", f"rack{n // 8}", capacity) for n in range(2 * bound)
    ]
    replay = Replay(model_workers, lambda *args: (math.inf, True, {}))
    replay.objects, replay.version = [], 1
    replay.add_scheduler("s1")
    replay.at(5.0, lambda: [replay.submit(record) for record in records])
    replay.run(60.0)
    running = sum(len(worker.running) for worker in model_workers)
    if running != sum(len(record["tasks"]) for record in records):
        raise RuntimeError(f"only {running} tasks of the burst were running after 55 s")
    return sum(bool(worker.running) for worker in model_workers), bound


def decision_cost(workers=820, tasks=9_200, decisions=4_000, seed=5):
    """Replace tasks one at a time on workers that already run ``tasks`` tasks.

    Returns a histogram of the time of a decision in nanoseconds, and the largest and
    the mean number of workers examined by a decision.
    """
    rng = random.Random(seed)
    table = WorkerTable()
    for number in range(workers):
        capacity = Resources(32.0, 64_000.0, 4.0 if number % 40 == 0 else 0.0)
        worker = Worker(f"w{number:05}", "", f"rack{number // 8}", capacity)
        worker.accepts = True
        table.by_id[worker.id] = worker
        update_indexes(table, worker)
    placed = []
    hist = HdrHistogram(1, 1_000_000_000, 3)
    max_examined = total = 0
    for number in range(tasks + decisions):
        if number >= tasks:
            worker, key = placed.pop(rng.randrange(len(placed)))
            release_allocations(table, worker, [key])
        cpu = rng.choice([0.25, 0.5, 1, 1.5, 2, 3, 4, 8])
        memory = int(cpu * rng.choice([500, 1_500, 2_500]))
        demand = to_resources({"cpu": cpu, "memory_mb": memory})
        table.examined = 0
        started_at = perf_counter()
        if number % 5 == 0:
            worker = spread_fit(table, demand, lambda w: True, {"rack1": 1, "rack2": 1})
        else:
            worker = best_fit(table, demand, lambda w: True)
        if worker is not None:
            add_allocation(table, worker, (number, 1), demand)
            placed.append((worker, (number, 1)))
        if number >= tasks:
            hist.record_value(int((perf_counter() - started_at) * 1e9))
            max_examined, total = (
                max(max_examined, table.examined),
                total + table.examined,
            )
    return hist, max_examined, total / decisions


def _percentiles(hist, divisor=1000.0):
    """Return the 50th and 99th percentile, each divided by ``divisor``."""
    return [hist.get_value_at_percentile(p) / divisor for p in (50, 99)]


def _wait_rows(label, figures):
    rows = []
    for cls in sorted(figures.waits):
        p50, p99 = _percentiles(figures.waits[cls])
        count = figures.waits[cls].get_total_count()
        rows.append([label, cls, count, p50, p99, figures.unstarted.get(cls, 0)])
    return rows


def _cost_row(label, figures):
    p50, p99 = _percentiles(figures.event_times_us, 1.0)
    ops = figures.operations
    return [
        label,
        round(figures.busy, 3),
        round(figures.over_capacity, 3),
        p50,
        p99,
        ops["decisions"],
        round(ops["examined"] / max(ops["decisions"], 1), 1),
        ops.get("table", 0),
    ]


def print_trace(trace):
    """Replay a trace with both policies and print their waits and costs."""
    rows, costs = [], []
    for label, run in (("core", measure_core), ("first fit", measure_baseline)):
        figures = run(trace)
        rows += _wait_rows(label, figures)
        costs.append(_cost_row(label, figures))
    print(f"== {trace.name}: {len(trace.jobs)} jobs, {len(trace.runs)} tasks")
    headers = ["policy", "class", "tasks", "wait p50 s", "wait p99 s", "not started"]
    print(format_table(headers, rows))
    headers = ["policy", "busy", "over", "event p50 us", "event p99 us", "decisions"]
    print(format_table([*headers, "examined", "table ops"], costs))
    print()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=None)
    args = parser.parse_args()
    for make in TRACES:
        print_trace(make() if args.seed is None else make(args.seed))
    used, bound = measure_packing()
    print(f"packing of a burst: {used} workers, lower bound {bound}")
    for workers, tasks in ((820, 9_200), (6_560, 73_600)):
        hist, max_examined, mean = decision_cost(workers, tasks)
        p50, p99 = _percentiles(hist)
        print(
            f"decision at {workers} workers, {tasks} tasks: p50 {p50:.1f} us, p99 "
            f"{p99:.1f} us; workers examined: mean {mean:.2f}, max {max_examined}"
        )


if __name__ == "__main__":
    main()
