"""Rules about workers that crash or change their capacity, for stand-ins and tests."""

from collections import Counter
from itertools import pairwise

__all__ = [
    "BACK_S",
    "CRASH_DELAY_S",
    "ENTRY_EXPIRES_S",
    "SHRINK_GRACE_S",
    "CrashCounts",
    "allowed_cpu",
]

# How long a worker that crashed under a task answers nothing.
BACK_S = (3.0, 3.5)
# A worker crashes so long after the start of a deadly task.
CRASH_DELAY_S = (0.01, 0.04)
# A crashed worker's registry entry is removed after this time.
ENTRY_EXPIRES_S = 4.5
MAX_CRASHES = 3
MAX_STARTS_MORE = 3
# A start may exceed a capacity that shrank within this time.
SHRINK_GRACE_S = 4.5


class CrashCounts:
    """Counts of the crashes of workers.

    ``by_task`` counts for each task the workers that crashed while a run of it was on
    them, ``deadly`` the crashes caused by deadly tasks.
    """

    def __init__(self):
        self.by_task = Counter()
        self.deadly = 0
        self._starts_more = Counter()

    def add_crash(self, names):
        """Count the crash of a worker with runs of the tasks ``names``."""
        self.by_task.update(names)

    def count_start(self, name):
        """Count the start of a deadly task; return whether it violates BUDGET.

        A task that has crashed three workers must not be started three times more.
        """
        if self.by_task[name] < MAX_CRASHES:
            return False
        self._starts_more[name] += 1
        return self._starts_more[name] == MAX_STARTS_MORE


def allowed_cpu(capacities, now):
    """Return the processors that a start may bring into use.

    ``capacities`` is [(since, cpu)]. Each figure that held within the grace period
    counts, as the leader may not have heard of a later one.
    """
    held = [
        cpu
        for (_, cpu), (until, _) in pairwise(capacities)
        if now - until <= SHRINK_GRACE_S
    ]
    return max([*held, capacities[-1][1]])
