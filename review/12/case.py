"""Executors crash under a scheduled job of many tasks; other jobs must run on."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cell3.case import TROUBLE, run_case

EXECUTORS, ROOM = 16, (32_000, 65_536, 0)
# A job of 40 overlapping occurrences; the tasks of the first 30 are short.
TASKS, TIMES, SHORT, SHORT_MS, LONG_MS, INTERVAL_MS = 500, 40, 30, 300, 110_000, 100
OPEN_TASKS = 5_000
JOBS_S, JOB_MS = 4.0, 300
DOWN_S, PAUSE_S, CRASHES = 0.5, 1.5, 6
FINISH_S, NOTHING_S, LIMIT_S = 14.0, 3.0, 112.0


async def hand_in_small_jobs(cell, rng, stop):
    calls = []
    while not stop.is_set():
        job_id = f"{rng.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": JOB_MS}
        body = {"spec": json.dumps({"ms": JOB_MS}), "steps": [step]}
        calls.append(asyncio.ensure_future(cell.submit(job_id, body)))
        await asyncio.sleep(1 / JOBS_S)
    await asyncio.gather(*calls)


def record_bytes(cell):
    sizes = [len(v) for k, (v, _) in cell.store.rows.items() if k[0] == "runs"]
    return max(sizes, default=0)


async def until_open(cell, job_id, limit_at):
    """Wait until the tasks of the long occurrences that may be open are at work."""
    loop = asyncio.get_running_loop()
    while loop.time() < limit_at:
        long_runs = sum(
            r.task.startswith(job_id) and r.work_ms() == LONG_MS
            for _, r in cell.fleet.running()
        )
        if long_runs >= 0.9 * OPEN_TASKS:
            return
        await asyncio.sleep(0.5)


def unhurt(executor):
    """Return how many runs met no crash before, less those that did."""
    met = executor.fleet.met_crash
    return sum(-1 if run.task in met else 1 for run in executor.runs.values())


async def crash_in_turn(cell, limit_at):
    """Crash executors one after another, those with most runs that met no crash before.

    The system fails a job by the fourth crash under one of its tasks.
    """
    loop = asyncio.get_running_loop()
    for _ in range(CRASHES):
        if loop.time() > limit_at:
            return
        executor = max(cell.fleet.executors.values(), key=unhurt)
        executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.start()
        await asyncio.sleep(PAUSE_S)
        size, refused = record_bytes(cell), cell.store.refused
        cell.record(f"largest record {size} bytes, {refused} transactions refused")


def idle(cell, small):
    """Return the accepted small jobs that have neither ended nor a run."""
    at_work = {run.task[:16] for _, run in cell.fleet.running()}
    done = {task[:16] for task, ends in cell.fleet.ends.items() if ends}
    return {job for job in small if job not in at_work and job not in done}


async def run(cell, rng):
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await cell.open(
        (f"srv-{rng.getrandbits(40):010x}", "ab"[n % 2], f"r{n // 8}", ROOM)
        for n in range(EXECUTORS)
    )
    job_id = f"{rng.getrandbits(64):016x}"
    spec = {"ms": LONG_MS, "short": SHORT, "short_ms": SHORT_MS}
    step = {"count": TASKS, "cpu": 30, "mem_mb": 5, "estimate_ms": 60_000}
    body = {"spec": json.dumps(spec), "times": TIMES, "steps": [step]}
    body |= {"start_at_ms": int(time.time() * 1000), "interval_ms": INTERVAL_MS}
    if not await cell.submit(job_id, body):
        raise OSError("the job was not accepted")
    stop = asyncio.Event()
    small_jobs = asyncio.ensure_future(hand_in_small_jobs(cell, rng, stop))
    await until_open(cell, job_id, began_at + 55.0)
    cell.record(f"{len(cell.fleet.starts)} starts, record {record_bytes(cell)} bytes")
    last_at = began_at + LIMIT_S - FINISH_S - NOTHING_S - 4.0
    if TROUBLE:
        await crash_in_turn(cell, last_at)
    await asyncio.sleep(max(0.0, min(10.0, last_at - loop.time())))
    stop.set()
    await small_jobs
    small = [j for j, s in cell.statuses.items() if 200 in s and j != job_id]
    await asyncio.sleep(FINISH_S)
    found = idle(cell, small)
    for _ in range(30):
        await asyncio.sleep(NOTHING_S / 30)
        found &= idle(cell, small)
    used = sum(e.used()[0] for e in cell.fleet.executors.values() if e.up)
    cell.record(f"{used} of {EXECUTORS * ROOM[0]} of the processors are in use")
    cell.record(f"{len(small)} small jobs accepted; {len(found)} have nothing running")
    states = [await cell.state(j) for j in sorted(found)[:5]]
    cell.record(f"the states of the first of these: {states}")
    cell.record(f"largest record {record_bytes(cell)}, {cell.store.refused} refused")
    cell.record(f"other rules: {cell.fleet.broken[:3]}")
    return bool(found)


if __name__ == "__main__":
    run_case(__file__, run)
