"""Run time estimates of workloads, from observed runs.

Declared run times are not used, because they are far from the real ones.
"""

from collections import deque

__all__ = ["RunTimes", "expected_end", "observe_run", "typical_run_s"]

MAX_SAMPLES = 64
MIN_SAMPLES = 3
QUANTILE = 0.9
# Estimate for a workload with too few samples while there are too few of all workloads.
DEFAULT_RUN_S = 600.0


class RunTimes:
    """The last run times of each workload and of all workloads, in seconds.

    ``quantiles`` caches the estimates; its key None stands for all workloads.
    """

    def __init__(self):
        self.samples = {}
        self.quantiles = {}
        self.all = deque(maxlen=MAX_SAMPLES)


def observe_run(times, workload, run_s):
    """Record the run time of a task that succeeded."""
    times.samples.setdefault(workload, deque(maxlen=MAX_SAMPLES)).append(run_s)
    times.all.append(run_s)
    times.quantiles.pop(workload, None)
    times.quantiles.pop(None, None)


def typical_run_s(times, workload):
    """Return the ``QUANTILE`` of the workload's run times in seconds.

    Returns None with fewer than ``MIN_SAMPLES`` samples. ``workload`` None stands for
    all workloads.
    """
    if workload not in times.quantiles:
        samples = times.all if workload is None else times.samples.get(workload, ())
        value = None
        if len(samples) >= MIN_SAMPLES:
            ordered = sorted(samples)
            value = ordered[min(int(QUANTILE * len(ordered)), len(ordered) - 1)]
        times.quantiles[workload] = value
    return times.quantiles[workload]


def expected_end(times, workload, started_at, now):
    """Return the time at which a running task is expected to end.

    A task that has run for more than half of the estimate is expected to run for as
    long again as it has run, so that the estimate also holds for stragglers.
    """
    run_s = typical_run_s(times, workload)
    if run_s is None:
        run_s = typical_run_s(times, None) or DEFAULT_RUN_S
    return started_at + max(run_s, 2 * (now - started_at))
