"""Case 6: a gang that does not fit beside tasks that last holds up all other work.

A job with tasks that last uses a little under half of the memory of each executor. A
gang comes, whose members need a little over half of an executor each, and then small
jobs of a queue with a lower priority. They have to run: the gang does not, and over
half of all room is free.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BROKEN, HELD, main  # noqa: E402

from standins.cell import ROUTE  # noqa: E402

WORKERS = 8
HIGH = {**ROUTE, "name": "high", "path_prefix": "/high/", "priority": 1}
LOW = {**ROUTE, "name": "low", "path_prefix": "/low/", "priority": 2}
LASTING, GANG = "1" * 16, "2" * 16
SMALL = [f"c{number:015x}" for number in range(5)]
# How long the small jobs are watched; the rule allows 3 s.
WATCH_S = 45.0
EXECUTOR_MB, LASTING_MB, GANG_MB = 65_536, 16_000, 34_000


def one_step(**fields):
    """Return the body of a job of one step."""
    return {"spec": "review", "steps": [fields]}


def play(site, with_trouble):
    """Return HELD or BROKEN."""
    site.cell.configure(2, [ROUTE, HIGH, LOW])
    site.pause(2.0)
    lasting = one_step(
        count=2 * WORKERS,
        cpu=500,
        mem_mb=LASTING_MB,
        runs_forever=True,
        anti_affinity=2,
    )
    site.ask(site.nodes[0], "POST", LASTING, lasting, route=HIGH)
    site.wait(
        lambda: len(site.running_on(LASTING)) == 2 * WORKERS, "the lasting job", 20.0
    )
    site.cell.run_s = 0.5
    if with_trouble:
        gang = one_step(
            count=WORKERS, cpu=9_000, mem_mb=GANG_MB, gang=True, estimate_ms=4_200
        )
        site.ask(site.nodes[0], "POST", GANG, gang, route=HIGH)
        site.pause(1.0)
    small = one_step(count=1, cpu=1_000, mem_mb=256, estimate_ms=500)
    for job_id in SMALL:
        site.ask(site.nodes[1], "POST", job_id, small, route=LOW)
    began_at = time.monotonic()
    while time.monotonic() - began_at < WATCH_S:
        site.pause(1.0)
        if not waiting_jobs(site):
            break
    return judge(site, time.monotonic() - began_at)


def waiting_jobs(site):
    """Return the small jobs of which no task has started."""
    started = {task.partition(".")[0] for _, task, _ in site.cell.starts}
    return [job_id for job_id in SMALL if job_id not in started]


def judge(site, waited_s):
    """Return BROKEN if small jobs have had nothing running, with room for them."""
    waiting = waiting_jobs(site)
    for job_id in waiting:
        status, body = site.ask(site.nodes[0], "GET", job_id, route=LOW)
        site.note(f"LOST: {job_id} waits for {waited_s:.0f} s: {status} {body}")
    at_work = len(site.running_on(LASTING))
    used = at_work * LASTING_MB / (WORKERS * EXECUTOR_MB)
    site.note(f"{len(waiting)} of {len(SMALL)} jobs wait; memory in use: {used:.3f}")
    return BROKEN if waiting else HELD


if __name__ == "__main__":
    raise SystemExit(main(FOLDER, play, nodes=2, workers=WORKERS))
