"""Crashes and changing capacities of simulated workers, and the rules about them.

``Crashes`` counts the crashes of a simulated cell (``fixtures_dispatch.Sim``) and adds
to its violations: BUDGET, a task that crashed three workers is started three times
more; LIMIT, a start exceeds a capacity that shrank a while ago; LOST, a job is shown as
failed without cause.
"""

from collections import Counter

from standins.crash_rules import BACK_S, CRASH_DELAY_S, CrashCounts

__all__ = ["Crashes", "live_workers"]

# Leaders hear of a change in the registry within this time.
REGISTRY_DELAY_S = 2.0
# A job may be shown as failed if a task of it was on so many crashed workers.
CRASHES_TO_FAIL = 2
# A crash within this time after a start counts as quick.
QUICK_S = 1.05


class Crashes(CrashCounts):
    """Counts of a cell's crashes, and the checks.

    ``broken_runs`` counts the runs of tasks that are not deadly and ended by a crash.
    """

    def __init__(self, sim):
        super().__init__()
        self.sim = sim
        self.broken_runs = 0
        # When the latest run of a task started, and crashes soon after a start.
        self.started_at = {}
        self.quick_by_task = Counter()

    def on_crash(self, worker):
        names = [name for name, _ in worker.running]
        self.add_crash(names)
        now = self.sim.now
        self.quick_by_task.update(
            name for name in names if now - self.started_at[name] <= QUICK_S
        )
        self.broken_runs += sum(name not in self.sim.deadly for name in names)

    def on_run_started(self, worker, key):
        """Check the rule BUDGET and schedule the crash under a deadly task."""
        sim, name = self.sim, key[0]
        self.started_at[name] = sim.now
        if name not in sim.deadly:
            return
        if self.count_start(name):
            sim.violations.append(f"BUDGET: {name} at {sim.now:.2f}")
        life = worker.life

        def crash():
            if worker.life == life and key in worker.running:
                self.deadly += 1
                new_id = sim.next_worker_id() if sim.new_ids else None
                worker.crash(sim.rng.uniform(*BACK_S), new_id)

        delay_s = sim.crash_after_s
        sim.after(
            sim.rng.uniform(*CRASH_DELAY_S) if delay_s is None else delay_s, crash
        )

    def on_job_failed(self, job_id):
        """Check that a task of the job had two crashes or used up its attempts."""
        spec = self.sim.specs[job_id]
        crashes = [n for t, n in self.by_task.items() if t.startswith(job_id)]
        most_failures = self.sim.attempts.most_failed_runs(job_id)
        if max(crashes, default=0) < CRASHES_TO_FAIL and (
            most_failures < spec.queue.max_attempts
        ):
            self.sim.violations.append(
                f"LOST: {job_id} is shown as failed at {self.sim.now:.2f}"
            )


def live_workers(sim):
    """Return the workers that are neither crashed nor replaced."""
    return [w for w in sim.workers.values() if not (w.down or w.gone)]
