"""Executors crash and come back as another kind; starts must fit the new one."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cell3.case import TROUBLE, run_case

# Executors of each of the two kinds.
EXECUTORS, ROOM = 4, (8_000, 65_536, 0)
JOBS_S, LOAD_S = 9.0, 30.0
# An executor that crashes is started again at once.
DOWN_S, PAUSE_S, RESTARTS = 0.2, 2.5, 10
SETTLE_S = 3.0


async def crash_in_turn(cell):
    """Crash one executor after another; each comes back as the other kind."""
    await asyncio.sleep(4.0)
    executors = list(cell.fleet.executors.values())
    for number in range(RESTARTS):
        executor = executors[number % len(executors)]
        executor.crash()
        await asyncio.sleep(DOWN_S)
        kind, rack = executor.labels
        executor.labels = ["b" if kind == "a" else "a", rack]
        cell.record(f"{executor.id} comes back as {executor.labels}")
        # It writes its entry first, and listens then.
        await executor.start()
        await asyncio.sleep(PAUSE_S)


async def load(cell, rng):
    """Hand in jobs of one task; each needs an executor of one of the kinds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LOAD_S
    calls, number = [], 0
    while loop.time() < end:
        job_id = f"{rng.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2000}
        step["requires"] = "ab"[number % 2]
        number += 1
        body = {"spec": json.dumps({"ms": 2000}), "steps": [step]}
        calls.append(asyncio.ensure_future(cell.submit(job_id, body)))
        await asyncio.sleep(1 / JOBS_S)
    await asyncio.gather(*calls)


async def run(cell, rng):
    await cell.open(
        (f"x{n}", "ab"[n % 2], f"r{n // 4}", ROOM) for n in range(2 * EXECUTORS)
    )
    trouble = asyncio.ensure_future(crash_in_turn(cell)) if TROUBLE else None
    await load(cell, rng)
    if trouble is not None:
        await trouble
    await asyncio.sleep(SETTLE_S)
    found = [text for rule, text in cell.fleet.broken if rule == "ROUTE"]
    # The present life of the executor had told the system of its start (``born``).
    known = [text for text in found if "not told" not in text]
    cell.record(f"{len(cell.fleet.starts)} starts; {len(found)} without the label")
    cell.record(f"{len(known)} of these after the executor had told of its new life")
    cell.record(f"other rules: {[b for b in cell.fleet.broken if b[0] != 'ROUTE']}")
    return bool(known)


if __name__ == "__main__":
    run_case(__file__, run)
