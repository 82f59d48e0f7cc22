"""Runs of gangs on the stand-in's workers, for ``cell``.

The members of a run work once all of them are present, and end together: as done, or
some of them as failed and the others as broken. They end alone if others stay away, and
as broken if another member has ended otherwise.
"""

import random

__all__ = ["GangRuns"]

# The platform's ``gang_timeout_ms``, and the time in which members notice an end.
GANG_TIMEOUT_S = 3.0
NOTICE_S = 0.05
# Times between the ends of the members that fail in one run.
END_DELAYS_S = (0.0, 0.0, 0.02, 0.2)


def _unit(key):
    """Return (step name, attempt) of a member's run."""
    return key[0].rpartition(".")[0], key[1]


class GangRuns:
    """The runs of a cell's gangs.

    ``fails`` tells whether the runs of a job fail. ``scripts`` maps the ids of jobs to
    functions of (attempt, [(worker, key of a member)]) that end their runs.
    ``failed`` maps the names of steps to the attempts of which members have ended as
    failed, ``noted`` to those of which such an end was acknowledged and is not void.
    """

    def __init__(self, cell, seed):
        self.cell = cell
        self.rng = random.Random(f"gangs {seed}")
        self.fails = lambda job_id: False
        self.scripts = {}
        self.timeout_s = GANG_TIMEOUT_S
        self.begun = set()
        self.failed, self.noted = {}, {}
        # [(unit, attempts that had failed before)] of the starts.
        self.starts = []

    def _spec(self, key):
        spec = self.cell.spec_of(key[0])
        return None if spec is None else spec.steps[int(key[0].split(".")[2])]

    def is_gang(self, key):
        step = self._spec(key)
        return step is not None and step.gang

    def _members(self, unit):
        return [
            (worker, key)
            for worker in self.cell.workers.values()
            for key in worker.running
            if _unit(key) == unit
        ]

    def on_start(self, key):
        """Begin a run with its last member; returns whether the start breaks BUDGET."""
        unit, count = _unit(key), self._spec(key).count
        if len(self._members(unit)) == count:
            self.begun.add(unit)
            self.cell.loop.call_later(self.cell.run_s, lambda: self._end(unit, count))
        else:
            self.cell.loop.call_later(self.timeout_s, lambda: self._end_alone(unit))
        failed = frozenset(self.failed.get(unit[0], ())) - {unit[1]}
        self.starts.append((unit, failed))
        return self._is_excess(unit, failed)

    def max_attempts_of(self, job_id):
        """Return the number of failed runs after which the job has failed."""
        queue = self.cell.spec_of(job_id).queue
        return self.cell.max_attempts if queue is None else queue.max_attempts

    def _is_excess(self, unit, failed):
        noted = failed & self.noted.get(unit[0], set())
        return len(noted) >= self.max_attempts_of(unit[0][:16])

    def excess_starts(self):
        """Return the units started although their gang had used up its attempts.

        Ends count, too, that were acknowledged after the start.
        """
        return {unit for unit, failed in self.starts if self._is_excess(unit, failed)}

    def _end(self, unit, count):
        for worker in self.cell.workers.values():
            worker.check_lease()
        members, script = self._members(unit), self.scripts.get(unit[0][:16])
        if len(members) < count:
            self._end_all(members, "broken")
        elif script is not None:
            script(unit[1], members)
        elif not self.fails(unit[0][:16]):
            self._end_all(members, "done")
        else:
            self.fail_members(members)

    def fail_members(self, members):
        """End a run's members, some of them as failed and the others as broken."""
        hows = ["failed"] * self.rng.randint(1, len(members))
        hows += ["broken"] * (len(members) - len(hows))
        self.rng.shuffle(hows)
        for (worker, key), how in zip(members, hows, strict=True):
            delay_s = self.rng.choice(END_DELAYS_S)
            self.cell.loop.call_later(
                delay_s, lambda w=worker, k=key, h=how: w.end(k, h)
            )

    def _end_alone(self, unit):
        if unit not in self.begun:
            self._end_all(self._members(unit), "alone")

    def _end_all(self, members, how):
        for worker, key in members:
            worker.end(key, how)

    def on_end(self, key, how):
        """Note the end of a member; others that go on without it end as broken."""
        unit = _unit(key)
        if how == "failed":
            self.failed.setdefault(unit[0], set()).add(unit[1])
        elif how != "done" and unit in self.begun:
            # Members that fail in the same run do so by themselves.
            self.cell.loop.call_later(
                NOTICE_S + max(END_DELAYS_S),
                lambda: self._end_all(self._members(unit), "broken"),
            )

    def on_acknowledged(self, ended):
        """Note the ends (number, task, attempt, how, checkpoint) that were taken."""
        for _, name, attempt, how, _ in ended:
            if how == "failed" and self.is_gang((name, attempt)):
                step_name, attempt = _unit((name, attempt))
                self.noted.setdefault(step_name, set()).add(attempt)
