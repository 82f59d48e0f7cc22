"""Failed runs of a simulated cell (``fixtures_dispatch.Sim``), and the rule BUDGET.

A run of a task counts, and a run of a gang counts once, however many of its members end
as failed. After ``max_attempts`` of them no other run is started, if the leaders have
acknowledged their ends.
"""

__all__ = ["Attempts"]


class Attempts:
    """Failed runs, as sets of their numbers, by name of the task or of the gang's step.

    ``noted`` has those of which an end was acknowledged.
    """

    def __init__(self, sim):
        self.sim = sim
        self.failed, self.noted = {}, {}

    def _step(self, name):
        spec = self.sim.specs[name[:16]]
        return spec.steps[int(name.split(".")[2])]

    def _unit(self, name):
        return name.rpartition(".")[0] if self._step(name).gang else name

    def on_run_failed(self, key):
        self.failed.setdefault(self._unit(key[0]), set()).add(key[1])

    def on_failure_noted(self, key):
        self.noted.setdefault(self._unit(key[0]), set()).add(key[1])

    def on_run_started(self, key):
        """Add a violation if a run starts after all attempts were used up."""
        name, attempt = key
        noted = self.noted.get(self._unit(name), set())
        limit = self.sim.specs[name[:16]].queue.max_attempts
        if not self._step(name).long_running and len(noted - {attempt}) >= limit:
            self.sim.violations.append(f"BUDGET: {name} at {self.sim.now:.2f}")

    def most_failed_runs(self, job_id):
        """Return the number of failed runs of the job's task or gang with most."""
        runs = (runs for name, runs in self.failed.items() if name[:16] == job_id)
        return max(map(len, runs), default=0)
