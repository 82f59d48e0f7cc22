"""A job of lasting tasks, and executors that crash one at a time."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from cell2.cluster import run_case

EXECUTORS = 8
TASKS = 2
CRASHES = 5
DOWN_S, PAUSE_S = 4.5, 4.0
# Before the first crash, and after the last one.
CALM_S, FINISH_S = 3.0, 14.0
LASTING = {
    "count": TASKS,
    "cpu": 1_000,
    "mem_mb": 256,
    "estimate_ms": 1_000,
    "runs_forever": True,
}


class Judge:
    """Notes the ends of runs, and what callers are shown."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.failed_ends = 0
        self.is_over = False

    def on_event(self, kind, executor, task, run, how):
        self.cluster.record(kind, executor.id, task, f"run {run}", how)
        self.failed_ends += how == "failed"

    async def watch(self, job_id):
        """Ask for the job's state; ``failed`` is without cause if no run has failed."""
        while not self.is_over:
            answer = await self.cluster.ask("GET", job_id)
            self.cluster.record("GET", job_id, answer)
            state = answer[1].get("state") if answer and answer[0] == 200 else None
            if state == "failed" and not self.failed_ends:
                self.cluster.fail(job_id, "is shown as failed: no run has ended failed")
                return
            await asyncio.sleep(0.5)


def _executor_of(cluster, task):
    for executor in cluster.executors:
        if any(name == task for name, _ in executor.running):
            return executor
    return None


async def case(cluster, trouble):
    judge = Judge(cluster)
    labels = [["a", f"r{number // 4}"] for number in range(EXECUTORS)]
    await cluster.start(labels, lambda task: None, judge.on_event)
    job_id = await cluster.submit([LASTING])
    watch = asyncio.ensure_future(judge.watch(job_id))
    await asyncio.sleep(CALM_S)
    for _ in range(CRASHES):
        executor = _executor_of(cluster, f"{job_id}.0.0.0") if trouble else None
        if executor is not None:
            cluster.record("crash", executor.id)
            executor.crash()
        await asyncio.sleep(DOWN_S)
        if executor is not None:
            executor.boot()
            cluster.record("back", executor.id)
        await asyncio.sleep(PAUSE_S)
        if cluster.broken:
            break
    await asyncio.sleep(FINISH_S)
    judge.is_over = True
    await watch
    at_work = sum(len(executor.running) for executor in cluster.executors)
    cluster.record("tasks at work at the end:", at_work, "of", TASKS)


run_case(case, __file__)
