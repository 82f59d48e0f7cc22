"""Gangs of the soak test that fail, faults beside their ends, and their check.

Beside the ends of a run the leader's process may be replaced, the worker of a member
may crash or be cut off until the gang's next run has begun, and a rack may be lost.
"""

import random
import signal

from cornelward.leadership import decode_row

from . import soak_keys
from .soak_faults import restart

__all__ = ["FailingGangs", "check_attempts", "submit_failing_gang"]

# Between the submissions of gangs that fail.
INTERVAL_S = 2.5
# Paths of the queues that allow one, two and three attempts.
PATHS = ("once", "twice", "jobs")
# A job may be shown as failed after so many crashes of workers under one of its tasks.
CRASHES_TO_FAIL = 2
# How long a worker is cut off at most; its lease of 6 s ends before.
CUT_MAX_S = 10.0
POLL_S = 0.05
# How long after the first end of a run a fault may come.
DELAY_S = 0.15
BACK_S = (0.5, 4.0)


class FailingGangs:
    """Gangs whose runs fail, drawn apart from the other jobs and faults of a seed.

    ``ids`` are those of their jobs, ``queues`` maps them to the paths of their queues.
    """

    def __init__(self, seed):
        self.rng = random.Random(f"gangs {seed}")
        self.fault_rng = random.Random(f"gang faults {seed}")
        self.ids = set()
        self.queues = {}
        # Crashes come once, as more of them end other jobs.
        self.crashes = [_crash_worker, _crash_rack]


def submit_failing_gang(soak):
    """Submit a gang whose runs fail, and others at intervals."""
    if soak.is_load_over:
        return
    gangs, rng = soak.gangs, soak.gangs.rng
    job_id = f"{rng.getrandbits(64):016x}"
    step = {"count": rng.randint(2, 6), "cpu": 500, "mem_mb": 64, "gang": True}
    gangs.ids.add(job_id)
    gangs.queues[job_id] = gangs.fault_rng.choice(PATHS)
    soak.cell.gangs.scripts[job_id] = lambda attempt, members: _fail(soak, members)
    soak.submit_doomed_job(job_id, step, rng.choice(soak_keys.CHOICES))
    soak.loop.call_later(INTERVAL_S, lambda: submit_failing_gang(soak))


def _fail(soak, members):
    """Let a run fail, and begin a fault beside its ends."""
    rng = soak.gangs.fault_rng
    if not soak.is_load_over:
        faults = rng.choice([[], [_replace_leader], [_cut], [_cut, _replace_leader]])
        if not faults and soak.gangs.crashes:
            faults = [soak.gangs.crashes.pop(rng.randrange(len(soak.gangs.crashes)))]
        for fault in faults:
            soak.record_event(f"{fault.__name__[1:]} as {members[0][1][0][:16]} fails")
            fault(soak, rng, members)
    soak.cell.gangs.fail_members(members)


def _replace_leader(soak, rng, members):
    signo = rng.choice((signal.SIGKILL, signal.SIGTERM))
    back_s = rng.uniform(0.2, 3.0)

    def replace():
        value, _ = soak.cell.store.rows.get(("leader", "", "main"), (None, 0))
        row = decode_row(value) if value is not None else None
        nodes = [n for n in soak.nodes if row is not None and n.name == row.node]
        if soak.is_load_over or not nodes:
            return
        nodes[0].exit_expected = True
        nodes[0].signal(signo)
        soak.loop.call_later(back_s, lambda: restart(soak, nodes[0]))

    soak.loop.call_later(rng.uniform(0.0, DELAY_S), replace)


def _cut(soak, rng, members):
    """Cut a member's worker off until the gang's next run has begun."""
    worker, (name, attempt) = rng.choice(members)
    worker.silent = True
    step_name, ends_at = name.rpartition(".")[0], soak.loop.now() + CUT_MAX_S

    def has_next():
        begun = soak.cell.gangs.begun
        return any(step == step_name and run > attempt for step, run in begun)

    def look():
        if has_next() or soak.is_load_over or soak.loop.now() > ends_at:
            worker.silent = False
        else:
            soak.loop.call_later(POLL_S, look)

    look()


def _crash_worker(soak, rng, members):
    worker, _ = rng.choice(members)
    worker.crash(rng.uniform(*BACK_S), rng.choice((worker.next_id(), None)))


def _crash_rack(soak, rng, members):
    """Crash the workers of the rack that has most of the members."""
    racks = [worker.labels[1] for worker, _ in members]
    lost = max(sorted(set(racks)), key=racks.count)
    for worker in soak.workers:
        if worker.labels[1] == lost:
            worker.crash(rng.uniform(*BACK_S), rng.choice((worker.next_id(), None)))


def check_attempts(soak):
    """Check that gangs had all of their attempts, and no more, before they failed."""
    cell = soak.cell
    crashed = {n[:16] for n, c in cell.crashes.by_task.items() if c >= CRASHES_TO_FAIL}
    for job in soak.jobs:
        runs = cell.gangs.failed.get(f"{job.id}.0.0", ())
        if job.id not in soak.gangs.ids - crashed or job.state != "failed":
            continue
        if len(runs) < cell.gangs.max_attempts_of(job.id):
            soak.failures.append(
                f"LOST: {job.id} has failed after {len(runs)} runs of its gang"
            )
    for step_name, attempt in sorted(cell.gangs.excess_starts()):
        soak.failures.append(f"BUDGET: gang of {step_name}, run {attempt}")
