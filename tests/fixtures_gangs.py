"""Gangs of a simulated cell (``fixtures_dispatch.Sim``): trouble, and checkpoints.

Beside a run that fails, the worker of a member may be cut off, so that its list arrives
late, or up to three workers with members may crash at once, as with a rack. A gang's
members must resume from one checkpoint, which a run of it has saved (UNASKED).
"""

import random

from standins.crash_rules import BACK_S

__all__ = ["Checkpoints", "disturb_failing_run", "disturb_gangs"]

# How long before and after the run's end its trouble begins, and for how long a worker
# is cut off: up to twice its lease.
AROUND_END_S = 0.15
CUT_S = (0.2, 12.0)
RACK_MEMBERS = 3
# Shares of the runs of gangs that fail, and of those that have trouble besides.
FAIL_SHARE = 0.3
TROUBLE_SHARE = 0.5


def disturb_gangs(sim):
    """Let many runs of gangs fail in a cell, and jobs have 1 to 4 attempts."""
    sim.gang_fail_share, sim.gang_trouble = FAIL_SHARE, TROUBLE_SHARE
    sim.draw_max_attempts = lambda job_id: random.Random(job_id).randint(1, 4)


def disturb_failing_run(sim, step_name, attempt, workers, end_in_s):
    """Draw the trouble of a run that fails in ``end_in_s`` on ``workers``."""
    source = random.Random(f"trouble {step_name} {attempt}")
    if source.random() >= sim.gang_trouble:
        return
    at = max(0.0, end_in_s + source.uniform(-AROUND_END_S, AROUND_END_S))
    workers = source.sample(workers, len(workers))
    if source.random() < 0.6:
        seconds = source.uniform(*CUT_S)
        sim.after(at, lambda: workers[0].cut_off(seconds))
        return
    crashed = workers[: source.choice((1, RACK_MEMBERS))]

    def crash():
        for worker in crashed:
            worker.crash(source.uniform(*BACK_S), sim.next_worker_id())

    sim.after(at, crash)


class Checkpoints:
    """What runs have saved, and the checkpoint that each run of a gang resumes from."""

    def __init__(self, sim):
        self.sim = sim
        self.saved = {}
        self.of_run = {}

    def save(self, key, step):
        """Return the checkpoint of a run that ends before it is done."""
        if not step.checkpoints:
            return ""
        name, attempt = key
        unit = name.rpartition(".")[0] if step.gang else name
        checkpoint = f"{name} {attempt}"
        self.saved.setdefault(unit, set()).add(checkpoint)
        return checkpoint

    def on_run_started(self, key, run):
        """Check where a run resumes from."""
        name, attempt = key
        unit = name.rpartition(".")[0] if run.step.gang else name
        if run.checkpoint and run.checkpoint not in self.saved.get(unit, ()):
            self.sim.violations.append(f"UNASKED: {name} from {run.checkpoint!r}")
        first = self.of_run.setdefault((unit, attempt), run.checkpoint)
        if run.step.gang and first != run.checkpoint:
            self.sim.violations.append(f"UNASKED: {name} from {run.checkpoint!r} also")
