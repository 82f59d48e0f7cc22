"""Synthetic task traces modelled on the first two users, generated from a seed.

A trace holds the jobs that entries submit and, separately, the actual run time and
resource usage of each task. A scheduler learns the latter only from a worker's reports.
"""

import math
import random
from typing import Any, NamedTuple

__all__ = ["TRACES", "Trace", "burst_records", "misdeclared", "route_rebuild"]
__all__ += ["month_end"]


class Trace(NamedTuple):
    """The workers, configuration objects and jobs of one failure domain.

    ``jobs`` are ``(submitted_at, class, record)`` in order of time. ``runs`` maps task
    names to ``(run_s, used)``. The replay ends at ``until_s``.
    """

    name: str
    workers: int
    capacity: dict
    objects: list
    jobs: list
    runs: dict
    until_s: float


class _Builder:
    """Collects the jobs of a trace."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.jobs = []
        self.runs = {}

    def add(self, at, cls, workload, team, tasks, demand, run, **fields):
        """Add a job of class ``cls`` with ``tasks`` tasks, submitted at ``at``.

        ``run()`` returns the actual run time of a task in seconds. The fields may be
        ``type`` (``batch`` by default) and ``factor``, the spread of the actual usage.
        """
        job_id = f"fd.{cls}{len(self.jobs)}"
        names = [f"{job_id}.{number}" for number in range(tasks)]
        for name in names:
            self.runs[name] = (run(), self._usage(demand, fields.get("factor", 0.0)))
        record = {
            "id": job_id,
            "key": None,
            "workload": workload,
            "type": fields.get("type", "batch"),
            "team": team,
            "state": "queued",
            "reason": "",
            "verdict": None,
            "tasks": [
                {"task": name, "state": "queued", "attempt": 0, "epoch": 0}
                for name in names
            ],
            "demand": demand,
            "run": {},
            "submitted_ms": 0,
            "nonce": "",
        }
        self.jobs.append((at, cls, record))

    def _usage(self, demand, spread):
        """Return the actual usage of a task: its declared size times a random factor.

        The factor is lognormal; ``spread`` is the standard deviation of its logarithm.
        A task with an empty usage counts as using exactly its declared size.
        """
        if not spread:
            return {}
        factor = math.exp(self.rng.gauss(0.0, spread))
        cpu = min(demand["cpu"] * factor, 8 * demand["cpu"])
        memory = min(demand["memory_mb"] * factor, 4 * demand["memory_mb"])
        return {"cpu": round(cpu, 2), "memory_mb": round(memory)}

    def lognormal(self, median_s, sigma, straggler_share=0.0, straggler_factor=20.0):
        """Return a sampler of lognormal run times in seconds.

        A share ``straggler_share`` of the samples is multiplied by
        ``straggler_factor``.
        """

        def sample():
            run_s = median_s * math.exp(self.rng.gauss(0.0, sigma))
            if self.rng.random() < straggler_share:
                run_s *= straggler_factor
            return run_s

        return sample


def _demand(cpu, memory_mb):
    return {"cpu": cpu, "memory_mb": memory_mb, "accelerators": 0}


def _objects(workloads):
    objects = [
        {"kind": "workload", "name": name, "policy": policy, "type": kind}
        for name, policy, kind in workloads
    ]
    policies = sorted({(policy, kind) for _, policy, kind in workloads})
    for policy, kind in policies:
        urgent = policy == "urgent"
        objects.append(
            {"kind": "policy", "name": policy, "type": kind, "urgent": urgent}
        )
    return objects


def route_rebuild(seed=1):
    """Generate Laurentides' overnight route rebuild.

    Two gangs rebuild the routes while services run and batch jobs of the manifests,
    quotes and billing teams arrive.
    """
    build = _Builder(seed)
    rng = build.rng
    for number in range(6):
        demand = _demand(2, 4_000)
        build.add(
            number * 0.1, "service", "api", "web", 4, demand, lambda: math.inf,
            type="service",
        )  # fmt: skip
    short_run = build.lognormal(20.0, 0.6, 0.02)
    at = 5.0
    while at < 1_500:
        at += rng.expovariate(0.9)
        demand = _demand(rng.choice([1, 1, 2, 4]), rng.choice([1_000, 2_000, 6_000]))
        team = rng.choice(["manifests", "quotes", "billing"])
        tasks = rng.randrange(1, 5)
        build.add(at, "batch", f"batch-{team}", team, tasks, demand, short_run)
    rebuild_run = build.lognormal(240.0, 0.1)
    for at in (400.0, 1_000.0):
        demand = _demand(4, 3_000)
        build.add(at, "gang", "rebuild", "routes", 32, demand, rebuild_run, type="gang")
    workloads = [("api", "services", "service"), ("rebuild", "gangs", "gang")]
    workloads += [(f"batch-{t}", "batch", "batch") for t in ("manifests", "quotes")]
    workloads.append(("batch-billing", "batch", "batch"))
    return _trace("route rebuild", build, 8, _demand(32, 64_000), workloads, 2_400)


def month_end(seed=2):
    """Generate Shahidi's month-end reconciliation.

    It has stragglers, and runs while short bundles and urgent jobs arrive.
    """
    build = _Builder(seed)
    rng = build.rng
    long_run = build.lognormal(60.0, 0.7, 0.04)
    for number in range(24):
        at = 60.0 + number * 10.0
        demand = _demand(rng.choice([1, 2]), 2_000)
        build.add(at, "long", "reconcile", "ledger", 40, demand, long_run)
    short_run = build.lognormal(2.0, 0.4)
    at = 0.0
    while at < 1_500:
        at += rng.expovariate(2.0)
        build.add(at, "short", "bundle", "witness", 1, _demand(1, 500), short_run)
    for number in range(12):
        at = 120.0 + number * 90.0
        demand = _demand(4, 2_000)
        build.add(at, "urgent", "slots", "visits", 2, demand, short_run)
    workloads = [
        ("reconcile", "batch", "batch"),
        ("bundle", "batch", "batch"),
        ("slots", "urgent", "batch"),
    ]
    return _trace("month end", build, 8, _demand(16, 32_000), workloads, 3_000)


def misdeclared(seed=3):
    """Generate jobs with wrongly declared sizes and widely varying run times.

    The workers have the same capacity as those of ``route_rebuild``.
    """
    build = _Builder(seed)
    rng = build.rng
    at = 1.0
    teams = [f"team{number}" for number in range(20)]
    runs = [build.lognormal(median, 1.2, 0.03) for median in (3.0, 15.0, 60.0)]
    while at < 1_200:
        at += rng.expovariate(1.2)
        number = rng.randrange(3)
        cpu = rng.choice([0.5, 1, 2, 4, 8])
        demand = _demand(cpu, int(cpu * rng.choice([800, 1_600, 3_000])))
        tasks = rng.randrange(1, 4)
        build.add(
            at, ("short", "middle", "long")[number], f"load{number}",
            rng.choice(teams), tasks, demand, runs[number], factor=0.6,
        )  # fmt: skip
    workloads = [(f"load{number}", "batch", "batch") for number in range(3)]
    return _trace("misdeclared", build, 8, _demand(32, 64_000), workloads, 2_400)


def _trace(name, build, workers, capacity, workloads, until_s):
    jobs = sorted(build.jobs, key=lambda job: job[0])
    objects = _objects(workloads)
    return Trace(name, workers, capacity, objects, jobs, build.runs, until_s)


def burst_records(seed=4, count=700) -> list[Any]:
    """Return ``count`` batch job records of mixed sizes, all submitted at once."""
    build = _Builder(seed)
    rng = build.rng
    for _ in range(count):
        cpu = rng.choice([1, 1, 2, 2, 3, 4, 6, 8, 12])
        demand = _demand(cpu, int(cpu * rng.choice([500, 1_500, 2_500, 3_500])))
        team = f"team{rng.randrange(20)}"
        build.add(0.0, "batch", "load0", team, rng.randrange(1, 5), demand, lambda: 1.0)
    return [record for _, _, record in build.jobs]


TRACES = (route_rebuild, month_end, misdeclared)
