"""Many small jobs, and a rack of executors that crash as the traffic ends."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from cell2.cluster import run_case

RACKS, RACK_SIZE, CPU = 3, 8, 16_000
JOBS, SUBMIT_EACH_S = 360, 0.05
STEP = {
    "count": 1,
    "cpu": 500,
    "mem_mb": 256,
    "estimate_ms": 3_000,
    "checkpoints": True,
}
# No job ends within the case.
RUN_S = 110.0
SETTLED_S = 3.0
DOWN_S = 4.5
# The site's finish_s: jobs are judged so long after the end of the traffic.
FINISH_S = 14.0
IDLE_S = 3.0
JUDGED_S = 20.0
CHECK_S = 0.25


class Judge:
    """Knows the runs of each job, and since when jobs have had none."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.running = Counter()
        self.accepted = set()
        self.idle_since = {}

    def on_event(self, kind, executor, task, run, how):
        rack = executor.labels[1]
        self.cluster.record(kind, executor.id, rack, task, f"run {run}", how)
        self.running[task.partition(".")[0]] += 1 if kind == "start" else -1

    async def submit(self):
        self.accepted.add(await self.cluster.submit([STEP]))

    def jobs_idle_too_long(self, now):
        """Return the jobs with nothing running for IDLE_S, if half is free."""
        for job_id in self.accepted:
            if self.running[job_id]:
                self.idle_since.pop(job_id, None)
            else:
                self.idle_since.setdefault(job_id, now)
        used = sum(self.running.values()) * STEP["cpu"]
        total = sum(e.cpu for e in self.cluster.executors if e.is_up)
        idle = len(self.idle_since)
        self.cluster.record(idle, "jobs have nothing running;", used, "of", total)
        if 2 * used >= total:
            return []
        return [i for i, since in self.idle_since.items() if now - since >= IDLE_S]


async def crash_fullest_rack(cluster):
    """Crash all executors of the rack with the most runs, for DOWN_S."""
    runs = Counter()
    for executor in cluster.executors:
        runs[executor.labels[1]] += len(executor.running)
    rack = max(runs, key=runs.get)
    members = [e for e in cluster.executors if e.labels[1] == rack]
    cluster.record("crash of", rack, "with", runs[rack], "of", runs.total(), "runs")
    for executor in members:
        executor.crash()
    await asyncio.sleep(DOWN_S)
    for executor in members:
        executor.boot()
    cluster.record(rack, "is back")


async def case(cluster, trouble):
    loop, judge = asyncio.get_running_loop(), Judge(cluster)
    labels = [["a", f"r{n // RACK_SIZE}"] for n in range(RACKS * RACK_SIZE)]
    await cluster.start(labels, lambda task: RUN_S, judge.on_event, cpu=CPU)
    submissions = []
    for _ in range(JOBS):
        submissions.append(loop.create_task(judge.submit()))
        await asyncio.sleep(SUBMIT_EACH_S * random.uniform(0.5, 1.5))
    await asyncio.gather(*submissions)
    await asyncio.sleep(SETTLED_S)
    cluster.record("end of the traffic")
    ended_at = loop.time()
    if trouble:
        await crash_fullest_rack(cluster)
    while loop.time() < ended_at + FINISH_S + JUDGED_S:
        await asyncio.sleep(CHECK_S)
        late = judge.jobs_idle_too_long(loop.time())
        is_judged = loop.time() >= ended_at + FINISH_S + IDLE_S
        if late and is_judged and not cluster.broken:
            cluster.fail(len(late), "jobs had nothing running for 3 s, as", late[0])


run_case(case, __file__)
